package org.fawnvale.serving.http;

import java.io.IOException;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;
import org.fawnvale.http.core.HeadCheck;

/** The received bytes of heads, whose lines are checked before the library reads them. */
final class CheckedLines extends DelegatingInput {

  private final HeadCheck check;

  CheckedLines(SessionInputBuffer input, HeadCheck check) {
    super(input);
    this.check = check;
  }

  @Override
  public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
    boolean complete = super.readLine(line, endOfStream);
    if (complete) {
      check.line(line);
    }
    return complete;
  }
}
