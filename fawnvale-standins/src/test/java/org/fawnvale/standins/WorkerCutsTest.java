package org.fawnvale.standins;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against cuts that hit the connections of other processes, or miss those of their own. */
class WorkerCutsTest {

  private final long ownPid = ProcessHandle.current().pid();
  private final WorkerCuts cuts = new WorkerCuts();
  private final Deque<Closeable> sockets = new ArrayDeque<>();

  @AfterEach
  void closeSockets() throws IOException {
    for (Closeable socket : sockets) {
      socket.close();
    }
  }

  private ServerSocket worker() throws IOException {
    ServerSocket worker = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
    sockets.push(worker);
    return worker;
  }

  private AcceptedConnection connect(ServerSocket worker) throws IOException {
    sockets.push(new Socket(worker.getInetAddress(), worker.getLocalPort()));
    Socket accepted = worker.accept();
    sockets.push(accepted);
    return new AcceptedConnection(accepted);
  }

  @Test
  void connectionsOfAProcessAreCutWhileTheCutLasts() throws IOException {
    ServerSocket worker = worker();
    AcceptedConnection before = connect(worker);
    assertThat(cuts.of(before)).isNull();
    cuts.begin(ownPid, WorkerCuts.Cut.RESET);
    assertThat(cuts.of(before)).isEqualTo(WorkerCuts.Cut.RESET);
    assertThat(cuts.of(connect(worker))).isEqualTo(WorkerCuts.Cut.RESET);
    cuts.end(ownPid);
    assertThat(cuts.of(before)).isNull();
  }

  @Test
  void connectionOfAnotherProcessWithTheSamePortIsNotCut() throws IOException {
    ServerSocket worker = worker();
    Socket caller = new Socket(worker.getInetAddress(), worker.getLocalPort());
    sockets.push(caller);
    CallerProcesses processes = new CallerProcesses();
    assertThat(processes.of(new Connection(caller.getLocalPort(), worker.getLocalPort())))
        .isEqualTo(ownPid);
    assertThat(processes.of(new Connection(caller.getLocalPort(), worker().getLocalPort())))
        .isEqualTo(LocalConnections.OTHER_PROCESS);
  }

  @Test
  void connectionsOfOtherProcessesAreNotCut() throws IOException {
    long otherPid = ProcessHandle.current().parent().orElseThrow().pid();
    cuts.begin(otherPid, WorkerCuts.Cut.HANG);
    assertThat(cuts.of(connect(worker()))).isNull();
  }
}
