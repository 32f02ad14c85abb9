package org.fawnvale.serving.core.flow;

/**
 * How an upstream's stream of server-sent events ended. Only a complete one may end the caller's
 * response; all others count as broken connections, since their upstream has not sent all of them.
 */
public enum StreamEnd {
  /** The stream ended at the boundary of an event. */
  COMPLETE("the stream is complete"),

  /** The stream ended inside an event, whatever its framing says. */
  INSIDE_EVENT("the stream ended inside an event"),

  /**
   * The stream ended with its connection before its first event, as it does when its upstream
   * fails.
   */
  BEFORE_FIRST_EVENT("the connection ended before the stream's first event");

  private final String description;

  StreamEnd(String description) {
    this.description = description;
  }

  /**
   * Classifies the end of a stream.
   *
   * @param endMarked whether the framing of the response marks its end: a length or a last chunk
   * @param partialBytes number of bytes after the last whole event
   * @param anyEvent whether the stream had a whole event
   * @return how the stream ended
   */
  public static StreamEnd of(boolean endMarked, int partialBytes, boolean anyEvent) {
    if (partialBytes > 0) {
      return INSIDE_EVENT;
    }
    return endMarked || anyEvent ? COMPLETE : BEFORE_FIRST_EVENT;
  }

  /**
   * Describes the end, for logs.
   *
   * @return a clause without a full stop
   */
  public String description() {
    return description;
  }
}
