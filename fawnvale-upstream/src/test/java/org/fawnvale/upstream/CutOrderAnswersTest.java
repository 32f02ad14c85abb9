package org.fawnvale.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.fawnvale.core.model.Node;
import org.fawnvale.core.model.Order;
import org.junit.jupiter.api.Test;

/** Guards against orders that count as taken though their answer is cut. */
class CutOrderAnswersTest {

  private static final Order ORDER =
      new Order("n", 1, 1, null, 0, List.of(), null, null, 0, null, true);
  private static final int TIMEOUT_MILLIS = 5_000;

  @Test
  void orderWhoseAnswerIsCutHasAnUnknownOutcome() throws Exception {
    String whole =
        "HTTP/1.1 200 OK\r\nFawnvale-Hop: daemon:control:1\r\nContent-Length: 12\r\n\r\n"
            + "123456789012";
    List<String> believed = new ArrayList<>();
    for (int end = 0; end < whole.length(); end++) {
      OrderResult result = order(whole.substring(0, end));
      if (!(result instanceof OrderResult.Unknown)) {
        believed.add(whole.substring(0, end) + " -> " + result);
      }
    }
    assertThat(believed).isEmpty();
    assertThat(order(whole)).isInstanceOf(OrderResult.Taken.class);
  }

  private static OrderResult order(String answer) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Thread answering = new Thread(() -> answerOnce(server, answer), "engine");
      answering.setDaemon(true);
      answering.start();
      UpstreamClient upstream = UpstreamClient.create(TIMEOUT_MILLIS, TIMEOUT_MILLIS);
      EngineClient client = EngineClient.create(upstream, System::nanoTime, "daemon");
      String address = "127.0.0.1:" + server.getLocalPort();
      Node node = new Node("n", "dc", "f", address, "", null, false);
      return client.order(node, ORDER, TIMEOUT_MILLIS);
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
