package org.fawnvale.serving.core.flow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.fawnvale.serving.core.model.Settings;
import org.junit.jupiter.api.Test;

/**
 * Guards against a daemon that holds more than its bounds, waits for nothing, or closes a caller
 * that reads.
 */
class ResponseBufferTest {

  private static final long MILLI = 1_000_000L;
  private static final int KILO = 1 << 10;

  private final CallerMemory memory =
      new CallerMemory(new Settings.CallerBuffers(64 * KILO, 256 * KILO, 1_000));
  private final ResponseBuffer buffer = new ResponseBuffer(memory);

  private static void fill(ResponseBuffer buffer, long nowMillis) {
    int bytes = buffer.grant(nowMillis * MILLI);
    while (bytes > 0) {
      buffer.add(bytes);
      bytes = buffer.grant(nowMillis * MILLI);
    }
  }

  @Test
  void inputWaitsAtTheBoundAndResumesWhenHalfHasDrained() {
    fill(buffer, 0);
    assertThat(buffer.unread()).isEqualTo(64 * KILO);
    buffer.accepted(31 * KILO, 0);
    assertThat(buffer.tryResume()).isFalse();
    buffer.accepted(KILO, 0);
    assertThat(buffer.tryResume()).isTrue();
    assertThat(buffer.tryResume()).isFalse();
    assertThat(buffer.grant(0)).isPositive();
  }

  @Test
  void callerIsStalledWhenItsFullBufferMovesNotForTheTimeAllowed() {
    fill(buffer, 0);
    assertThat(buffer.isStalled(999 * MILLI)).isFalse();
    buffer.accepted(1, 999 * MILLI);
    assertThat(buffer.isStalled(1_998 * MILLI)).isFalse();
    assertThat(buffer.isStalled(1_999 * MILLI)).isTrue();
  }

  @Test
  void callerWhoseBufferIsNotFullIsNeverStalled() {
    buffer.add(63 * KILO);
    assertThat(buffer.isStalled(0)).isFalse();
    assertThat(buffer.isStalled(60_000 * MILLI)).isFalse();
  }

  @Test
  void completeResponseWaitsForItsCallerWhileHalfOfTheTotalIsFree() {
    fill(buffer, 0);
    buffer.complete();
    assertThat(buffer.isStalled(0)).isFalse();
    assertThat(buffer.isStalled(60_000 * MILLI)).isFalse();
    memory.addResponse(65 * KILO);
    assertThat(buffer.isStalled(60_001 * MILLI)).isFalse();
    assertThat(buffer.isStalled(61_001 * MILLI)).isTrue();
  }

  @Test
  void largestBuffersWaitFirstWhenTheTotalIsUsedUp() {
    List<ResponseBuffer> silent = new ArrayList<>();
    for (int caller = 0; caller < 50; caller++) {
      silent.add(new ResponseBuffer(memory));
    }
    silent.forEach(other -> fill(other, 0));
    assertThat(memory.held()).isLessThanOrEqualTo(256 * KILO + 50L * 4 * KILO);
    assertThat(silent.get(0).isSuspended()).isTrue();
    assertThat(buffer.grant(0)).isPositive();
  }

  @Test
  void collectedResponseIsBoundedByTheTotalAlone() {
    buffer.collect(100 * KILO);
    assertThat(buffer.grant(0)).isPositive();
    memory.addResponse(156 * KILO);
    ResponseBuffer other = new ResponseBuffer(memory);
    other.collect(1);
    assertThat(buffer.grant(0)).isPositive();
    assertThat(other.grant(0)).isZero();
    assertThat(other.tryResume()).isFalse();
    buffer.endCollecting();
    assertThat(other.tryResume()).isTrue();
    other.endCollecting();
    assertThat(memory.held()).isEqualTo(156 * KILO);
  }

  @Test
  void partOfAnEventCountsTowardTheTotalAndNeverSuspendsItsOwnInput() {
    buffer.holdPartial(300 * KILO);
    buffer.holdPartial(400 * KILO);
    assertThat(memory.held()).isEqualTo(400 * KILO);
    assertThat(buffer.grant(0)).isPositive();
    buffer.complete();
    assertThat(memory.held()).isZero();
  }

  /** Guards against many endless events that fill the memory although each of them is bounded. */
  @Test
  void incompleteEventsShareHalfOfTheTotalAndTheLargestReachesItFirst() {
    buffer.holdPartial(100 * KILO);
    ResponseBuffer other = new ResponseBuffer(memory);
    assertThat(buffer.hasRoomForPartial(28 * KILO)).isTrue();
    assertThat(buffer.hasRoomForPartial(101 * KILO)).isFalse();
    assertThat(other.hasRoomForPartial(28 * KILO)).isTrue();
    other.holdPartial(28 * KILO);
    assertThat(new ResponseBuffer(memory).hasRoomForPartial(16 * KILO)).isTrue();
    assertThat(new ResponseBuffer(memory).hasRoomForPartial(17 * KILO)).isFalse();
    buffer.endCollecting();
    assertThat(other.hasRoomForPartial(100 * KILO)).isTrue();
  }

  /** Guards against large answers that all wait until their deadlines for each other's room. */
  @Test
  void oneCollectedResponseMayGrowBeyondTheTotalAtATime() {
    List<ResponseBuffer> waiting = new ArrayList<>();
    for (int response = 0; response < 5; response++) {
      waiting.add(new ResponseBuffer(memory));
    }
    int complete = 0;
    while (!waiting.isEmpty()) {
      for (ResponseBuffer response : waiting) {
        boolean reads = !response.isSuspended() || response.tryResume();
        response.collect(reads ? response.grant(0) : 0);
      }
      waiting.stream()
          .filter(each -> each.collected() >= 100 * KILO)
          .forEach(ResponseBuffer::endCollecting);
      int before = waiting.size();
      waiting.removeIf(each -> each.collected() == 0);
      complete += before - waiting.size();
      assertThat(memory.held()).isLessThanOrEqualTo((256 + 100 + 16 * 5) * KILO);
    }
    assertThat(complete).isEqualTo(5);
    assertThat(memory.held()).isZero();
  }

  /** Guards against bytes that stay counted, and against an input that nothing resumes. */
  @Property(tries = 300)
  void countsReturnToZeroAndNoInputWaitsForever(
      @ForAll @Size(max = 200) List<@IntRange(max = 399) Integer> steps) {
    CallerMemory shared =
        new CallerMemory(new Settings.CallerBuffers(64 * KILO, 256 * KILO, 1_000));
    List<ResponseBuffer> buffers = new ArrayList<>();
    for (int caller = 0; caller < 10; caller++) {
      buffers.add(new ResponseBuffer(shared));
    }
    for (int step : steps) {
      ResponseBuffer chosen = buffers.get(step % 10);
      boolean drains = step >= 200;
      if (drains && !chosen.isEmpty()) {
        chosen.accepted(1 + chosen.unread() / 2, 0);
        chosen.tryResume();
      } else if (!chosen.isSuspended()) {
        chosen.add(chosen.grant(0));
      }
      assertThat(shared.held()).isLessThanOrEqualTo((256 + 10 * 4) * KILO);
    }
    for (ResponseBuffer each : buffers) {
      each.accepted(each.unread(), 0);
      assertThat(each.isSuspended() && !each.tryResume()).isFalse();
    }
    assertThat(shared.held()).isZero();
  }
}
