package org.fawnvale.serving.gateway;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** An upstream on loopback that answers by path, at the pace that the test determines. */
final class ProgrammedUpstream implements AutoCloseable {

  private static final int BACKLOG = 200;
  private static final long TIMEOUT_SECONDS = 20;

  private final ServerSocket server;
  private final Map<String, Answer> answers = new ConcurrentHashMap<>();
  private final Map<String, AtomicLong> received = new ConcurrentHashMap<>();
  private final Map<String, Long> refusedFrom = new ConcurrentHashMap<>();
  private final Map<String, CountDownLatch> cancelled = new ConcurrentHashMap<>();

  /** Writes the rest of a response after the headers that all responses share. */
  @FunctionalInterface
  interface Answer {

    /**
     * Writes the response.
     *
     * @throws IOException when the gateway has closed the connection
     */
    void write(OutputStream out) throws IOException, InterruptedException;
  }

  ProgrammedUpstream() throws IOException {
    server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    start(this::accept);
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "programmed-upstream");
    thread.setDaemon(true);
    thread.start();
  }

  int port() {
    return server.getLocalPort();
  }

  void answer(String path, Answer answer) {
    answers.put(path, answer);
  }

  /** Refuses the requests to a path as not run that arrive behind the first ones. */
  void refuseAfter(String path, long taken) {
    refusedFrom.put(path, taken);
  }

  /** Returns how many requests to a path have arrived whole. */
  long received(String path) {
    return received.computeIfAbsent(path, key -> new AtomicLong()).get();
  }

  /** Waits until the gateway has closed the connection of a request before its response ended. */
  boolean awaitCancelled(String path) throws InterruptedException {
    return cancelled(path).await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private CountDownLatch cancelled(String path) {
    return cancelled.computeIfAbsent(path, key -> new CountDownLatch(1));
  }

  static void writeChunk(OutputStream out, String text) throws IOException {
    String chunk = Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    out.write(chunk.getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

  static void writeStreamHead(OutputStream out) throws IOException {
    out.write(
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            .getBytes(StandardCharsets.US_ASCII));
  }

  static void writeStreamEnd(OutputStream out) throws IOException {
    out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        start(() -> serve(socket));
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  private void serve(Socket socket) {
    String path = "";
    try (socket) {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      String line = readLine(in);
      while (!line.isEmpty()) {
        path = line.split(" ")[1];
        String id = "";
        int length = 0;
        for (line = readLine(in); !line.isEmpty(); line = readLine(in)) {
          String lower = line.toLowerCase(Locale.ROOT);
          id = lower.startsWith("t-id:") ? line.substring(5).trim() : id;
          length =
              lower.startsWith("content-length:")
                  ? Integer.parseInt(line.substring(15).trim())
                  : length;
        }
        in.readNBytes(length);
        long number = received.computeIfAbsent(path, key -> new AtomicLong()).incrementAndGet();
        OutputStream out = socket.getOutputStream();
        if (number > refusedFrom.getOrDefault(path, Long.MAX_VALUE)) {
          refuse(out, id);
        } else {
          out.write(
              ("HTTP/1.1 200 OK\r\nT-Id: " + id + "\r\nT-Signed: s\r\n")
                  .getBytes(StandardCharsets.US_ASCII));
          answers.get(path).write(out);
        }
        line = readLine(in);
      }
    } catch (IOException e) {
      cancelled(path).countDown();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void refuse(OutputStream out, String id) throws IOException {
    out.write(
        ("HTTP/1.1 503 Full\r\nT-Id: " + id + "\r\nT-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

  private static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next >= 0 && next != '\n'; next = in.read()) {
      if (next != '\r') {
        line.append((char) next);
      }
    }
    return line.toString();
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
