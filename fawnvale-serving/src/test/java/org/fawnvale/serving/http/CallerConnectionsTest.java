package org.fawnvale.serving.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.fawnvale.serving.core.flow.CallerHolding;
import org.fawnvale.serving.core.flow.CallerMemory;
import org.fawnvale.serving.core.model.Settings;
import org.junit.jupiter.api.Test;

/** Guards against connections without bound, and against requests that are read and not served. */
class CallerConnectionsTest {

  private static final long SECOND = 1_000_000_000L;
  private static final long LATE = 1_000 * SECOND;
  private static final int LIMIT = 3;

  private final List<CallerHolding> open = new ArrayList<>();
  private final Set<CallerHolding> closed = new HashSet<>();
  private final CallerMemory memory = new CallerMemory(Settings.CallerBuffers.DEFAULT);
  private long now = SECOND;
  private final CallerConnections connections = new CallerConnections(LIMIT, memory, () -> now);

  private boolean connect() {
    boolean admitted = connections.admits();
    if (admitted) {
      int number = open.size();
      open.add(connections.open(() -> closed.add(open.get(number)), () -> now > LATE));
    }
    return admitted;
  }

  private void fill() {
    for (int number = 0; number < LIMIT; number++) {
      connect();
    }
  }

  private void serve(CallerHolding connection) {
    connection.beginRequest(now);
    connection.answered(now);
    connection.endRequest(now);
  }

  @Test
  void connectionWithoutAWholeRequestForLongestMakesRoomForANewOne() {
    fill();
    now += SECOND;
    serve(open.get(0));
    open.get(1).beginRequest(now);
    assertThat(connect()).isTrue();
    assertThat(closed).containsExactly(open.get(2));
    assertThat(connections.openCount()).isEqualTo(LIMIT);
  }

  @Test
  void connectionsWithRequestsInProgressAreKeptAndNewOnesRejected() {
    fill();
    open.forEach(each -> each.beginRequest(now));
    now += 60 * SECOND;
    assertThat(connect()).isFalse();
    assertThat(closed).isEmpty();
    assertThat(connections.rejectedCount()).isEqualTo(1);
  }

  @Test
  void connectionThatWasJustUsedIsNotClosed() {
    fill();
    now += SECOND / 2;
    assertThat(connect()).isFalse();
  }

  @Test
  void connectionThatSendsWithoutEndMakesRoomBeforeIdleOnes() {
    fill();
    open.get(1).hold(100);
    now += SECOND;
    open.get(1).hold(101);
    assertThat(connect()).isTrue();
    assertThat(closed).containsExactly(open.get(1));
  }

  @Test
  void connectionsThatTakeLongerThanTheyMayAreClosedUnlessServed() {
    fill();
    open.get(0).beginRequest(now);
    now = LATE + 1;
    connections.closeExpired();
    assertThat(closed).containsExactlyInAnyOrder(open.get(1), open.get(2));
  }

  @Test
  void overloadedDaemonTakesFewNewConnectionsAndKeepsTheOpenOnes() {
    connect();
    connections.setOverloaded(true);
    int admitted = 0;
    for (int number = 0; number < 100; number++) {
      now += SECOND / 100;
      boolean isAdmitted = connections.admits();
      admitted += isAdmitted ? 1 : 0;
    }
    assertThat(admitted).isEqualTo(5);
    assertThat(closed).isEmpty();
    connections.setOverloaded(false);
    assertThat(connect()).isTrue();
  }
}
