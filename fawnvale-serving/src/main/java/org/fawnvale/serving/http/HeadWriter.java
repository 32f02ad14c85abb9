package org.fawnvale.serving.http;

import java.nio.ByteBuffer;
import org.apache.hc.core5.http.FormattedHeader;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.nio.NHttpMessageWriter;
import org.apache.hc.core5.http.nio.SessionOutputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;
import org.fawnvale.http.core.HeadText;

/**
 * Writes heads byte for byte: a character is a byte, as in the heads that are received. The
 * library's writers put question marks in place of many bytes, so that a path would become another
 * one and a query begin there.
 *
 * @param <T> the type of the heads
 */
final class HeadWriter<T extends HttpMessage> implements NHttpMessageWriter<T> {

  private static final String VERSION = "HTTP/1.1";
  private static final String LINE_END = "\r\n";
  private static final int USUAL_BYTES = 512;
  private static final char LAST_BYTE = 0xff;

  private final FirstLine<T> firstLine;

  /** Appends the first line of a head, without its end. */
  @FunctionalInterface
  private interface FirstLine<T> {
    void append(T head, CharArrayBuffer text);
  }

  private HeadWriter(FirstLine<T> firstLine) {
    this.firstLine = firstLine;
  }

  /** Creates a writer of requests. */
  static HeadWriter<HttpRequest> ofRequests() {
    return new HeadWriter<>(HeadWriter::appendRequestLine);
  }

  /** Creates a writer of responses. */
  static HeadWriter<HttpResponse> ofResponses() {
    return new HeadWriter<>(HeadWriter::appendStatusLine);
  }

  private static void appendRequestLine(HttpRequest head, CharArrayBuffer text) {
    text.append(head.getMethod());
    text.append(' ');
    text.append(head.getRequestUri());
    text.append(' ');
    text.append(VERSION);
  }

  private static void appendStatusLine(HttpResponse head, CharArrayBuffer text) {
    text.append(VERSION);
    text.append(' ');
    text.append(Integer.toString(head.getCode()));
    text.append(' ');
    String reason = head.getReasonPhrase();
    if (reason != null) {
      text.append(reason);
    }
  }

  @Override
  public void reset() {
    // Each head is written at once.
  }

  /**
   * Writes a head.
   *
   * @throws ProtocolException if it holds a control character; nothing is written then
   */
  @Override
  public void write(T head, SessionOutputBuffer output) throws HttpException {
    CharArrayBuffer text = new CharArrayBuffer(USUAL_BYTES);
    CharArrayBuffer line = new CharArrayBuffer(USUAL_BYTES);
    firstLine.append(head, line);
    end(line, text);
    for (Header header : head.getHeaders()) {
      append(header, line);
      end(line, text);
    }
    text.append(LINE_END);
    output.write(ByteBuffer.wrap(bytes(text)));
  }

  private static void append(Header header, CharArrayBuffer line) {
    if (header instanceof FormattedHeader received) {
      line.append(received.getBuffer());
      return;
    }
    line.append(header.getName());
    line.append(": ");
    if (header.getValue() != null) {
      line.append(header.getValue());
    }
  }

  private static void end(CharArrayBuffer line, CharArrayBuffer text) throws HttpException {
    if (!HeadText.isWritable(line)) {
      throw new ProtocolException(
          "The head of a message would hold a control character; it is not sent.");
    }
    text.append(line);
    text.append(LINE_END);
    line.clear();
  }

  private static byte[] bytes(CharArrayBuffer text) {
    byte[] bytes = new byte[text.length()];
    for (int index = 0; index < bytes.length; index++) {
      char character = text.charAt(index);
      bytes[index] = (byte) (character > LAST_BYTE ? '?' : character);
    }
    return bytes;
  }
}
