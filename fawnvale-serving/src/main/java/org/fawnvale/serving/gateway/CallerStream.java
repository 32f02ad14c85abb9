package org.fawnvale.serving.gateway;

import org.apache.hc.core5.http.HttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * The event stream that a caller receives; several attempts may contribute to it. Only whole events
 * are passed on. Callers of the methods hold the lock.
 */
final class CallerStream {

  private final CallerResponse caller;
  private int heldBytes;
  private @Nullable String lastEventId;
  private boolean begun;
  private long lastEventNanos;
  private int eventCount;

  CallerStream(CallerResponse caller) {
    this.caller = caller;
  }

  /** Returns whether an incomplete event may take so many bytes of memory. */
  boolean hasRoomForPartial(int bytes) {
    return caller.hasRoomForPartial(bytes);
  }

  /**
   * Counts the memory of the incomplete events of all attempts.
   *
   * @param change the bytes that one attempt holds more, or less, than before
   */
  void holdPartial(int change) {
    heldBytes += change;
    caller.holdPartial(heldBytes);
  }

  /**
   * Passes whole events on.
   *
   * @param head head of the upstream's response, for the first events of the stream
   * @param lastId id of the last event of the attempt; null if none had one
   * @return whether these were the first
   */
  boolean forward(HttpResponse head, byte[] wholeEvents, @Nullable String lastId, long nowNanos) {
    lastEventNanos = nowNanos;
    lastEventId = lastId == null ? lastEventId : lastId;
    eventCount++;
    boolean first = begin(head);
    caller.write(wholeEvents);
    return first;
  }

  private boolean begin(HttpResponse head) {
    if (begun) {
      return false;
    }
    caller.begin(head.getCode(), Headers.endToEnd(head));
    begun = true;
    return true;
  }

  /** Ends the caller's stream as complete. */
  void complete(HttpResponse head) {
    begin(head);
    caller.end();
  }

  /**
   * Ends the count of what an ended attempt has held; what another one holds stays counted.
   *
   * @param partialBytes the memory of its incomplete event
   */
  void endAttempt(int partialBytes) {
    heldBytes -= partialBytes;
    caller.endCollecting();
    caller.holdPartial(heldBytes);
  }

  /** Returns whether the caller has received the head of the stream. */
  boolean isBegun() {
    return begun;
  }

  /** Returns the id of the last event that the caller has received; null if none had one. */
  @Nullable String lastEventId() {
    return lastEventId;
  }

  long lastEventNanos() {
    return lastEventNanos;
  }

  int eventCount() {
    return eventCount;
  }
}
