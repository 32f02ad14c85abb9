package org.fawnvale.serving.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.spi.Call;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against reuse of dead connections: a network fault may break all open connections at once
 * without a reset, while new ones work.
 */
class UnresponsiveConnectionsTest {

  private static final int MAX_HEADER_BYTES = 8_192;
  private static final long SHORT_TIMEOUT_MILLIS = 300;
  private static final long LONG_TIMEOUT_MILLIS = 60_000;

  private final Timers timers = new Timers(new Object());
  private final BlockingQueue<BufferedCall.Reply> replies = new LinkedBlockingQueue<>();
  private final CountDownLatch bothRequestsReceived = new CountDownLatch(2);
  private final AtomicInteger accepted = new AtomicInteger();
  private ServerSocket server;
  private HttpReactor reactor;
  private HttpClient client;
  private volatile int unresponsiveUpTo;

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    Thread acceptor = new Thread(this::accept, "silent-server");
    acceptor.setDaemon(true);
    acceptor.start();
    reactor = HttpReactor.start(MAX_HEADER_BYTES);
    client = new HttpClient(reactor, timers);
  }

  @AfterEach
  void stop() throws IOException {
    timers.stop();
    reactor.stop();
    server.close();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        int number = accepted.incrementAndGet();
        Thread worker = new Thread(() -> serve(socket, number), "silent-connection");
        worker.setDaemon(true);
        worker.start();
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  private void serve(Socket socket, int number) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      String line = in.readLine();
      while (line != null) {
        boolean isEndOfHeaders = line.isEmpty();
        if (isEndOfHeaders && number > unresponsiveUpTo) {
          bothRequestsReceived.countDown();
          bothRequestsReceived.await();
          socket
              .getOutputStream()
              .write(
                  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                      .getBytes(StandardCharsets.US_ASCII));
        }
        line = in.readLine();
      }
    } catch (IOException e) {
      // The client has closed the connection.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void call(long timeoutMillis) {
    Endpoint endpoint = new Endpoint("127.0.0.1", server.getLocalPort());
    synchronized (timers.lock()) {
      BufferedCall.send(client, timers, endpoint, Call.get("/"), timeoutMillis, replies::add);
    }
  }

  @Test
  void callAfterATimeoutUsesANewConnection() throws Exception {
    call(LONG_TIMEOUT_MILLIS);
    call(LONG_TIMEOUT_MILLIS);
    assertThat(replies.take()).isInstanceOf(BufferedCall.Answered.class);
    assertThat(replies.take()).isInstanceOf(BufferedCall.Answered.class);
    unresponsiveUpTo = 2;

    call(SHORT_TIMEOUT_MILLIS);
    assertThat(replies.take()).isInstanceOf(BufferedCall.Failed.class);
    call(LONG_TIMEOUT_MILLIS);
    assertThat(replies.take()).isInstanceOf(BufferedCall.Answered.class);
    assertThat(accepted).hasValue(3);
  }
}
