package org.fawnvale.daemon.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.fawnvale.platform.HttpObjectStore;
import org.fawnvale.platform.WriteResult;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against answers of the store that the end of their connection cuts and that count. */
class CutStoreAnswersTest {

  private static final int TIMEOUT_MILLIS = 5_000;

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"version\":12}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0e\r\n{\"version\":12}\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\n{\"version\":12}",
        "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n"
      })
  void writeWhoseAnswerIsCutHasAnUnknownOutcome(String whole) throws Exception {
    List<String> believed = new ArrayList<>();
    for (int end = 0; end < whole.length(); end++) {
      WriteResult result = put(whole.substring(0, end));
      if (!(result instanceof WriteResult.Unknown)) {
        believed.add(end + ": " + whole.substring(0, end) + " -> " + result);
      }
    }
    assertThat(believed).isEmpty();
  }

  private static WriteResult put(String answer) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Thread answering = new Thread(() -> answerOnce(server, answer), "store");
      answering.setDaemon(true);
      answering.start();
      try (HttpObjectStore store =
          HttpObjectStore.create(
              "127.0.0.1", server.getLocalPort(), TIMEOUT_MILLIS, TIMEOUT_MILLIS, kind -> {})) {
        return store.put("lease", 11, new byte[] {1});
      }
    }
  }

  private static void answerOnce(ServerSocket server, String answer) {
    try (Socket socket = server.accept()) {
      socket.getInputStream().read();
      socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
      socket.shutdownOutput();
      socket.getInputStream().readAllBytes();
    } catch (IOException e) {
      // The test has ended.
    }
  }
}
