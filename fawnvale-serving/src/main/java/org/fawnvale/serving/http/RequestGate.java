package org.fawnvale.serving.http;

import java.util.function.BooleanSupplier;

/**
 * Lets the requests of one connection pass one at a time: the next one is read once the answer to
 * the former has been written. Without it, a caller that sends requests ahead and reads no answer
 * would make the daemon hold all of them, with their answers. Used by the thread of the reactor.
 */
final class RequestGate {

  /** The most bytes that are read behind an unanswered request: one buffer. */
  private static final int MAX_BYTES_AHEAD = 4 << 10;

  private final BooleanSupplier unanswered;
  private int bytesAhead;

  /**
   * Creates a gate.
   *
   * @param unanswered tells whether the answer to a request has not been written to its end
   */
  RequestGate(BooleanSupplier unanswered) {
    this.unanswered = unanswered;
  }

  /**
   * Tells whether the next request may pass.
   *
   * @param bytes the bytes of it that have arrived
   */
  boolean passes(int bytes) {
    boolean passes = !unanswered.getAsBoolean();
    bytesAhead = passes ? 0 : bytes;
    return passes;
  }

  /** Returns whether no more may be read until the next request passes. */
  boolean isFull() {
    return bytesAhead >= MAX_BYTES_AHEAD;
  }

  /** Returns whether bytes of the next request wait and may be read now. */
  boolean isWaitingInputDue() {
    return bytesAhead > 0 && !unanswered.getAsBoolean();
  }
}
