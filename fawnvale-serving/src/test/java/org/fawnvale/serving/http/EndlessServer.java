package org.fawnvale.serving.http;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** A server on loopback whose answers never end, until the client closes the connection. */
public final class EndlessServer implements AutoCloseable {

  private static final int BLOCK_BYTES = 4096;
  private static final int BACKLOG = 200;
  private static final long TIMEOUT_SECONDS = 30;

  private final ServerSocket server;
  private final Kind kind;
  private final CountDownLatch requests;
  private final AtomicLong written = new AtomicLong();
  private final AtomicLong connections = new AtomicLong();
  private final CountDownLatch closed = new CountDownLatch(1);

  /** What never ends; {@code <id>} stands for the id of the request. */
  public enum Kind {
    HEAD_LINE("HTTP/1.1 200 ", "O"),
    HEADERS("HTTP/1.1 200 OK\r\n", "T-More: of the same\r\n"),
    EMPTY_LINES("", "\r\n"),
    NO_HTTP("", "garbage "),
    INFORMATION("", "HTTP/1.1 102 Processing\r\n\r\n"),
    BODY("HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\n\r\n", "x"),
    CHUNKS(
        "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nTransfer-Encoding: chunked\r\n\r\n",
        "10\r\nabcdefghijklmnop\r\n"),
    TRAILERS(
        "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        "T-More: of the same\r\n"),
    EVENT(
        "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nContent-Type: text/event-stream\r\n"
            + "Transfer-Encoding: chunked\r\n\r\n",
        "10\r\ndata:abcdefghij\n\r\n"),
    EVENT_LINE(
        "HTTP/1.1 200 OK\r\nT-Id: <id>\r\nT-Signed: s\r\nContent-Type: text/event-stream\r\n\r\n",
        "data:x");

    private final String begin;
    private final byte[] block;

    Kind(String begin, String repeated) {
      this.begin = begin;
      this.block =
          repeated.repeat(BLOCK_BYTES / repeated.length()).getBytes(StandardCharsets.US_ASCII);
    }
  }

  /** Starts a server that answers at once. */
  public EndlessServer(Kind kind) throws IOException {
    this(kind, new CountDownLatch(0));
  }

  /** Starts a server that answers once as many requests have come as the latch counts. */
  EndlessServer(Kind kind, CountDownLatch requests) throws IOException {
    this.kind = kind;
    this.requests = requests;
    server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    start(this::accept);
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "endless-server");
    thread.setDaemon(true);
    thread.start();
  }

  public int port() {
    return server.getLocalPort();
  }

  /** Returns how many bytes were written, over all connections. */
  public long written() {
    return written.get();
  }

  /** Returns how many connections have sent a request. */
  public long connections() {
    return connections.get();
  }

  /** Waits until the client has closed a connection. */
  public boolean awaitClosed() throws InterruptedException {
    return closed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
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
    try (socket) {
      String id = readRequest(socket);
      if (id == null) {
        return;
      }
      connections.incrementAndGet();
      requests.countDown();
      requests.await();
      OutputStream out = socket.getOutputStream();
      out.write(kind.begin.replace("<id>", id).getBytes(StandardCharsets.US_ASCII));
      while (true) {
        out.write(kind.block);
        written.addAndGet(kind.block.length);
      }
    } catch (IOException e) {
      closed.countDown();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the id of a request, or "" if it has none; null if the client only connected. */
  private static @org.jspecify.annotations.Nullable String readRequest(Socket socket)
      throws IOException {
    BufferedReader in =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
    String line = in.readLine();
    if (line == null) {
      return null;
    }
    String id = "";
    while (line != null && !line.isEmpty()) {
      if (line.toLowerCase(Locale.ROOT).startsWith("t-id:")) {
        id = line.substring(5).trim();
      }
      line = in.readLine();
    }
    return id;
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
