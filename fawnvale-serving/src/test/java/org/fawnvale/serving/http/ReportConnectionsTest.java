package org.fawnvale.serving.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.fawnvale.serving.core.model.Endpoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against an old report that comes late where an order's or a caller's answer is due. */
class ReportConnectionsTest {

  private final Timers timers = new Timers(new Object());
  private final HttpReactor reactor = HttpReactor.start(8_192);
  private final HttpClient client = new HttpClient(reactor, timers);
  private final List<String> received = new CopyOnWriteArrayList<>();
  private final AtomicInteger accepted = new AtomicInteger();
  private ServerSocket server;

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    startThread(this::accept);
  }

  @AfterEach
  void stop() throws IOException {
    timers.stop();
    reactor.stop();
    server.close();
  }

  private static void startThread(Runnable task) {
    Thread thread = new Thread(task, "server");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        int number = accepted.incrementAndGet();
        startThread(() -> serve(socket, number));
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
        if (line.startsWith("GET ")) {
          received.add(line.split(" ")[1] + number);
        }
        if (line.isEmpty()) {
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
    }
  }

  /** Sends a request in some way. */
  @FunctionalInterface
  private interface Way {
    ClientExchange send(Endpoint endpoint, BasicHttpRequest request, ClientListener listener);
  }

  /** Sends a request and waits until its connection is free. */
  private void send(String path, Way way) throws Exception {
    BlockingQueue<String> ends = new LinkedBlockingQueue<>();
    ClientListener listener =
        new ClientListener() {
          @Override
          public void head(HttpResponse response) {
            // The status is always the same.
          }

          @Override
          public void data(ByteBuffer data) {
            // There is no body.
          }

          @Override
          public void end() {
            ends.add("answered");
          }

          @Override
          public void failed(Failure failure, Exception cause) {
            ends.add(failure.toString());
          }
        };
    Endpoint endpoint = new Endpoint("127.0.0.1", server.getLocalPort());
    ClientExchange exchange;
    synchronized (timers.lock()) {
      exchange = way.send(endpoint, new BasicHttpRequest("GET", path), listener);
    }
    assertThat(ends.take()).isEqualTo("answered");
    boolean released = false;
    while (!released) {
      synchronized (timers.lock()) {
        released = !exchange.isConnected();
      }
      Thread.onSpinWait();
    }
  }

  private ClientExchange report(
      Endpoint endpoint, BasicHttpRequest request, ClientListener listener) {
    return client.sendAmongReports(endpoint, request, new byte[0], () -> true, listener);
  }

  private ClientExchange order(
      Endpoint endpoint, BasicHttpRequest request, ClientListener listener) {
    return client.sendAlone(endpoint, request, new byte[0], () -> true, listener);
  }

  private ClientExchange ask(Endpoint endpoint, BasicHttpRequest request, ClientListener listener) {
    return client.send(endpoint, request, new byte[0], listener);
  }

  @Test
  void reportsShareAConnectionThatCarriesNothingElse() throws Exception {
    send("/report", this::report);
    send("/order", this::order);
    send("/request", this::ask);
    send("/report", this::report);
    send("/order", this::order);
    send("/request", this::ask);
    assertThat(received)
        .containsExactly("/report1", "/order2", "/request3", "/report1", "/order4", "/request3");
  }
}
