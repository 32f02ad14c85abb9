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

/** An upstream on loopback that answers each request with the next of the given texts. */
final class ScriptedUpstream implements AutoCloseable {

  /** Ends the connection with a reset after what was written. */
  static final String RESET = "<reset>";

  /** Ends the upstream: nothing listens at its address any more. */
  static final String END = "<end>";

  /** Stands in answers for the id of the request. */
  static final String ID = "<id>";

  /** Stands in answers for the three events of a stream, less those that the caller has. */
  static final String EVENTS = "<events>";

  /** Gives no answer and waits until the gateway closes the connection. */
  static final String SILENCE = "<silence>";

  private final CountDownLatch leftAlone = new CountDownLatch(1);
  private final ServerSocket server;
  private final Thread acceptor;
  private final Deque<String> answers = new ArrayDeque<>();
  private final List<Map<String, String>> requests = new ArrayList<>();

  ScriptedUpstream(String... texts) throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    answers.addAll(List.of(texts));
    acceptor = new Thread(this::accept, "upstream");
    acceptor.setDaemon(true);
    acceptor.start();
  }

  int port() {
    return server.getLocalPort();
  }

  /** Heads of the requests so far, by lower-case name. */
  List<Map<String, String>> requests() {
    synchronized (requests) {
      return List.copyOf(requests);
    }
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
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
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      Map<String, String> head = read(in);
      while (!head.isEmpty()) {
        String answer;
        synchronized (requests) {
          requests.add(head);
          requests.notifyAll();
          answer = answers.poll();
        }
        if (END.equals(answer)) {
          end();
          return;
        }
        if (SILENCE.equals(answer)) {
          awaitClose(socket);
          return;
        }
        if (answer == null || !write(socket, filled(answer, head))) {
          return;
        }
        head = read(in);
      }
    } catch (IOException e) {
      // The gateway has closed the connection.
    }
  }

  /**
   * Closes the listener before the connection, as the end of a process does. The socket listens
   * until the thread that waits for connections has left it: without waiting for that, 422 of 2,000
   * looks for a listener came before and found one.
   */
  private void end() throws IOException {
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
    leftAlone.countDown();
  }

  /** Waits until the gateway has given up a request that got no answer. */
  boolean awaitGivenUp() throws InterruptedException {
    return leftAlone.await(10, TimeUnit.SECONDS);
  }

  /** Waits until a request has come. */
  void awaitRequest() throws InterruptedException {
    synchronized (requests) {
      while (requests.isEmpty()) {
        requests.wait(10_000);
      }
    }
  }

  private static String filled(String answer, Map<String, String> head) {
    int had = Integer.parseInt(head.getOrDefault("t-last-event", "0"));
    StringBuilder events = new StringBuilder();
    for (int id = had + 1; id <= 3; id++) {
      String event = "id: " + id + "\ndata: " + id + "\n\n";
      events.append(Integer.toHexString(event.length())).append("\r\n").append(event);
      events.append("\r\n");
    }
    return answer.replace(ID, head.getOrDefault("t-id", "")).replace(EVENTS, events);
  }

  private static boolean write(Socket socket, String answer) throws IOException {
    OutputStream out = socket.getOutputStream();
    boolean reset = answer.endsWith(RESET);
    out.write(answer.replace(RESET, "").getBytes(StandardCharsets.US_ASCII));
    out.flush();
    if (reset) {
      // What was sent is read before the reset arrives: closing gracefully ends the answer early.
      socket.shutdownOutput();
    }
    return !reset;
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
