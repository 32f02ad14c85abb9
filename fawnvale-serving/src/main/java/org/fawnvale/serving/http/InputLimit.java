package org.fawnvale.serving.http;

import java.io.IOException;

/**
 * Bounds the bytes that a connection receives in one turn of the thread of all connections and, on
 * a connection that this daemon opens, those without any use: the head of an answer, lines around
 * the parts of its body, and whatever is no answer. Used by the thread of the reactor, and by
 * others only while the connection is idle.
 */
final class InputLimit {

  /** Far above the heads of sound answers, which have some hundred bytes. */
  private static final int MAX_BYTES = 64 << 10;

  /**
   * The most bytes for one turn. A fast answer without end would otherwise occupy the thread of all
   * connections up to its bound, and connections that open meanwhile would time out.
   */
  private static final int TURN_BYTES = 64 << 10;

  /**
   * The most bytes of answers to other requests before the own answer: as many as of one plain
   * answer, since an answer too many is at most a whole one.
   */
  private static final int MAX_FOREIGN_BYTES = AnswerBody.MAX_CALLER_BYTES;

  /**
   * The most bytes of a request for one turn: less, since many callers may send at once, and each
   * of their small chunks takes time.
   */
  private static final int REQUEST_TURN_BYTES = 8 << 10;

  private final int maxTurnBytes;
  private final boolean bounded;
  private int bytes;
  private int foreignBytes;
  private int turnBytes;

  private InputLimit(int maxTurnBytes, boolean bounded) {
    this.maxTurnBytes = maxTurnBytes;
    this.bounded = bounded;
  }

  /** Creates the limit of a connection that this daemon opens. */
  static InputLimit ofAnswers() {
    return new InputLimit(TURN_BYTES, true);
  }

  /** Creates the limit of a caller's connection: its turns alone, as its lines have a bound. */
  static InputLimit ofRequests() {
    return new InputLimit(REQUEST_TURN_BYTES, false);
  }

  /** Begins a turn of the connection. */
  void beginTurn() {
    turnBytes = 0;
  }

  /** Returns whether more may be read in this turn. */
  boolean hasTurn() {
    return turnLeft() > 0;
  }

  /** Returns the bytes that may be read in this turn. */
  int turnLeft() {
    return maxTurnBytes - turnBytes;
  }

  /**
   * Counts received bytes.
   *
   * @param count their number; below 0 at the end of the input
   * @throws IOException if too many were received since the last use
   */
  void received(int count) throws IOException {
    turnBytes += Math.max(0, count);
    if (!bounded) {
      return;
    }
    bytes += Math.max(0, count);
    if (bytes > MAX_BYTES) {
      throw new IOException(
          bytes
              + " bytes brought neither the head of an answer nor a part of its body; check what"
              + " serves at that address.");
    }
  }

  /**
   * Counts what was received since the last use as parts of answers to other requests.
   *
   * @throws IOException if these are too long
   */
  void passedOver() throws IOException {
    foreignBytes += bytes;
    bytes = 0;
    if (foreignBytes > MAX_FOREIGN_BYTES) {
      throw new IOException(
          foreignBytes
              + " bytes of answers to other requests have come in place of the own answer; check"
              + " what serves at that address.");
    }
  }

  /** Counts from zero, because what was received has brought a head or a part of a body. */
  void used() {
    bytes = 0;
    foreignBytes = 0;
  }
}
