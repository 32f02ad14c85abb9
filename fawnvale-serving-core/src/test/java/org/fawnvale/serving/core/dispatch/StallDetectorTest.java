package org.fawnvale.serving.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.RequestSize;
import org.junit.jupiter.api.Test;

/** When a head without events counts as stalled. */
class StallDetectorTest {

  private static final long MILLI = 1_000_000L;
  private static final ModelSpec MODEL = new ModelSpec("m", 4, 1.0, 1.0, 16_000, 1_600);
  private static final EngineSpec ENGINE =
      new EngineSpec(
          20,
          1_000_000,
          5,
          2_000,
          List.of(MODEL),
          6.0,
          0.4,
          0.0,
          50_000,
          0.0,
          4.0,
          6,
          300,
          new RequestSize(1_000, 100));

  private final UpstreamState state = new UpstreamState();

  private boolean stalledAt(long millis, boolean suspectedElsewhere) {
    long timeout = StallDetector.timeoutNanos(ENGINE, MODEL, 5);
    return StallDetector.isStalled(state, timeout, suspectedElsewhere, millis * MILLI);
  }

  @Test
  void timeoutCoversAPassWithMaximalPrefill() {
    assertThat(StallDetector.timeoutNanos(ENGINE, MODEL, 5) / MILLI).isEqualTo(40 + 200 + 40);
  }

  @Test
  void headWhoseStreamsPauseLongerThanAnyPassIsStalled() {
    state.requestSent(0);
    state.responseStarted();
    state.recordProgress(100 * MILLI);
    assertThat(stalledAt(380, false)).isFalse();
    assertThat(stalledAt(381, false)).isTrue();
  }

  @Test
  void missingFirstEventAloneIsNoStall() {
    state.requestSent(0);
    assertThat(stalledAt(10_000, false)).isFalse();
  }

  @Test
  void missingFirstEventIsAStallWhenOthersSuspectTheHead() {
    state.requestSent(0);
    assertThat(stalledAt(281, true)).isTrue();
  }

  @Test
  void streamThatThisDaemonReadsSlowlyIsNoEvidenceOfAStall() {
    state.requestSent(0);
    state.responseStarted();
    state.streamExcluded();
    assertThat(stalledAt(10_000, false)).isFalse();
    assertThat(stalledAt(10_000, true)).isFalse();
    state.streamIncluded(10_000 * MILLI);
    assertThat(stalledAt(10_280, false)).isFalse();
    assertThat(stalledAt(10_281, false)).isTrue();
  }

  @Test
  void stalledHeadIsFoundThroughItsOtherStreams() {
    state.requestSent(0);
    state.responseStarted();
    state.requestSent(0);
    state.responseStarted();
    state.recordProgress(100 * MILLI);
    state.streamExcluded();
    assertThat(stalledAt(381, false)).isTrue();
    state.streamIncluded(381 * MILLI);
    assertThat(stalledAt(381, false)).isTrue();
  }

  @Test
  void requestBesideASlowlyReadStreamBeginsTheTimeAnew() {
    state.requestSent(0);
    state.responseStarted();
    state.streamExcluded();
    state.requestSent(10_000 * MILLI);
    assertThat(stalledAt(10_280, true)).isFalse();
    assertThat(stalledAt(10_281, true)).isTrue();
  }

  @Test
  void newlyStartedDaemonDoesNotJudge() {
    assertThat(StallDetector.isWarmedUp(1_000 * MILLI)).isFalse();
    assertThat(StallDetector.isWarmedUp(3_000 * MILLI)).isTrue();
  }

  @Test
  void headWithoutRequestsIsNeverStalled() {
    assertThat(stalledAt(10_000, true)).isFalse();
  }

  /** Guards against a slow group that is taken apart as stalled, and a stall hidden by pace. */
  @Test
  void timeoutGrowsWithTheObservedPace() {
    state.requestSent(0);
    state.responseStarted();
    state.recordProgress(0);
    long timeout = StallDetector.timeoutNanos(ENGINE, MODEL, 5, 5);
    assertThat(timeout / MILLI).isEqualTo(5 * (40 + 200) + 40);
    assertThat(StallDetector.isStalled(state, timeout, false, 1_240 * MILLI)).isFalse();
    assertThat(StallDetector.isStalled(state, timeout, false, 1_241 * MILLI)).isTrue();
    assertThat(StallDetector.timeoutNanos(ENGINE, MODEL, 5, 1))
        .isEqualTo(StallDetector.timeoutNanos(ENGINE, MODEL, 5));
  }
}
