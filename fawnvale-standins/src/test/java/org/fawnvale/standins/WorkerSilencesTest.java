package org.fawnvale.standins;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** A worker that stands still ends nothing and goes on afterwards; a dark one answers nothing. */
class WorkerSilencesTest {

  private static final String WORKER = "w";
  private static final long SILENCE_MILLIS = 400;
  private static final long LONG_SILENCE_MILLIS = 60_000;
  private static final int SHORT_TIMEOUT_MILLIS = 200;
  private static final int GENEROUS_TIMEOUT_MILLIS = 30_000;
  private static final byte[] REQUEST =
      "GET / HTTP/1.1\r\nHost: w\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.UTF_8);

  private final WorkerSilences silences = new WorkerSilences();
  private final CountDownLatch firstEvent = new CountDownLatch(1);
  private final CountDownLatch goOn = new CountDownLatch(1);

  private StandInServer start(StandInServer.Handler worker) throws IOException {
    return StandInServer.start("127.0.0.1", 0, silences.guard(WORKER, worker));
  }

  private static Socket connect(int port, int timeoutMillis) throws IOException {
    Socket socket = new Socket();
    socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), timeoutMillis);
    socket.setSoTimeout(GENEROUS_TIMEOUT_MILLIS);
    return socket;
  }

  private static Socket request(int port) throws IOException {
    Socket socket = connect(port, GENEROUS_TIMEOUT_MILLIS);
    socket.getOutputStream().write(REQUEST);
    return socket;
  }

  private static String rest(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
  }

  /** Writes two events; what follows the first one waits until the test lets it go on. */
  private Reply twoEvents() {
    return Reply.events(
        out -> {
          out.write("id: 1\n\n".getBytes(StandardCharsets.UTF_8));
          out.flush();
          firstEvent.countDown();
          await(goOn);
          out.write("id: 2\n\n".getBytes(StandardCharsets.UTF_8));
        });
  }

  private static void await(CountDownLatch latch) throws IOException {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  @Test
  void streamInsideASilenceGoesOnWithItsNextEventAfterIt() throws Exception {
    try (StandInServer server = start(call -> twoEvents());
        Socket socket = request(server.port())) {
      firstEvent.await();
      silences.begin(List.of(WORKER), SILENCE_MILLIS);
      long begun = System.nanoTime();
      goOn.countDown();
      assertThat(rest(socket)).contains("id: 1\n\n").contains("id: 2\n\n").endsWith("0\r\n\r\n");
      assertThat(System.nanoTime() - begun).isGreaterThan((SILENCE_MILLIS - 50) * 1_000_000);
    }
  }

  @Test
  void newConnectionInASilenceIsAcceptedAndAnsweredAfterIt() throws Exception {
    try (StandInServer server = start(call -> Reply.empty(200))) {
      silences.begin(List.of(WORKER, "other"), LONG_SILENCE_MILLIS);
      try (Socket socket = request(server.port())) {
        socket.setSoTimeout(SHORT_TIMEOUT_MILLIS);
        InputStream in = socket.getInputStream();
        assertThatThrownBy(in::read).isInstanceOf(SocketTimeoutException.class);
        silences.end(WORKER);
        socket.setSoTimeout(GENEROUS_TIMEOUT_MILLIS);
        assertThat(rest(socket)).startsWith("HTTP/1.1 200");
        assertThat(silences.remainingMillis(WORKER)).isZero();
        assertThat(silences.remainingMillis("other")).isPositive();
      }
    }
  }

  @Test
  void failureInsideASilenceShowsAfterItOnly() throws Exception {
    StandInServer.Handler failing =
        call ->
            Reply.events(
                out -> {
                  out.write("id: 1\n\n".getBytes(StandardCharsets.UTF_8));
                  out.flush();
                  firstEvent.countDown();
                  await(goOn);
                  throw new IOException("the worker has crashed");
                });
    try (StandInServer server = start(failing);
        Socket socket = request(server.port())) {
      firstEvent.await();
      silences.begin(List.of(WORKER), LONG_SILENCE_MILLIS);
      goOn.countDown();
      socket.setSoTimeout(SHORT_TIMEOUT_MILLIS);
      assertThatThrownBy(() -> rest(socket)).isInstanceOf(SocketTimeoutException.class);
      silences.end(WORKER);
      socket.setSoTimeout(GENEROUS_TIMEOUT_MILLIS);
      assertThatThrownBy(() -> rest(socket)).hasMessageContaining("reset");
    }
  }

  @Test
  void darkWorkerKeepsItsConnectionsAndDropsNewOnes() throws Exception {
    WorkerServers servers = new WorkerServers();
    String address = servers.start(WORKER, call -> twoEvents());
    int port = Integer.parseInt(address.substring(address.indexOf(':') + 1));
    try (Socket socket = request(port)) {
      firstEvent.await();
      servers.goDark(WORKER);
      goOn.countDown();
      socket.setSoTimeout(SHORT_TIMEOUT_MILLIS);
      assertThatThrownBy(() -> rest(socket)).isInstanceOf(SocketTimeoutException.class);
      assertThatThrownBy(() -> connect(port, SHORT_TIMEOUT_MILLIS).close())
          .isInstanceOf(SocketTimeoutException.class);
      assertThat(servers.isRunning(WORKER)).isFalse();
      servers.close(WORKER);
      assertThat(servers.isDark(WORKER)).isFalse();
    }
  }
}
