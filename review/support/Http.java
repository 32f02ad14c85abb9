import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages on a plain stream, so that each byte is the test's own. */
final class Http {

  private Http() {}

  /**
   * A message.
   *
   * @param start the request line or status line
   * @param headers the headers by lower-case name
   * @param body the body as far as it came
   * @param whole whether the body ended as its framing says; an answer without a length or chunks
   *     is whole when its connection ends in an orderly way
   */
  record Message(String start, Map<String, String> headers, byte[] body, boolean whole) {
    String header(String name) {
      return headers.get(name);
    }

    int status() {
      return Integer.parseInt(start.split(" ")[1]);
    }
  }

  /** Reads a message; null if the stream ends before its first byte. */
  static Message read(BufferedInputStream in, boolean request) throws IOException {
    String start = line(in, true);
    if (start == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String line = line(in, false); !line.isEmpty(); line = line(in, false)) {
      int colon = line.indexOf(':');
      headers.put(
          line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean whole;
    try {
      whole = readBody(in, headers, request, body);
    } catch (IOException e) {
      whole = false;
    }
    return new Message(start, headers, body.toByteArray(), whole);
  }

  private static boolean readBody(
      InputStream in, Map<String, String> headers, boolean request, ByteArrayOutputStream body)
      throws IOException {
    if (headers.getOrDefault("transfer-encoding", "").contains("chunked")) {
      while (true) {
        int size = Integer.parseInt(line(in, false).split(";")[0].trim(), 16);
        if (!copy(in, size, body)) {
          return false;
        }
        line(in, false);
        if (size == 0) {
          return true;
        }
      }
    }
    String length = headers.get("content-length");
    if (length != null) {
      return copy(in, Integer.parseInt(length), body);
    }
    if (!request) {
      in.transferTo(body);
    }
    return true;
  }

  private static boolean copy(InputStream in, int count, ByteArrayOutputStream body)
      throws IOException {
    byte[] part = in.readNBytes(count);
    body.writeBytes(part);
    return part.length == count;
  }

  private static String line(InputStream in, boolean mayEnd) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int one = in.read(); one != '\n'; one = in.read()) {
      if (one < 0) {
        if (mayEnd && line.size() == 0) {
          return null;
        }
        throw new EOFException("The message ends inside its head.");
      }
      line.write(one);
    }
    String text = line.toString(StandardCharsets.ISO_8859_1);
    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }
}
