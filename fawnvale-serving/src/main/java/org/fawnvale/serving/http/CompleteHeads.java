package org.fawnvale.serving.http;

import java.io.IOException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.fawnvale.http.core.HeadCheck;
import org.fawnvale.http.core.MalformedMessageException;
import org.jspecify.annotations.Nullable;

/**
 * Reads the heads of messages, each line of which is by the grammar, and which end with an empty
 * line. The library's parsers also take other lines, and the end of the connection for the end of a
 * line and of a head, so that a spoilt or cut value would read as another one.
 *
 * @param <T> the type of the heads
 */
final class CompleteHeads<T extends HttpMessage> implements NHttpMessageParser<T> {

  private final NHttpMessageParser<T> parser;
  private final HeadCheck check;
  private final LineLimit limit;
  private boolean begun;

  /**
   * Creates a reader.
   *
   * @param parser reads the lines
   * @param check checks them
   * @param limit bounds the lines of one head, with empty lines before it
   */
  CompleteHeads(NHttpMessageParser<T> parser, HeadCheck check, LineLimit limit) {
    this.parser = parser;
    this.check = check;
    this.limit = limit;
  }

  @Override
  public void reset() {
    begun = false;
    limit.reset();
    check.reset();
    parser.reset();
  }

  /**
   * Reads a head as far as it has arrived.
   *
   * @throws CutMessageException if the connection has ended inside the head
   * @throws MalformedMessageException if a line is not by the grammar
   */
  @Override
  public @Nullable T parse(SessionInputBuffer input, boolean endOfStream)
      throws IOException, HttpException {
    begun |= input.hasData();
    int arrived = input.length();
    T head = parser.parse(new CheckedLines(input, check), false);
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
