package org.fawnvale.serving.gateway;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/** An upstream on loopback that answers each request with the next scripted response. */
final class ScriptedUpstream implements AutoCloseable {

  /** Breaks the connection after the preceding text is written. */
  static final String RESET = "<reset>";

  /** Resets the connection after the preceding text is written. */
  static final String ABORT = "<abort>";

  /** Stops the upstream after the preceding text is written: nothing listens at its address. */
  static final String EXIT = "<end>";

  /** Placeholder for the id of the request. */
  static final String ID = "<id>";

  /** Placeholder for those of the three events of a stream that the caller lacks. */
  static final String EVENTS = "<events>";

  /** Sends no response and waits until the gateway closes the connection. */
  static final String NO_RESPONSE = "<silence>";

  private final CountDownLatch disconnected = new CountDownLatch(1);
  private final ServerSocket server;
  private final Thread acceptor;
  private final Function<Map<String, String>, @Nullable String> script;
  private final List<Map<String, String>> requests = new ArrayList<>();
  private final AtomicInteger connections = new AtomicInteger();

  ScriptedUpstream(String... responses) throws IOException {
    this(inOrder(responses));
  }

  /**
   * Starts an upstream whose response depends on the request.
   *
   * @param script gives the response to a request's head, by lower-case header name
   */
  ScriptedUpstream(Function<Map<String, String>, @Nullable String> script) throws IOException {
    this.script = script;
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    acceptor = new Thread(this::accept, "upstream");
    acceptor.setDaemon(true);
    acceptor.start();
  }

  private static Function<Map<String, String>, @Nullable String> inOrder(String... responses) {
    Deque<String> left = new ArrayDeque<>(List.of(responses));
    return head -> left.poll();
  }

  int port() {
    return server.getLocalPort();
  }

  /** Returns the heads of the requests received so far, by lower-case header name. */
  List<Map<String, String>> requests() {
    synchronized (requests) {
      return List.copyOf(requests);
    }
  }

  /** Returns how many connections the gateway has opened. */
  int connections() {
    return connections.get();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        connections.incrementAndGet();
        Thread worker = new Thread(() -> serve(socket), "upstream-connection");
        worker.setDaemon(true);
        worker.start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      Map<String, String> head = read(in);
      while (!head.isEmpty()) {
        String response;
        synchronized (requests) {
          requests.add(head);
          requests.notifyAll();
          response = script.apply(head);
        }
        if (response != null && response.endsWith(EXIT)) {
          write(socket, fillPlaceholders(response.replace(EXIT, ""), head));
          exit();
          return;
        }
        if (NO_RESPONSE.equals(response)) {
          awaitClose(socket);
          return;
        }
        if (response == null || !write(socket, fillPlaceholders(response, head))) {
          return;
        }
        head = read(in);
      }
    } catch (IOException e) {
      // The gateway has closed the connection.
    }
  }

  /**
   * Closes the listener before the connection, as the exit of a process does. Joins the acceptor
   * thread because the socket keeps listening until that thread has left {@code accept}.
   */
  private void exit() throws IOException {
    server.close();
    try {
      acceptor.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void awaitClose(Socket socket) {
    try {
      int read = 0;
      while (read >= 0) {
        read = socket.getInputStream().read();
      }
    } catch (IOException e) {
      // A reset ends the connection as well.
    }
    disconnected.countDown();
  }

  /** Waits until the gateway has closed the connection of a request without a response. */
  boolean awaitDisconnect() throws InterruptedException {
    return disconnected.await(10, TimeUnit.SECONDS);
  }

  /** Waits until a request has arrived. */
  void awaitRequest() throws InterruptedException {
    synchronized (requests) {
      while (requests.isEmpty()) {
        requests.wait(10_000);
      }
    }
  }

  private static String fillPlaceholders(String response, Map<String, String> head) {
    int lastEventId = Integer.parseInt(head.getOrDefault("t-last-event", "0"));
    StringBuilder events = new StringBuilder();
    for (int id = lastEventId + 1; id <= 3; id++) {
      String event = "id: " + id + "\ndata: " + id + "\n\n";
      events.append(Integer.toHexString(event.length())).append("\r\n").append(event);
      events.append("\r\n");
    }
    return response.replace(ID, head.getOrDefault("t-id", "")).replace(EVENTS, events);
  }

  private static boolean write(Socket socket, String response) throws IOException {
    OutputStream out = socket.getOutputStream();
    boolean reset = response.endsWith(RESET);
    boolean abort = response.endsWith(ABORT);
    String text = response.replace(RESET, "").replace(ABORT, "");
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
    if (abort) {
      socket.setSoLinger(true, 0);
    }
    if (reset) {
      // A graceful close lets the gateway read what was sent before it detects the truncated
      // response.
      socket.shutdownOutput();
    }
    return !reset && !abort;
  }

  private static Map<String, String> read(BufferedReader in) throws IOException {
    String line = in.readLine();
    Map<String, String> head = new HashMap<>();
    if (line == null) {
      return head;
    }
    head.put("", line);
    line = in.readLine();
    while (line != null && !line.isEmpty()) {
      int colon = line.indexOf(':');
      head.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
      line = in.readLine();
    }
    int length = Integer.parseInt(head.getOrDefault("content-length", "0"));
    for (int index = 0; index < length; index++) {
      in.read();
    }
    return head;
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
