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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.spi.Call;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against answers of the store, of peers and of reports that fill the daemon's memory. */
class EndlessAnswersToCallsTest {

  private static final int MAX_HEADER_BYTES = 16_384;
  private static final long TIMEOUT_MILLIS = 600_000;
  private static final int SERVERS = 12;

  /** What a connection may take beyond the bound: the buffers of the system. */
  private static final long BUFFERED_BYTES = 16L << 20;

  private final Timers timers = new Timers(new Object());
  private final HttpReactor reactor = HttpReactor.start(MAX_HEADER_BYTES);
  private final HttpClient client = new HttpClient(reactor, timers);
  private final List<EndlessServer> servers = new ArrayList<>();

  @AfterEach
  void stop() throws Exception {
    timers.stop();
    reactor.stop();
    for (EndlessServer server : servers) {
      server.close();
    }
  }

  @ParameterizedTest
  @EnumSource
  void callFailsAtABoundWhenTheAnswerNeverEnds(EndlessServer.Kind kind) throws Exception {
    BlockingQueue<BufferedCall.Reply> replies = new LinkedBlockingQueue<>();
    CountDownLatch requests = new CountDownLatch(SERVERS);
    for (int number = 0; number < SERVERS; number++) {
      EndlessServer server = new EndlessServer(kind, requests);
      servers.add(server);
      send(server.port(), replies::add);
    }
    for (EndlessServer server : servers) {
      assertThat(replies.take())
          .isInstanceOfSatisfying(
              BufferedCall.Failed.class,
              failed -> assertThat(failed.failure()).isEqualTo(ResponseListener.Failure.BROKEN));
      assertThat(server.awaitClosed()).isTrue();
      assertThat(server.written()).isLessThan(BufferedCall.MAX_PAGE_BYTES + BUFFERED_BYTES);
    }
  }

  @Test
  void otherCallsAreAnsweredWhileManyAnswersNeverEnd() throws Exception {
    BlockingQueue<BufferedCall.Reply> replies = new LinkedBlockingQueue<>();
    CountDownLatch requests = new CountDownLatch(SERVERS);
    for (int number = 0; number < SERVERS; number++) {
      EndlessServer server = new EndlessServer(EndlessServer.Kind.CHUNKS, requests);
      servers.add(server);
      send(server.port(), reply -> {});
    }
    requests.await();
    try (ServerSocket sound = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      Thread answering = new Thread(() -> answerOnce(sound), "sound-server");
      answering.setDaemon(true);
      answering.start();
      send(sound.getLocalPort(), replies::add);
      assertThat(replies.take()).isInstanceOf(BufferedCall.Answered.class);
    }
  }

  private void send(int port, Consumer<BufferedCall.Reply> done) {
    Endpoint endpoint = new Endpoint("127.0.0.1", port);
    synchronized (timers.lock()) {
      BufferedCall.send(client, timers, endpoint, Call.get("/"), TIMEOUT_MILLIS, done);
    }
  }

  private static void answerOnce(ServerSocket server) {
    try (Socket socket = server.accept()) {
      socket.getInputStream().read();
      socket
          .getOutputStream()
          .write(
              "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      socket.getInputStream().readAllBytes();
    } catch (IOException e) {
      // The test has ended.
    }
  }
}
