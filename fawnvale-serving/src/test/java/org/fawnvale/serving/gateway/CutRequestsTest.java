package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests that are cut by the end of a caller's connection and run all the same.
 */
class CutRequestsTest {

  private static final String HEAD =
      " /unsafe/ HTTP/1.1\r\nHost: localhost\r\nT-Id: r\r\nAuthorization: Key secret\r\n"
          + "T-Left: 20000\r\n";

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: 12\r\n\r\n123456789012",
        "Transfer-Encoding: chunked\r\n\r\n0c\r\n123456789012\r\n0\r\nT-End: 1\r\n\r\n"
      })
  void requestThatItsConnectionsEndCutsIsNotSent(String rest) throws Exception {
    String whole = "POST" + HEAD + rest;
    try (RunningGateway running = new RunningGateway();
        ScriptedUpstream upstream =
            new ScriptedUpstream(
                head -> "HTTP/1.1 200 OK\r\nT-Id: r\r\nT-Signed: s\r\nContent-Length: 0\r\n\r\n")) {
      running.makeFleetKnown();
      running.serve(List.of(upstream), "");
      for (int end = 0; end < whole.length(); end++) {
        assertThat(answerTo(running, whole.substring(0, end))).doesNotContain("200 OK");
      }
      assertThat(upstream.requests()).isEmpty();
      assertThat(answerByteByByte(running, whole)).contains("200 OK");
    }
  }

  private static String answerTo(RunningGateway running, String request) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), running.port())) {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      socket.shutdownOutput();
      return readAnswer(socket);
    }
  }

  private static String answerByteByByte(RunningGateway running, String request)
      throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), running.port())) {
      socket.setTcpNoDelay(true);
      for (byte next : request.getBytes(StandardCharsets.US_ASCII)) {
        socket.getOutputStream().write(next);
        socket.getOutputStream().flush();
      }
      byte[] start = socket.getInputStream().readNBytes("HTTP/1.1 200 OK".length());
      return new String(start, StandardCharsets.US_ASCII);
    }
  }

  /** Reads until the daemon closes the connection, which it may do by a reset. */
  private static String readAnswer(Socket socket) {
    try {
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    } catch (IOException e) {
      return "";
    }
  }
}
