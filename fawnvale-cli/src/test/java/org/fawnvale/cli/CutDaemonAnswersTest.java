package org.fawnvale.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a daemon's answers that are cut and that operators are told to be done. */
class CutDaemonAnswersTest {

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"version\":12}",
        "HTTP/1.1 200 OK\r\n\r\n{\"version\":12}"
      })
  void changeWhoseAnswerIsCutIsNotDone(String whole) throws Exception {
    List<String> believed = new ArrayList<>();
    for (int end = 0; end < whole.length(); end++) {
      OperatorClient.Reply reply = post(whole.substring(0, end));
      if (reply instanceof OperatorClient.Reply.Done) {
        believed.add(end + ": " + whole.substring(0, end) + " -> " + reply);
      }
    }
    assertThat(believed).isEmpty();
  }

  private static OperatorClient.Reply post(String answer) throws Exception {
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Thread answering = new Thread(() -> answerOnce(server, answer), "daemon");
      answering.setDaemon(true);
      answering.start();
      return new OperatorClient("127.0.0.1:" + server.getLocalPort(), "key", null)
          .post("/bundle", "o", "{}");
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
