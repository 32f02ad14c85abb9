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
  private final LineLimit limit;
  private boolean begun;

  /**
   * Creates a reader.
   *
   * @param parser reads the lines
   * @param limit bounds the lines of one head, with empty lines before it
   */
  CompleteHeads(NHttpMessageParser<T> parser, LineLimit limit) {
    this.parser = parser;
    this.limit = limit;
  }

  @Override
  public void reset() {
    begun = false;
    limit.reset();
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
    int arrived = input.length();
    T head = parser.parse(input, false);
    limit.read(arrived - input.length(), input, head != null);
    if (head != null) {
      begun = false;
      limit.reset();
    } else if (endOfStream && begun) {
      throw new CutMessageException(CutMessageException.Part.HEAD);
    }
    return head;
  }
}
