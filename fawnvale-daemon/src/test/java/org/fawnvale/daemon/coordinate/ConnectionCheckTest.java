package org.fawnvale.daemon.coordinate;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.fawnvale.core.model.Node;
import org.fawnvale.core.model.NodeReport;
import org.fawnvale.core.planning.NodeView;
import org.junit.jupiter.api.Test;

/** Guards against failed nodes that count as pausing, and against checks that outlive a silence. */
class ConnectionCheckTest {

  private static final Node NODE = new Node("n", "dc", "f", "", "", null, false);
  private static final NodeReport REPORT =
      new NodeReport("n", "1", null, 0, null, null, NodeReport.State.IDLE, 0, 0);

  private final List<Node> checked = new ArrayList<>();
  private boolean accepts;
  private final ConnectionCheck check = new ConnectionCheck(Runnable::run, this::record);

  private boolean record(Node node) {
    checked.add(node);
    return accepts;
  }

  private void start(long silentMillis) {
    check.start(List.of(new NodeView(NODE, REPORT, silentMillis, 0)));
  }

  @Test
  void eachRoundOfASilenceChecksTheNodeAgain() {
    assertThat(check.mayAcceptConnections("n")).isTrue();
    start(1);
    assertThat(check.mayAcceptConnections("n")).isFalse();
    accepts = true;
    start(500);
    assertThat(check.mayAcceptConnections("n")).isTrue();
    assertThat(checked).hasSize(2);
  }

  @Test
  void aFailureIsForgottenWhenTheNodeAnswers() {
    start(1);
    start(0);
    assertThat(check.mayAcceptConnections("n")).isTrue();
    assertThat(checked).hasSize(1);
  }

  @Test
  void aNodeThatIsSilentLongerThanAPauseIsNotChecked() {
    start(NodeView.MAXIMUM_PAUSE_MILLIS);
    assertThat(checked).isEmpty();
  }
}
