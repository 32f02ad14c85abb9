package org.fawnvale.standins;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Cuts a response at a random byte of its head, of the size line of a chunk, or of the last chunk,
 * and ends the connection in order: what was written arrives, and the worker goes on listening.
 */
final class CutAnswer {

  /** The leading zeros of a cut size line: its first digits may be taken for the last chunk. */
  private static final String LEADING_ZEROS = "000";

  private static final String LAST_CHUNK = LEADING_ZEROS + "0\r\n\r\n";

  private CutAnswer() {}

  /** Decides at random whether a response is cut in its head; one without chunks always is. */
  static boolean isCutInHead(Reply reply) {
    boolean hasChunks = reply.stream() != null && !reply.endsWithConnection();
    return !hasChunks || ThreadLocalRandom.current().nextBoolean();
  }

  /** Sends the beginning of a head and ends the connection; never returns normally. */
  static void sendCutHead(Reply reply, AcceptedConnection connection) throws IOException {
    connection.endWith(beginningOf(headOf(reply)));
    throw new IOException("the head of the response is cut");
  }

  /**
   * Returns a stream that writes a random number of the pieces of the given one, then the beginning
   * of the size line of the next chunk, or of the last one, and ends the connection.
   */
  static Reply.Stream cutInChunks(Reply.Stream stream, AcceptedConnection connection) {
    int pieces = ThreadLocalRandom.current().nextInt(UsersConfiguration.EVENTS + 1);
    return out -> {
      stream.writeTo(new ChunkCutter(out, pieces, connection));
      out.flush();
      endWith(LAST_CHUNK, connection);
    };
  }

  private static void endWith(String text, AcceptedConnection connection) throws IOException {
    connection.endWith(beginningOf(text));
    throw new IOException("a chunk of the response is cut");
  }

  /** Returns the first bytes of a text, at least one and not all. */
  private static byte[] beginningOf(String text) {
    int length = 1 + ThreadLocalRandom.current().nextInt(text.length() - 1);
    return text.substring(0, length).getBytes(StandardCharsets.US_ASCII);
  }

  /** Returns a head with the signature behind the id, so that a cut signature has an id. */
  static String headOf(Reply reply) {
    StringBuilder head = new StringBuilder("HTTP/1.1 ").append(reply.status()).append(" Cut\r\n");
    Map<String, String> headers = new LinkedHashMap<>(reply.headers());
    String signature = headers.remove(UsersConfiguration.SIGNATURE_HEADER);
    if (signature != null) {
      headers.put(UsersConfiguration.SIGNATURE_HEADER, signature);
    }
    headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
    head.append("Content-Type: ").append(reply.contentType()).append("\r\n");
    byte[] body = reply.body();
    if (reply.endsWithConnection()) {
      head.append("Connection: close\r\n");
    } else if (body == null) {
      head.append("Transfer-Encoding: chunked\r\n");
    } else {
      head.append("Content-Length: ").append(body.length).append("\r\n");
    }
    return head.append("\r\n").toString();
  }

  /** Passes some pieces on and cuts the size line of the next one. */
  private static final class ChunkCutter extends FilterOutputStream {
    private final AcceptedConnection connection;
    private int left;

    ChunkCutter(OutputStream out, int pieces, AcceptedConnection connection) {
      super(out);
      this.left = pieces;
      this.connection = connection;
    }

    @Override
    public void write(byte[] bytes, int offset, int length) throws IOException {
      if (left == 0) {
        out.flush();
        endWith(LEADING_ZEROS + Integer.toHexString(length) + "\r\n", connection);
      }
      left--;
      out.write(bytes, offset, length);
    }
  }
}
