package org.fawnvale.serving.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.spi.Call;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against cut or spoilt answers that acknowledge an order or show another state. */
class CutAnswersToCallsTest {

  private static final int MAX_HEADER_BYTES = 16_384;
  private static final long TIMEOUT_MILLIS = 600_000;

  private final Timers timers = new Timers(new Object());
  private final HttpReactor reactor = HttpReactor.start(MAX_HEADER_BYTES);
  private final HttpClient client = new HttpClient(reactor, timers);

  @AfterEach
  void stop() {
    timers.stop();
    reactor.stop();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 204 No Content\r\n\r\n",
        "HTTP/1.1 409 Conflict\r\nT-Token: 1234\r\n\r\n",
        "HTTP/1.1 200 OK\r\nT-Era: 123456\r\nContent-Length: 13\r\n\r\n{\"state\": 12}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0f\r\n{\"state\": 1234}\r\n0\r\n\r\n"
      })
  void answerThatItsConnectionsEndCutsIsNone(String whole) throws Exception {
    List<String> believed = new ArrayList<>();
    for (int end = 0; end < whole.length(); end++) {
      String cut = whole.substring(0, end);
      if (!(call(cut, false) instanceof BufferedCall.Failed)) {
        believed.add(cut);
      }
    }
    assertThat(believed).isEmpty();
  }

  /** Answers of the store, and to orders, reports and health checks, spoilt in one place. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 202 Accepted\r\nX Tone: 1\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 202 Accepted\r\nContent-Length : 0\r\n\r\n",
        "HTTP/1.1 202 Accepted\r\n Content-Length: 0\r\n\r\n",
        "HTTP/1.1 000 Accepted\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 600 Accepted\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 409 Conflict\r\nT-Token : 1234\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nT-Era\u0001: 12\r\nContent-Length: 13\r\n\r\n{\"state\": 12}",
        "HTTP/1.1 200 OK\r\nT-Era: 1\u00012\r\nContent-Length: 13\r\n\r\n{\"state\": 12}",
        "HTTP/1.1 200 OK\r\nContent Length: 13\r\n\r\n{\"state\": 12}",
        "HTTP/1.1 200 OK\r\nContent-Length: +13\r\n\r\n{\"state\": 12}",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n+d\r\n{\"state\": 12}\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nd\r\n{\"state\": 12}\r\n0\r\nX\r\n\r\n"
      })
  void spoiltAnswerIsNone(String answer) throws Exception {
    assertThat(call(answer, false)).isInstanceOf(BufferedCall.Failed.class);
    assertThat(call(answer, true)).isInstanceOf(BufferedCall.Failed.class);
  }

  @Test
  void answerThatArrivesByteByByteIsRead() throws Exception {
    String whole =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nT-End: 1\r\n\r\n";
    assertThat(call(whole, true))
        .isInstanceOfSatisfying(
            BufferedCall.Answered.class,
            answer -> assertThat(answer.body()).asString().isEqualTo("whole"));
  }

  @Test
  void answerWithAWholeHeadStillEndsWithItsConnection() throws Exception {
    assertThat(call("HTTP/1.1 200 OK\r\nT-Era: 12\r\n\r\nwhole", false))
        .isInstanceOfSatisfying(
            BufferedCall.Answered.class,
            answer -> assertThat(answer.body()).asString().isEqualTo("whole"));
  }

  private BufferedCall.Reply call(String answer, boolean byteByByte) throws Exception {
    BlockingQueue<BufferedCall.Reply> replies = new LinkedBlockingQueue<>();
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Thread answering = new Thread(() -> answerOnce(server, answer, byteByByte), "server");
      answering.setDaemon(true);
      answering.start();
      Endpoint endpoint = new Endpoint("127.0.0.1", server.getLocalPort());
      synchronized (timers.lock()) {
        BufferedCall.send(client, timers, endpoint, Call.get("/"), TIMEOUT_MILLIS, replies::add);
      }
      return replies.take();
    }
  }

  private static void answerOnce(ServerSocket server, String answer, boolean byteByByte) {
    try (Socket socket = server.accept()) {
      socket.setTcpNoDelay(true);
      socket.getInputStream().read();
      byte[] bytes = answer.getBytes(StandardCharsets.US_ASCII);
      int step = byteByByte ? 1 : Math.max(1, bytes.length);
      for (int from = 0; from < bytes.length; from += step) {
        socket.getOutputStream().write(bytes, from, step);
        socket.getOutputStream().flush();
      }
      socket.shutdownOutput();
      socket.getInputStream().readAllBytes();
    } catch (IOException e) {
      // The test has ended.
    }
  }
}
