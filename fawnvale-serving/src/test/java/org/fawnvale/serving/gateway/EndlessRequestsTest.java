package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.http.EndlessClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests of callers and of other daemons that never end and take memory. */
class EndlessRequestsTest {

  private static final int CLIENTS = 50;

  /** The bound of the gateway under test, see {@link RunningGateway}. */
  private static final int MAX_HEAD_BYTES = 16_384;

  /** What a connection may take beyond the bound: the buffers of the system on both sides. */
  private static final long BUFFERED_BYTES = 16L << 20;

  private static final int READ_MILLIS = 30_000;

  private static final String OK =
      "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nContent-Length: 2\r\n\r\nok";
  private static final String HEAD =
      "POST /safe/x HTTP/1.1\r\nHost: localhost\r\nT-Id: r\r\nAuthorization: Key secret\r\n"
          + "T-Left: 60000\r\n";

  private final List<EndlessClient> clients = new ArrayList<>();
  private RunningGateway running;
  private ScriptedUpstream upstream;

  @BeforeEach
  void start() throws Exception {
    running = new RunningGateway();
    upstream = new ScriptedUpstream(head -> OK);
    running.makeFleetKnown();
    running.serve(List.of(upstream), "");
  }

  @AfterEach
  void stop() throws Exception {
    for (EndlessClient client : clients) {
      client.close();
    }
    upstream.close();
    running.close();
  }

  private void sendEndless(EndlessClient.Kind kind, int port) throws IOException {
    for (int number = 0; number < CLIENTS; number++) {
      clients.add(new EndlessClient(kind, port));
    }
  }

  private void assertAllClosed() throws InterruptedException {
    for (EndlessClient client : clients) {
      assertThat(client.awaitClosed()).isTrue();
      assertThat(client.written()).isLessThan(MAX_HEAD_BYTES + BUFFERED_BYTES);
    }
  }

  @ParameterizedTest
  @EnumSource
  void callersWhoseRequestsNeverEndAreClosedAndOthersServed(EndlessClient.Kind kind)
      throws Exception {
    sendEndless(kind, running.port());
    assertThat(running.send("/safe/x").body()).isEqualTo("ok");
    assertAllClosed();
    assertThat(running.metric("fawnvale.callers.held.bytes")).isZero();
    assertThat(running.send("/safe/x").body()).isEqualTo("ok");
    assertThat(upstream.requests()).hasSize(2);
  }

  @ParameterizedTest
  @EnumSource
  void otherDaemonsWhoseRequestsNeverEndAreClosedAndCallersServed(EndlessClient.Kind kind)
      throws Exception {
    sendEndless(kind, running.takeForwarded());
    assertThat(running.send("/safe/x").body()).isEqualTo("ok");
    assertAllClosed();
    assertThat(running.send("/safe/x").body()).isEqualTo("ok");
    assertThat(upstream.requests()).hasSize(2);
  }

  /** Guards against a bound that counts more than the head: a body, or requests sent together. */
  @ParameterizedTest
  @ValueSource(strings = {"x", "T-More: of the same\r\n", "a:\r\n"})
  void longestSoundHeadsAreServedOneAfterTheOther(String filler) throws Exception {
    String body = "x".repeat(GatewayTest.configuration().maxBodyBytes());
    String framing = "Content-Length: " + body.length() + "\r\n";
    String request = head(filler, MAX_HEAD_BYTES, framing) + body;
    String last = head(filler, MAX_HEAD_BYTES, "Connection: close\r\n" + framing) + body;
    assertThat(successes(request + request + last)).isEqualTo(3);
  }

  @ParameterizedTest
  @ValueSource(strings = {"x", "T-More: of the same\r\n"})
  void headOfOneByteMoreThanTheBoundIsNotServed(String filler) throws Exception {
    assertThat(successes(head(filler, MAX_HEAD_BYTES + 1, "Content-Length: 0\r\n"))).isZero();
    assertThat(upstream.requests()).isEmpty();
  }

  /** Guards against a bound on the lines of sound chunks, which together are long. */
  @Test
  void longBodyOfSmallChunksIsServed() throws Exception {
    Configuration usual = GatewayTest.configuration();
    running.makeFleetKnown(
        new Configuration(
            usual.version() + 1,
            usual.routes(),
            usual.services(),
            usual.workspaces(),
            usual.maxHeaderBytes(),
            MAX_HEAD_BYTES,
            usual.idleMillis()));
    String request =
        HEAD
            + "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "1\r\nx\r\n".repeat(MAX_HEAD_BYTES)
            + "0\r\nT-End: 1\r\n\r\n";
    assertThat(successes(request)).isEqualTo(1);
  }

  /** Returns a head of exactly so many bytes, filled up with a long value or with headers. */
  private static String head(String filler, int bytes, String framing) {
    String start = HEAD + framing;
    String end = "\r\n\r\n";
    int lines = filler.endsWith("\n") ? (bytes - start.length() - 100) / filler.length() : 0;
    String filled = start + filler.repeat(lines) + "T-Last: ";
    return filled + "x".repeat(bytes - filled.length() - end.length()) + end;
  }

  /** Sends requests on one connection; returns how many were answered with a success. */
  private int successes(String requests) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), running.port())) {
      socket.setSoTimeout(READ_MILLIS);
      socket.getOutputStream().write(requests.getBytes(StandardCharsets.US_ASCII));
      return readAnswers(socket).split("HTTP/1.1 200 OK", -1).length - 1;
    }
  }

  /** Reads until the daemon closes the connection, which it may do by a reset. */
  private static String readAnswers(Socket socket) {
    try {
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    } catch (IOException e) {
      return "";
    }
  }
}
