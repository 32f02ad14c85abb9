package org.fawnvale.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.fawnvale.core.settings.DaemonSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against callers that take all connections with requests that they do not end. */
@Timeout(60)
class IncompleteRequestsTest {

  private static final int CONNECTIONS = 10;
  private static final int TIMEOUT_MILLIS = 5_000;
  private static final int PAUSE_MILLIS = 50;

  private final List<Socket> crowd = new ArrayList<>();
  private final BoundedHttpServer server =
      new BoundedHttpServer(
          "callers",
          new DaemonSettings.Listener("127.0.0.1", 0, null, null),
          CONNECTIONS,
          (request, response, context) -> response.setCode(204));

  @BeforeEach
  void start() throws Exception {
    server.start();
  }

  @AfterEach
  void stop() throws IOException {
    for (Socket socket : crowd) {
      socket.close();
    }
    server.stop();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "GET / HTTP/1.1\r\nHost: localhost\r\na: ",
        "POST / HTTP/1.1\r\nHost: localhost\r\nContent-Length: 10\r\n\r\n123456789",
        "POST / HTTP/1.1\r\nHost: localhost\r\nTransfer-Encoding: chunked\r\n\r\n0\r\na:\r\n"
      })
  void callersWhoseRequestsAreNotWholeMakeRoomForOthers(String incomplete) throws Exception {
    for (int number = 0; number < CONNECTIONS; number++) {
      Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port());
      crowd.add(socket);
      socket.getOutputStream().write(incomplete.getBytes(StandardCharsets.US_ASCII));
    }
    while (!isServed()) {
      TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
    }
    assertThat(isServed()).isTrue();
  }

  private boolean isServed() {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket
          .getOutputStream()
          .write(
              "GET / HTTP/1.1\r\nHost: localhost\r\nConnection: close\r\n\r\n"
                  .getBytes(StandardCharsets.US_ASCII));
      String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      return answer.startsWith("HTTP/1.1 204");
    } catch (IOException e) {
      return false;
    }
  }
}
