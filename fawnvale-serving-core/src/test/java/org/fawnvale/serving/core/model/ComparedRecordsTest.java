package org.fawnvale.serving.core.model;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.reflect.Constructor;
import java.lang.reflect.RecordComponent;
import java.util.Arrays;
import org.fawnvale.serving.core.formation.GroupKey;
import org.fawnvale.serving.core.peer.PeerMessage;
import org.fawnvale.serving.core.watch.StoreEra;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a component that an explicit equals or hashCode leaves out. */
class ComparedRecordsTest {

  @ParameterizedTest
  @ValueSource(
      classes = {
        NodeIncarnation.class,
        Endpoint.class,
        GroupKey.class,
        StoreEra.class,
        PeerMessage.ServingGroup.class
      })
  void recordsAreEqualIfAllComponentsAre(Class<?> type) throws ReflectiveOperationException {
    RecordComponent[] components = type.getRecordComponents();
    Class<?>[] types =
        Arrays.stream(components).map(RecordComponent::getType).toArray(Class[]::new);
    Constructor<?> constructor = type.getDeclaredConstructor(types);
    Object[] values = Arrays.stream(types).map(one -> value(one, 1)).toArray();
    Object record = constructor.newInstance(values);
    assertThat(record).isEqualTo(constructor.newInstance(values));
    assertThat(record).hasSameHashCodeAs(constructor.newInstance(values));
    for (int index = 0; index < types.length; index++) {
      Object[] changed = values.clone();
      changed[index] = value(types[index], 2);
      Object other = constructor.newInstance(changed);
      assertThat(record).isNotEqualTo(other).doesNotHaveSameHashCodeAs(other);
    }
  }

  private static Object value(Class<?> type, int number) {
    if (type == String.class) {
      return "v" + number;
    }
    return type == int.class ? (Object) number : (Object) (long) number;
  }
}
