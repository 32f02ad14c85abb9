package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards against parts that are cleared by answers whose upstream has crashed. */
class AnswerProgressTest {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** A request that crashes its upstream does so within this time of the head. */
  private static final int CRASH_MILLIS = 500;

  private final AnswerProgress progress = new AnswerProgress();

  private void recordEvents(long atMillis) {
    progress.recordEvents(atMillis * NANOS_PER_MILLI);
  }

  /** The daemon stands still from the head on; the events came before the crash. */
  @Property
  void eventsThatAFrozenDaemonReadsAtOnceShowNothing(
      @ForAll @IntRange(max = 60_000) int frozenMillis,
      @ForAll @Size(max = 8) List<@IntRange(max = CRASH_MILLIS) Integer> eventsBefore,
      @ForAll @Size(max = 8) List<@IntRange(max = 100) Integer> eventsAfter) {
    AnswerProgress answer = new AnswerProgress();
    answer.begin(0);
    eventsBefore.stream().sorted().forEach(at -> answer.recordEvents(at * NANOS_PER_MILLI));
    eventsAfter.stream()
        .sorted()
        .forEach(at -> answer.recordEvents((CRASH_MILLIS + frozenMillis + at) * NANOS_PER_MILLI));
    assertThat(answer.isSound()).isFalse();
  }

  /** The other side: an answer that goes on clears its parts, long before it ends. */
  @Test
  void answerThatGoesOnIsSound() {
    progress.begin(0);
    for (int at = 0; at <= 1_500; at += 50) {
      recordEvents(at);
    }
    assertThat(progress.isSound()).isTrue();
  }

  @Test
  void eventsBeforeTheHeadShowNothing() {
    recordEvents(5_000);
    recordEvents(9_000);
    assertThat(progress.isSound()).isFalse();
  }
}
