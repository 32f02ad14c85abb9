package org.fawnvale.serving.http;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client on loopback whose request never ends, until the server closes the connection. */
public final class EndlessClient implements AutoCloseable {

  private static final int BLOCK_BYTES = 4096;

  /** A client gives up here, so that a test fails where a server reads without a bound. */
  private static final long MAX_BYTES = 32L << 20;

  private static final int CLOSE_MILLIS = 5_000;
  private static final String HEAD =
      "POST /safe/x HTTP/1.1\r\nHost: localhost\r\nT-Id: r\r\nAuthorization: Key secret\r\n"
          + "T-Left: 60000\r\n";
  private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

  private final Kind kind;
  private final Socket socket;
  private final Thread writer;
  private volatile long written;

  /** What never ends. */
  public enum Kind {
    REQUEST_LINE("POST /safe/", "x"),
    HEADER_LINE(HEAD + "T-More: ", "x"),
    HEADERS(HEAD, "T-More: of the same\r\n"),
    SHORT_HEADERS(HEAD, "a:\r\n"),
    FOLDED_HEADER(HEAD + "T-More: a\r\n", " of the same\r\n"),
    EMPTY_LINES("", "\r\n"),
    NO_HTTP("", "garbage "),
    CHUNK_SIZE(CHUNKED, "0"),
    CHUNK_EXTENSION(CHUNKED + "1;a=", "x"),
    EXTENSIONS(CHUNKED, "1;a=" + "x".repeat(2000) + "\r\nx\r\n"),
    CHUNKS(CHUNKED, "10\r\nabcdefghijklmnop\r\n"),
    TRAILER_LINE(CHUNKED + "0\r\nT-More: ", "x"),
    TRAILERS(CHUNKED + "0\r\n", "T-More: of the same\r\n"),
    SHORT_TRAILERS(CHUNKED + "0\r\n", "a:\r\n");

    private final String begin;
    private final byte[] block;

    Kind(String begin, String repeated) {
      this.begin = begin;
      this.block =
          repeated
              .repeat(Math.max(1, BLOCK_BYTES / repeated.length()))
              .getBytes(StandardCharsets.US_ASCII);
    }
  }

  /** Connects to a port of this machine and begins to send. */
  public EndlessClient(Kind kind, int port) throws IOException {
    this.kind = kind;
    socket = new Socket(InetAddress.getLoopbackAddress(), port);
    writer = new Thread(this::write, "endless-client");
    writer.setDaemon(true);
    writer.start();
  }

  private void write() {
    try {
      OutputStream out = socket.getOutputStream();
      out.write(kind.begin.getBytes(StandardCharsets.US_ASCII));
      while (written < MAX_BYTES) {
        out.write(kind.block);
        written += kind.block.length;
      }
    } catch (IOException e) {
      // The server has closed the connection.
    }
  }

  /** Returns how many bytes the system has taken. */
  public long written() {
    return written;
  }

  /** Waits until the server has closed the connection; false if it has not done so in time. */
  public boolean awaitClosed() throws InterruptedException {
    writer.join(CLOSE_MILLIS);
    return !writer.isAlive() && written < MAX_BYTES;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
