package org.fawnvale.serving.core.flow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.fawnvale.serving.core.model.Settings;
import org.junit.jupiter.api.Test;

/** Guards against callers that together hold more than the daemon has, each within its bound. */
class CallerHoldingTest {

  private static final long SECOND = 1_000_000_000L;
  private static final int KILO = 1 << 10;
  private static final int LARGE_BYTES = 100 * KILO;
  private static final int STALLED_MILLIS = 2_000;

  /** Room for ten connections and 640 kB of requests, of which large ones may take 400 kB. */
  private static final int CONNECTION_PART = 800 * KILO;

  private final CallerMemory memory =
      new CallerMemory(
          new Settings.CallerBuffers(
              KILO, 10 * KILO, STALLED_MILLIS, 10 * KILO + CONNECTION_PART, 100));
  private final List<Integer> closed = new ArrayList<>();
  private final List<CallerHolding> open = new ArrayList<>();
  private long now = SECOND;

  private CallerHolding connect() {
    int number = open.size();
    CallerHolding holding = memory.open(() -> close(number), now);
    open.add(holding);
    return holding;
  }

  private void close(int number) {
    assertThat(memory.mayReceive()).as("before its memory is free").isFalse();
    open.get(number).close();
    closed.add(number);
  }

  private boolean serve(int bytes) {
    CallerHolding holding = connect();
    holding.hold(bytes);
    return holding.beginRequest(now);
  }

  @Test
  void connectionThatHasHeldMostForLongestGivesWayFirst() {
    connect();
    connect().hold(LARGE_BYTES);
    now += SECOND;
    connect().hold(LARGE_BYTES);
    now += SECOND;
    connect().hold(CONNECTION_PART - 2 * LARGE_BYTES);
    memory.makeRoom(now);
    assertThat(closed).containsExactly(1);
    assertThat(memory.connectionBytes()).isLessThanOrEqualTo(CONNECTION_PART);
  }

  @Test
  void servedConnectionsNeverGiveWayAndLargeRequestsBeyondTheirShareAreRefused() {
    assertThat(serve(LARGE_BYTES)).isTrue();
    assertThat(serve(LARGE_BYTES)).isTrue();
    assertThat(serve(LARGE_BYTES)).isTrue();
    assertThat(serve(LARGE_BYTES)).isTrue();
    now += 60 * SECOND;
    assertThat(serve(LARGE_BYTES)).isFalse();
    assertThat(serve(KILO)).isTrue();
    connect().hold(CONNECTION_PART);
    memory.makeRoom(now);
    assertThat(closed).containsExactly(6);
  }

  @Test
  void refusedRequestIsServedOnceAnotherHasEnded() {
    for (int number = 0; number < 4; number++) {
      serve(LARGE_BYTES);
    }
    CallerHolding refused = connect();
    refused.hold(LARGE_BYTES);
    assertThat(refused.beginRequest(now)).isFalse();
    open.get(0).answered(now);
    open.get(0).endRequest(now);
    open.get(0).hold(0);
    assertThat(refused.beginRequest(now)).isTrue();
  }

  @Test
  void answeredConnectionGivesWayOnlyAfterItsCallerHasHadTimeToRead() {
    serve(3 * LARGE_BYTES);
    open.get(0).answered(now);
    connect().hold(6 * LARGE_BYTES);
    memory.makeRoom(now);
    assertThat(closed).containsExactly(1);
    now += STALLED_MILLIS * (SECOND / 1_000);
    connect().hold(6 * LARGE_BYTES);
    memory.makeRoom(now);
    assertThat(closed).containsExactly(1, 0);
  }

  @Test
  void callerThatReadsItsAnswerSlowlyDoesNotGiveWay() {
    serve(3 * LARGE_BYTES);
    open.get(0).answered(now);
    now += STALLED_MILLIS * (SECOND / 1_000);
    open.get(0).answered(now);
    connect().hold(6 * LARGE_BYTES);
    memory.makeRoom(now);
    assertThat(closed).containsExactly(1);
  }

  @Test
  void requestThatBeginsTwiceIsCountedOnce() {
    CallerHolding first = connect();
    first.hold(3 * LARGE_BYTES);
    assertThat(first.beginRequest(now)).isTrue();
    assertThat(first.beginRequest(now)).isTrue();
    first.endRequest(now);
    assertThat(serve(4 * LARGE_BYTES)).isTrue();
  }

  @Test
  void closedConnectionHoldsNothing() {
    CallerHolding holding = connect();
    holding.hold(LARGE_BYTES);
    holding.beginRequest(now);
    holding.close();
    holding.hold(LARGE_BYTES);
    assertThat(memory.connectionBytes()).isZero();
    assertThat(holding.beginRequest(now)).isFalse();
  }
}
