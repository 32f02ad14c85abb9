package org.fawnvale.serving.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against connections without bound, and against requests that are read and not served. */
class CallerConnectionsTest {

  private static final long SECOND = 1_000_000_000L;
  private static final int LIMIT = 3;

  private final List<TestConnection> open = new ArrayList<>();
  private long now = SECOND;
  private final CallerConnections connections = new CallerConnections(LIMIT, () -> now);

  private static final class TestConnection implements CallerConnections.CallerConnection {
    private boolean idle = true;
    private boolean closed;

    @Override
    public boolean isIdle() {
      return idle;
    }

    @Override
    public void close() {
      closed = true;
    }
  }

  private boolean connect() {
    boolean admitted = connections.admits();
    if (admitted) {
      TestConnection connection = new TestConnection();
      connections.active(connection);
      open.add(connection);
    }
    return admitted;
  }

  private void fill() {
    for (int number = 0; number < LIMIT; number++) {
      connect();
    }
  }

  @Test
  void longestIdleConnectionMakesRoomForANewOne() {
    fill();
    now += SECOND;
    connections.active(open.get(0));
    open.get(1).idle = false;
    assertThat(connect()).isTrue();
    assertThat(open.get(2).closed).isTrue();
    assertThat(connections.openCount()).isEqualTo(LIMIT);
  }

  @Test
  void connectionsWithRequestsInProgressAreKeptAndNewOnesRejected() {
    fill();
    open.forEach(each -> each.idle = false);
    now += 60 * SECOND;
    assertThat(connect()).isFalse();
    assertThat(open).noneMatch(each -> each.closed);
    assertThat(connections.rejectedCount()).isEqualTo(1);
  }

  @Test
  void connectionThatWasJustUsedIsNotClosed() {
    fill();
    now += SECOND / 2;
    assertThat(connect()).isFalse();
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
    assertThat(open.get(0).closed).isFalse();
    connections.setOverloaded(false);
    assertThat(connect()).isTrue();
  }
}
