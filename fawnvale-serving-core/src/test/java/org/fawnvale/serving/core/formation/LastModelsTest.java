package org.fawnvale.serving.core.formation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Collection;
import java.util.List;
import org.fawnvale.serving.core.model.Node;
import org.junit.jupiter.api.Test;

/**
 * A node that left its group keeps its model in memory and can rejoin a group of that model
 * quickly.
 */
class LastModelsTest {

  private final LastModels models = new LastModels();

  private Node complete(String id, String model) {
    Collection<Node> completed = models.complete(List.of(MixPlannerTest.node(id, "d", model)));
    return completed.iterator().next();
  }

  @Test
  void theLastModelIsFilledInAfterTheNodeHasLeftItsGroup() {
    complete("a", "large");
    assertThat(complete("a", null).model()).isEqualTo("large");
  }

  @Test
  void theModelOfALaterGroupReplacesIt() {
    complete("a", "large");
    complete("a", "small");
    assertThat(complete("a", null).model()).isEqualTo("small");
  }

  @Test
  void aNodeThatWasNotListedInBetweenHasNoModel() {
    complete("a", "large");
    assertThat(complete("b", null).model()).isNull();
    assertThat(complete("a", null).model()).isNull();
  }
}
