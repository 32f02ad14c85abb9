package org.fawnvale.daemon.http;

import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.io.HttpMessageParser;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;
import org.fawnvale.http.DelegatingInput;
import org.jspecify.annotations.Nullable;

/** Reads the heads of a caller's requests and counts what each of their lines takes. */
final class CountedHeads implements HttpMessageParser<ClassicHttpRequest> {

  private final HttpMessageParser<ClassicHttpRequest> parser;
  private final ConnectionAccount account;

  /**
   * Creates a reader.
   *
   * @param parser reads the lines
   * @param account counts them
   */
  CountedHeads(HttpMessageParser<ClassicHttpRequest> parser, ConnectionAccount account) {
    this.parser = parser;
    this.account = account;
  }

  @Override
  public @Nullable ClassicHttpRequest parse(SessionInputBuffer buffer, InputStream input)
      throws IOException, HttpException {
    return parser.parse(new CountedLines(buffer), input);
  }

  /** The received bytes, whose lines are counted. */
  private final class CountedLines extends DelegatingInput {

    CountedLines(SessionInputBuffer buffer) {
      super(buffer);
    }

    @Override
    protected void lineRead(CharArrayBuffer line) {
      account.addLine(line.length());
    }
  }
}
