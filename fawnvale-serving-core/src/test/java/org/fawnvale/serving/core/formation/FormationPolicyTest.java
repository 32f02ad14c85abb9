package org.fawnvale.serving.core.formation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.junit.jupiter.api.Test;

/** Which model each domain holds. */
class FormationPolicyTest {

  private static List<Node> domains(int count, int nodes) {
    List<Node> all = new ArrayList<>();
    for (int domain = 0; domain < count; domain++) {
      for (int index = 0; index < nodes; index++) {
        String id = "n" + domain + "-" + index;
        Endpoint endpoint = new Endpoint("10.0.0.1", 1);
        all.add(
            new Node(
                id,
                "engines",
                endpoint,
                "here",
                18,
                false,
                "domain" + domain,
                null,
                List.of(),
                null));
      }
    }
    return all;
  }

  private static long holding(Collection<ModelSpec> primaries, String model) {
    return primaries.stream().filter(spec -> spec.name().equals(model)).count();
  }

  @Test
  void domainsFollowTheModelsSharesOfTheWork() {
    Map<String, ModelSpec> primaries =
        FormationPolicy.primaries(domains(7, 9), GroupPlannerTest.ENGINE);
    assertThat(holding(primaries.values(), "large")).isEqualTo(4);
    assertThat(holding(primaries.values(), "small")).isEqualTo(3);
  }
}
