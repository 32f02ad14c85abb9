package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards the answers to callers that send an empty line behind the body of a request. */
class EmptyLineBehindARequestTest {

  private static final String REQUEST =
      "POST /unsafe/ HTTP/1.1\r\nHost: localhost\r\nT-Id: r\r\nAuthorization: Key secret\r\n"
          + "T-Left: 20000\r\nContent-Length: 4\r\n\r\nbody";

  /** Some callers end a body with an empty line of its own (RFC 9112, section 2.2). */
  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void wholeRequestIsAnswered(boolean emptyLine) throws Exception {
    try (RunningGateway running = new RunningGateway();
        ScriptedUpstream upstream =
            new ScriptedUpstream(
                head -> "HTTP/1.1 200 OK\r\nT-Id: r\r\nT-Signed: s\r\nContent-Length: 0\r\n\r\n")) {
      running.makeFleetKnown();
      running.serve(List.of(upstream), "");
      String request = REQUEST + (emptyLine ? "\r\n" : "");
      assertThat(send(running, request)).startsWith("HTTP/1.1 200 OK");
    }
  }

  private static String send(RunningGateway running, String request) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), running.port())) {
      socket.setSoTimeout(10_000);
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      byte[] start = socket.getInputStream().readNBytes("HTTP/1.1 200 OK".length());
      return new String(start, StandardCharsets.US_ASCII);
    }
  }
}
