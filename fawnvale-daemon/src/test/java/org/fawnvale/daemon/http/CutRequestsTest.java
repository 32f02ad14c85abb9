package org.fawnvale.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.fawnvale.core.settings.DaemonSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against requests that are cut by the end of a caller's connection and run all the same.
 */
class CutRequestsTest {

  private final List<String> bodies = new CopyOnWriteArrayList<>();
  private final BoundedHttpServer server =
      new BoundedHttpServer(
          "callers",
          new DaemonSettings.Listener("127.0.0.1", 0, null, null),
          10,
          (request, response, context) ->
              bodies.add(
                  request.getEntity() == null ? "" : EntityUtils.toString(request.getEntity())));

  @AfterEach
  void stop() {
    server.stop();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET / HTTP/1.1\r\nHost: localhost\r\nX-Caller: c\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: localhost\r\nContent-Length: 12\r\n\r\n123456789012",
        "POST / HTTP/1.1\r\nHost: localhost\r\nTransfer-Encoding: chunked\r\n\r\n"
            + "05\r\nwhole\r\n0\r\nX-End: 1\r\n\r\n"
      })
  void requestThatItsConnectionsEndCutsIsNotHandled(String whole) throws Exception {
    server.start();
    for (int end = 0; end < whole.length(); end++) {
      send(whole.substring(0, end));
    }
    assertThat(bodies).isEmpty();
    assertThat(send(whole)).startsWith("HTTP/1.1 200");
    assertThat(bodies).hasSize(1);
  }

  /** Sends bytes, ends the sending side, and reads until the server ends the connection. */
  private String send(String request) {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      socket.shutdownOutput();
      return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
    } catch (IOException e) {
      // The server may reset the connection of a cut request.
      return "";
    }
  }
}
