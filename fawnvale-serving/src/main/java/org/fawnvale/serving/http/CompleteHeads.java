package org.fawnvale.serving.http;

import java.io.IOException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.jspecify.annotations.Nullable;

/**
 * Reads the heads of messages that end with an empty line. The library's parsers also take the end
 * of the connection for the end of a line and of a head, so that a cut value would read as a
 * shorter one.
 *
 * @param <T> the type of the heads
 */
final class CompleteHeads<T extends HttpMessage> implements NHttpMessageParser<T> {

  private final NHttpMessageParser<T> parser;
  private boolean begun;

  /**
   * Creates a reader.
   *
   * @param parser reads the lines
   */
  CompleteHeads(NHttpMessageParser<T> parser) {
    this.parser = parser;
  }

  @Override
  public void reset() {
    begun = false;
    parser.reset();
  }

  /**
   * Reads a head as far as it has arrived.
   *
   * @throws CutMessageException if the connection has ended inside the head
   */
  @Override
  public @Nullable T parse(SessionInputBuffer input, boolean endOfStream)
      throws IOException, HttpException {
    begun |= input.hasData();
    T head = parser.parse(input, false);
    if (head != null) {
      begun = false;
    } else if (endOfStream && begun) {
      throw new CutMessageException(CutMessageException.Part.HEAD);
    }
    return head;
  }
}
