package org.fawnvale.serving.core.watch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.junit.jupiter.api.Test;

/** What other daemons must hear at once. */
class DepartureDetectorTest {

  private final DepartureDetector news = new DepartureDetector();

  private static Node node(String id) {
    Endpoint endpoint = new Endpoint("127.0.0.1", 1);
    return new Node(
        NodeIncarnation.only(id), "stock", endpoint, "a", 6, false, "", null, List.of(), null);
  }

  @Test
  void aNodeThatLeavesIsNewsOnce() {
    assertThat(news.update(List.of(node("n1"), node("n2")))).isEmpty();
    assertThat(news.update(List.of(node("n1"), node("n2").asDraining()))).containsExactly("n2");
    assertThat(news.update(List.of(node("n1"), node("n2").asDraining()))).isEmpty();
  }

  @Test
  void aNodeThatIsNotListedAnyMoreIsNewsUnlessItHadSaidThatItLeaves() {
    news.update(List.of(node("n1"), node("n2").asDraining()));
    assertThat(news.update(List.of(node("n1")))).isEmpty();
    assertThat(news.update(List.of())).containsExactly("n1");
  }

  @Test
  void aNodeThatComesIsNone() {
    assertThat(news.update(List.of(node("n1")))).isEmpty();
    assertThat(news.update(List.of(node("n1"), node("n2")))).isEmpty();
  }
}
