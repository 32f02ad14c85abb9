package org.fawnvale.serving.gateway;

/**
 * How far an upstream's answer to one attempt has come: its head, then its events. An upstream that
 * waits for a slot sends nothing.
 */
final class AnswerProgress {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /**
   * A fault in a request crashes a node as it begins to answer, within 0.1 s; nodes may be five
   * times slower, and a busy daemon notices late.
   */
  private static final long SUSPECT_NANOS = 1_000_000_000L;

  /**
   * A daemon that stood still reads within this time what was sent meanwhile, perhaps by an
   * upstream that has crashed since.
   */
  private static final long CATCH_UP_NANOS = 250_000_000L;

  private boolean begun;
  private long begunNanos;
  private int events;
  private long firstLateNanos;
  private boolean hasLateEvent;
  private boolean sound;

  /** Records the head of the answer, which an upstream sends when it begins to write. */
  void begin(long nowNanos) {
    begun = true;
    begunNanos = nowNanos;
  }

  /** Records that whole events have been read. */
  void recordEvents(long nowNanos) {
    events++;
    if (!begun || hasJustBegun(nowNanos)) {
      return;
    }
    if (!hasLateEvent) {
      hasLateEvent = true;
      firstLateNanos = nowNanos;
    }
    sound |= nowNanos - firstLateNanos >= CATCH_UP_NANOS;
  }

  boolean hasBegun() {
    return begun;
  }

  long begunNanos() {
    return begunNanos;
  }

  /** Returns whether the upstream has just begun, so that the request may have crashed it. */
  boolean hasJustBegun(long nowNanos) {
    return begun && writingNanos(nowNanos) < SUSPECT_NANOS;
  }

  /**
   * Returns whether events have shown that the upstream went on writing for so long that the
   * request did not crash it.
   */
  boolean isSound() {
    return sound;
  }

  /** Returns for how long the upstream has been writing, in nanoseconds; 0 before it began. */
  long writingNanos(long nowNanos) {
    return begun ? nowNanos - begunNanos : 0;
  }

  /** Describes the progress for the log. */
  String describe(long nowNanos) {
    return "begun=%s events=%d writing_ms=%d"
        .formatted(begun, events, writingNanos(nowNanos) / NANOS_PER_MILLI);
  }
}
