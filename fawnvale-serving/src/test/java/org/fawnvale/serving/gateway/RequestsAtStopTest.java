package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fawnvale.serving.core.shutdown.StopSchedule;
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
  private static final String EVENT = "id: 1\ndata: 1\n\n";
  private static final int READ_TIMEOUT_MILLIS = 3_000;

  /** Time within which an event passes the gateway on loopback. */
  private static final int EVENT_ARRIVAL_MILLIS = 200;

  /** A short grace period: 1 s is left behind its margin when a stop has run for 2.9 s. */
  private static final int GRACE_MILLIS = 4_600;

  /** More than what is left of the grace period after 2.9 s, and less than after 2 s. */
  private static final int LONG_MILLIS = 1_100;

  /** Requests after which the usual duration of a route is known. */
  private static final int KNOWN_REQUESTS = 4;

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

  /** Reads the head alone: a connection with a body under way stays open until the process ends. */
  private static String readHead(Socket socket) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = socket.getInputStream().read();
      assertThat(next).as("a byte behind: %s", head).isNotNegative();
      head.append((char) next);
    }
    return head.toString();
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
      assertThat(readHead(caller)).startsWith("HTTP/1.1 503 ").contains("Retry-After: ");
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

  /** A stream that has begun must not look complete: its last chunk does not come. */
  @Test
  void streamThatHasBegunIsCut() throws Exception {
    upstream.answer(
        STREAM,
        out -> {
          ProgrammedUpstream.writeStreamHead(out);
          ProgrammedUpstream.writeChunk(out, EVENT);
          Thread.currentThread().join();
        });
    try (Socket caller = send(STREAM, 0, "")) {
      byte[] begun = new byte[1];
      assertThat(caller.getInputStream().read(begun)).isEqualTo(1);
      Thread.sleep(EVENT_ARRIVAL_MILLIS);
      endAll();
      assertThat(readUntilCut(caller)).contains(EVENT).doesNotContain("0\r\n\r\n");
    }
    assertThat(isOpen()).isFalse();
  }

  private static String readUntilCut(Socket socket) throws IOException {
    StringBuilder read = new StringBuilder();
    try {
      for (int next = socket.getInputStream().read(); next >= 0; ) {
        read.append((char) next);
        next = socket.getInputStream().read();
      }
    } catch (SocketTimeoutException e) {
      throw e;
    } catch (IOException e) {
      // A reset cuts the stream as well.
    }
    return read.toString();
  }

  private void drainSince(int millis) {
    synchronized (running.lock()) {
      long begunNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(millis);
      running.gateway().drain(new StopSchedule(begunNanos, GRACE_MILLIS));
    }
  }

  /** Makes requests of a path known to take as long as the upstream waits. */
  private void answerAfter(String path, int millis) throws Exception {
    upstream.answer(
        path,
        out -> {
          Thread.sleep(millis);
          out.write("Content-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII));
        });
    for (int request = 0; request < KNOWN_REQUESTS; request++) {
      assertThat(running.send(path).statusCode()).isEqualTo(200);
    }
  }

  @Test
  void requestThatUsuallyTakesLongerThanIsLeftIsRefusedAsNotRun() throws Exception {
    answerAfter(UNSAFE, LONG_MILLIS);
    drainSince(2_900);
    HttpResponse<String> answer = running.send(UNSAFE);
    assertThat(answer.statusCode()).isEqualTo(503);
    assertThat(answer.headers().firstValue("Retry-After")).isPresent();
    assertThat(upstream.received(UNSAFE)).isEqualTo(KNOWN_REQUESTS);
  }

  /** Guards against refusals of what ends in time, whatever else is slow. */
  @Test
  void requestsThatEndInTimeAreServedAsBefore() throws Exception {
    answerAfter(UNSAFE, LONG_MILLIS);
    answerAfter(SAFE, 0);
    drainSince(2_000);
    for (int request = 0; request < KNOWN_REQUESTS; request++) {
      assertThat(running.send(SAFE).statusCode()).isEqualTo(200);
    }
    assertThat(running.send(UNSAFE).statusCode()).isEqualTo(200);
  }

  /** Guards against a request that is taken on between two polls of the stopping thread. */
  @Test
  void requestIsRefusedFromTheTimeOnByWhichTheBalancerSendsNone() throws Exception {
    answerAfter(SAFE, 0);
    drainSince(3_001);
    assertThat(running.send(SAFE).statusCode()).isEqualTo(503);
    assertThat(upstream.received(SAFE)).isEqualTo(KNOWN_REQUESTS);
  }
}
