package org.fawnvale.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.function.Supplier;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.MessageHeaders;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.io.HttpMessageParser;
import org.apache.hc.core5.http.io.HttpMessageParserFactory;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;
import org.fawnvale.http.core.HeadCheck;
import org.fawnvale.http.core.MalformedMessageException;
import org.jspecify.annotations.Nullable;

/**
 * Reads the heads of messages, each line of which is by the grammar, and which end with an empty
 * line and not with the connection.
 *
 * @param <T> the type of the heads
 */
public final class CompleteHeads<T extends MessageHeaders> implements HttpMessageParser<T> {

  private final HttpMessageParser<T> parser;
  private final HeadCheck check;

  private CompleteHeads(HttpMessageParser<T> parser, HeadCheck check) {
    this.parser = parser;
    this.check = check;
  }

  /**
   * Returns a factory of parsers for connections.
   *
   * @param parsers creates the parsers that read the lines; its bounds hold, and not those of the
   *     connection
   * @param checks creates the checks of the lines
   * @return the factory
   */
  public static <T extends MessageHeaders> HttpMessageParserFactory<T> factory(
      HttpMessageParserFactory<T> parsers, Supplier<HeadCheck> checks) {
    return config -> new CompleteHeads<>(parsers.create(), checks.get());
  }

  /**
   * Reads a head.
   *
   * @return the head; null if the connection has ended before it began
   * @throws ProtocolException if a line is not by the grammar
   * @throws IOException if the connection has ended inside the head, or fails
   */
  @Override
  public @Nullable T parse(SessionInputBuffer buffer, InputStream input)
      throws IOException, HttpException {
    check.reset();
    try {
      return parser.parse(new CheckedLines(buffer), new CompleteInput(input, buffer.length() > 0));
    } catch (MalformedMessageException e) {
      throw new ProtocolException(e.getMessage(), e);
    }
  }

  /** The received bytes, whose lines are checked. */
  private final class CheckedLines extends DelegatingInput {

    CheckedLines(SessionInputBuffer buffer) {
      super(buffer);
    }

    @Override
    protected void lineRead(CharArrayBuffer line) throws IOException {
      check.line(line);
    }
  }
}
