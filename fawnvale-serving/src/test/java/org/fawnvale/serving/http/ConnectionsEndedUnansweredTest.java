package org.fawnvale.serving.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.spi.Call;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that count as not run though their connection took them. */
class ConnectionsEndedUnansweredTest {

  private static final long TIMEOUT_MILLIS = 600_000;

  private final Timers timers = new Timers(new Object());
  private final HttpReactor reactor = HttpReactor.start(16_384);
  private final HttpClient client = new HttpClient(reactor, timers);

  @AfterEach
  void stop() {
    timers.stop();
    reactor.stop();
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "\r\n", "H", "HTTP/1.1 100 Continue\r\n\r\n"})
  void requestOnAKeptConnectionMayHaveRun(String answer) throws Exception {
    BlockingQueue<BufferedCall.Reply> replies = new LinkedBlockingQueue<>();
    try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Thread answering = new Thread(() -> serve(server, answer), "server");
      answering.setDaemon(true);
      answering.start();
      Endpoint endpoint = new Endpoint("127.0.0.1", server.getLocalPort());
      assertThat(call(endpoint, replies)).isInstanceOf(BufferedCall.Answered.class);
      while (!client.hasIdle(endpoint)) {
        Thread.onSpinWait();
      }
      assertThat(call(endpoint, replies))
          .isEqualTo(new BufferedCall.Failed(ClientListener.Failure.BROKEN));
    }
  }

  private BufferedCall.Reply call(Endpoint endpoint, BlockingQueue<BufferedCall.Reply> replies)
      throws InterruptedException {
    synchronized (timers.lock()) {
      BufferedCall.send(client, timers, endpoint, Call.get("/"), TIMEOUT_MILLIS, replies::add);
    }
    return replies.take();
  }

  private static void serve(ServerSocket server, String last) {
    try (Socket socket = server.accept()) {
      readHead(socket.getInputStream());
      write(socket, "HTTP/1.1 204 No Content\r\n\r\n");
      readHead(socket.getInputStream());
      write(socket, last);
      socket.shutdownOutput();
      socket.getInputStream().readAllBytes();
    } catch (IOException e) {
      // The test has ended.
    }
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private static void readHead(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      if (next < 0) {
        throw new IOException("The caller has closed the connection.");
      }
      head.append((char) next);
    }
  }
}
