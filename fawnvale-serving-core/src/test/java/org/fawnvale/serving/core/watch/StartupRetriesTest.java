package org.fawnvale.serving.core.watch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** When a starting daemon repeats a call to the store. */
class StartupRetriesTest {

  private static final long LOST = StartupPeriod.ANSWER_NANOS;

  private final StartupRetries retries = new StartupRetries();

  /** Guards against a daemon that waits for its timeout while the store answers other calls. */
  @Test
  void repeatsALostCallOnceTheStoreAnswersAnother() {
    retries.start(0);
    retries.onSent(0);
    assertThat(retries.takeDue(-1, LOST)).isFalse();
    assertThat(retries.takeDue(1, LOST - 1)).isFalse();
    assertThat(retries.takeDue(1, LOST)).isTrue();
  }

  /** Guards against a store that is slow for all calls and never gets the time to answer one. */
  @Test
  void repeatsACallOnceUntilItEnds() {
    retries.start(0);
    retries.onSent(0);
    assertThat(retries.takeDue(1, LOST)).isTrue();
    retries.onSent(LOST);
    assertThat(retries.takeDue(2 * LOST, 3 * LOST)).isFalse();
    retries.onFailure(3 * LOST);
    assertThat(retries.takeDue(3 * LOST + 1, 4 * LOST)).isTrue();
  }

  /** Guards against more calls of daemons that run or whose calls are answered. */
  @Test
  void repeatsNothingAfterAnAnswerOrTheStart() {
    retries.onSent(0);
    assertThat(retries.takeDue(1, LOST)).isFalse();
    retries.start(0);
    assertThat(retries.takeDue(1, StartupPeriod.DURATION_NANOS)).isFalse();
    retries.onAnswer();
    assertThat(retries.takeDue(1, LOST)).isFalse();
  }
}
