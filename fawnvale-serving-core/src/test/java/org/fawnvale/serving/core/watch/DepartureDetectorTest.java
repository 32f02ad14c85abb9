package org.fawnvale.serving.core.watch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.junit.jupiter.api.Test;

class DepartureDetectorTest {

  private final DepartureDetector detector = new DepartureDetector();

  private static Node node(String id) {
    Endpoint endpoint = new Endpoint("127.0.0.1", 1);
    return new Node(
        NodeIncarnation.only(id), "stock", endpoint, "a", 6, false, "", null, List.of(), null);
  }

  @Test
  void drainingNodeIsReportedOnce() {
    assertThat(detector.update(List.of(node("n1"), node("n2")))).isEmpty();
    assertThat(detector.update(List.of(node("n1"), node("n2").asDraining()))).containsExactly("n2");
    assertThat(detector.update(List.of(node("n1"), node("n2").asDraining()))).isEmpty();
  }

  @Test
  void missingNodeIsReportedUnlessItWasDraining() {
    detector.update(List.of(node("n1"), node("n2").asDraining()));
    assertThat(detector.update(List.of(node("n1")))).isEmpty();
    assertThat(detector.update(List.of())).containsExactly("n1");
  }

  @Test
  void newNodeIsNotReported() {
    assertThat(detector.update(List.of(node("n1")))).isEmpty();
    assertThat(detector.update(List.of(node("n1"), node("n2")))).isEmpty();
  }
}
