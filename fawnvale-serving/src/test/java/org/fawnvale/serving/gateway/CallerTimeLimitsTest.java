package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against limits of the configuration that are read and not applied. */
@Timeout(60)
class CallerTimeLimitsTest {

  private static final int LIMIT_MILLIS = 300;
  private static final int UNLIMITED = 0;
  private static final int STEP_MILLIS = 50;
  private static final String HEAD =
      "POST /safe/x HTTP/1.1\r\nHost: localhost\r\nT-Id: r\r\nAuthorization: Key secret\r\n"
          + "T-Left: 60000\r\n";
  private static final String OK =
      "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nContent-Length: 2\r\n\r\nok";

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
    upstream.close();
    running.close();
  }

  private Socket connect() throws IOException {
    return new Socket(InetAddress.getLoopbackAddress(), running.port());
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  /** Sends byte after byte until the daemon has closed the connection. */
  private static void sendUntilClosed(Socket socket) throws InterruptedException {
    boolean closed = false;
    while (!closed) {
      TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
      try {
        OutputStream out = socket.getOutputStream();
        out.write('x');
      } catch (IOException e) {
        closed = true;
      }
    }
  }

  @Test
  void headThatTakesTooLongIsClosedThoughItGoesOn() throws Exception {
    running.limitTimes(LIMIT_MILLIS, UNLIMITED);
    try (Socket socket = connect()) {
      write(socket, HEAD + "a: ");
      sendUntilClosed(socket);
    }
    assertThat(upstream.requests()).isEmpty();
  }

  @Test
  void idleConnectionIsClosed() throws Exception {
    running.limitTimes(UNLIMITED, LIMIT_MILLIS);
    try (Socket socket = connect()) {
      write(socket, HEAD + "Content-Length: 0\r\n\r\n");
      String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      assertThat(answer).startsWith("HTTP/1.1 200").endsWith("ok");
    }
  }

  @Test
  void bodyThatPausesForTooLongIsClosed() throws Exception {
    running.limitTimes(UNLIMITED, LIMIT_MILLIS);
    try (Socket socket = connect()) {
      write(socket, HEAD + "Content-Length: 10\r\n\r\n123456789");
      assertThat(socket.getInputStream().read()).isNegative();
    } catch (IOException e) {
      assertThat(e).hasMessageContaining("reset");
    }
    assertThat(upstream.requests()).isEmpty();
  }
}
