package org.fawnvale.http;

import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.MessageHeaders;
import org.apache.hc.core5.http.io.HttpMessageParser;
import org.apache.hc.core5.http.io.HttpMessageParserFactory;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.jspecify.annotations.Nullable;

/**
 * Reads the heads of messages that end with an empty line, and not with the connection.
 *
 * @param <T> the type of the heads
 */
public final class CompleteHeads<T extends MessageHeaders> implements HttpMessageParser<T> {

  private final HttpMessageParser<T> parser;

  private CompleteHeads(HttpMessageParser<T> parser) {
    this.parser = parser;
  }

  /**
   * Returns a factory of parsers for connections.
   *
   * @param parsers creates the parsers that read the lines; its bounds hold, and not those of the
   *     connection
   * @return the factory
   */
  public static <T extends MessageHeaders> HttpMessageParserFactory<T> factory(
      HttpMessageParserFactory<T> parsers) {
    return config -> new CompleteHeads<>(parsers.create());
  }

  /**
   * Reads a head.
   *
   * @return the head; null if the connection has ended before it began
   * @throws IOException if the connection has ended inside the head, or fails
   */
  @Override
  public @Nullable T parse(SessionInputBuffer buffer, InputStream input)
      throws IOException, HttpException {
    return parser.parse(buffer, new CompleteInput(input, buffer.length() > 0));
  }
}
