package org.fawnvale.serving.http;

import org.apache.hc.core5.util.CharArrayBuffer;
import org.fawnvale.serving.core.flow.CallerHolding;
import org.jspecify.annotations.Nullable;

/**
 * Counts what a request takes in memory while it arrives on one connection: each line becomes a
 * header with its own objects, so a line of four bytes takes some hundred. Used by the thread of
 * the reactor.
 */
final class RequestMemory {

  /** An element of a list in a header, in bytes: a text of its own once the request is read. */
  private static final int BYTES_PER_ELEMENT = 64;

  /** The input buffer may be half empty after it has grown. */
  private static final int BYTES_PER_UNREAD_BYTE = 2;

  private @Nullable CallerHolding holding;
  private long lines;
  private long counted;

  /** Sets what the connection holds, once it is open. */
  void attach(CallerHolding holdingOfConnection) {
    holding = holdingOfConnection;
  }

  /** Counts from zero, because a head begins. */
  void beginHead() {
    lines = 0;
  }

  /** Counts a line of the head. */
  void addLine(CharArrayBuffer line) {
    lines += CallerHolding.bytesOfLine(line.length());
    for (int index = 0; index < line.length(); index++) {
      if (line.charAt(index) == ',') {
        lines += BYTES_PER_ELEMENT;
      }
    }
  }

  /**
   * Reports the memory of the request to the account.
   *
   * @param unreadBytes the bytes that have arrived and belong to no whole line yet
   */
  void report(int unreadBytes) {
    long bytes = lines + (long) BYTES_PER_UNREAD_BYTE * unreadBytes;
    CallerHolding open = holding;
    if (open != null && bytes != counted) {
      counted = bytes;
      open.hold(counted);
    }
  }
}
