package org.fawnvale.serving.core.formation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collection;
import java.util.List;
import org.fawnvale.serving.core.model.Node;
import org.junit.jupiter.api.Test;

/** A node that left its group can still join one of the same model quickly. */
class LastModelsTest {

  private final LastModels models = new LastModels();

  private Node seen(String id, String model) {
    Collection<Node> completed = models.complete(List.of(MixPlannerTest.node(id, "d", model)));
    return completed.iterator().next();
  }

  @Test
  void theModelOfTheLastGroupIsToldAgainAfterTheNodeHasLeftIt() {
    seen("a", "large");
    assertThat(seen("a", null).model()).isEqualTo("large");
  }

  @Test
  void aLaterGroupsModelTakesItsPlace() {
    seen("a", "large");
    seen("a", "small");
    assertThat(seen("a", null).model()).isEqualTo("small");
  }

  @Test
  void anotherLifeOfANodeHoldsNothing() {
    seen("a", "large");
    assertThat(seen("b", null).model()).isNull();
    assertThat(seen("a", null).model()).isNull();
  }
}
