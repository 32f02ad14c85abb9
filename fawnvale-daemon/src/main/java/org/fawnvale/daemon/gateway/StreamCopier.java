package org.fawnvale.daemon.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import org.fawnvale.upstream.CopyResult;

/** Copies a streamed answer to its caller and tells the caller if it broke off. */
final class StreamCopier {

  private static final byte[] ERROR_EVENT =
      ("event: error\ndata: {\"error\":{\"code\":\"outcome_unknown\","
              + "\"message\":\"The stream broke off.\","
              + "\"remedy\":\"Repeat the request if it is safe to run twice.\","
              + "\"outcome\":\"unknown\"}}\n\n")
          .getBytes(StandardCharsets.UTF_8);

  private StreamCopier() {}

  /**
   * Copies a stream. If it broke off between two events, an error event follows. Behind a part of
   * an event none does: it would end that event, and the caller would take it for whole.
   *
   * @param body the stream
   * @param out the caller
   * @return the outcome
   */
  static CopyResult copy(Answer.Body body, OutputStream out) {
    EventOutput events = new EventOutput(out);
    CopyResult result = body.copyTo(events);
    boolean isTold = result instanceof CopyResult.Torn && events.isBetweenEvents();
    return isTold ? tell((CopyResult.Torn) result, out) : result;
  }

  private static CopyResult tell(CopyResult.Torn torn, OutputStream out) {
    try {
      out.write(ERROR_EVENT);
      out.flush();
      return torn;
    } catch (IOException e) {
      return new CopyResult.ReceiverGone(torn.bytes());
    }
  }
}
