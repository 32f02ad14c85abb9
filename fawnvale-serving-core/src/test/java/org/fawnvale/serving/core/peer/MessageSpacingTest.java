package org.fawnvale.serving.core.peer;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class MessageSpacingTest {

  @Test
  void smallFleetSendsEveryMessage() {
    assertThat(MessageSpacing.remoteInterval(9)).isEqualTo(1);
    assertThat(MessageSpacing.isDue(7, "10.0.0.1", 9)).isTrue();
  }

  @Test
  void recipientInLargeFleetHasOneTurnPerRound() {
    int interval = MessageSpacing.remoteInterval(60);
    assertThat(interval).isGreaterThan(1);
    int due = 0;
    for (int turn = 0; turn < interval; turn++) {
      due += MessageSpacing.isDue(turn, "10.0.0.1", 60) ? 1 : 0;
    }
    assertThat(due).isEqualTo(1);
  }
}
