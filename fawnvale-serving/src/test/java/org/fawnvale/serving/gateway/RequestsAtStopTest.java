package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against requests that a planned stop passes on or holds and then leaves unanswered. */
@Timeout(60)
class RequestsAtStopTest {

  private static final String SAFE = "/safe/";
  private static final String UNSAFE = "/unsafe/";
  private static final String STREAM = "/stream/";
  private static final int READ_TIMEOUT_MILLIS = 3_000;

  private RunningGateway running;
  private ProgrammedUpstream upstream;

  @BeforeEach
  void start() throws IOException {
    running = new RunningGateway();
    upstream = new ProgrammedUpstream();
    running.serveAt(List.of(upstream.port()), "");
    running.makeFleetKnown();
  }

  @AfterEach
  void stop() throws IOException {
    running.close();
    upstream.close();
  }

  private Socket send(String path, int statedLength, String body) throws IOException {
    Socket socket = new Socket("127.0.0.1", running.port());
    socket.setSoTimeout(READ_TIMEOUT_MILLIS);
    String head =
        "POST %s HTTP/1.1\r\nHost: localhost\r\nT-Id: r\r\nAuthorization: Key secret\r\n"
            + "Content-Length: %d\r\n\r\n%s";
    socket
        .getOutputStream()
        .write(head.formatted(path, statedLength, body).getBytes(StandardCharsets.US_ASCII));
    return socket;
  }

  private void neverAnswer(String path) {
    upstream.answer(path, out -> Thread.currentThread().join());
  }

  private void awaitReceived(String path) throws InterruptedException {
    while (upstream.received(path) == 0) {
      Thread.sleep(1);
    }
  }

  private void awaitOpen() throws InterruptedException {
    while (!isOpen()) {
      Thread.sleep(1);
    }
  }

  private boolean isOpen() {
    synchronized (running.lock()) {
      return running.gateway().hasOpenRequests();
    }
  }

  private void endAll() {
    synchronized (running.lock()) {
      running.gateway().drain();
      running.gateway().endAll();
    }
  }

  /** Reads until the connection ends, as it does after each response of a daemon that stops. */
  private static String readAll(Socket socket) throws IOException {
    return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
  }

  private void assertAnsweredAtTheEnd(String path) throws Exception {
    neverAnswer(path);
    try (Socket caller = send(path, 0, "")) {
      awaitReceived(path);
      endAll();
      assertThat(readAll(caller)).startsWith("HTTP/1.1 502 ").contains("T-Id: r", "\r\n\r\n");
    }
    assertThat(upstream.received(path)).isEqualTo(1);
  }

  @Test
  void runningUnsafeRequestGetsAFinalErrorAnswer() throws Exception {
    assertAnsweredAtTheEnd(UNSAFE);
  }

  @Test
  void runningSafeRequestGetsAFinalErrorAnswer() throws Exception {
    assertAnsweredAtTheEnd(SAFE);
  }

  @Test
  void streamThatHasNotBegunGetsAFinalErrorAnswer() throws Exception {
    assertAnsweredAtTheEnd(STREAM);
  }

  @Test
  void requestWhoseBodyStillArrivesIsRefusedAsNotRun() throws Exception {
    try (Socket caller = send(UNSAFE, 100, "part of the body")) {
      awaitOpen();
      endAll();
      assertThat(readAll(caller)).startsWith("HTTP/1.1 503 ").contains("Retry-After: ");
    }
    assertThat(upstream.received(UNSAFE)).isZero();
  }

  @Test
  void requestThatComesAfterTheEndIsRefusedAsNotRun() throws Exception {
    endAll();
    try (Socket caller = send(UNSAFE, 0, "")) {
      assertThat(readAll(caller)).startsWith("HTTP/1.1 503 ").contains("Retry-After: ");
    }
    assertThat(upstream.received(UNSAFE)).isZero();
  }
}
