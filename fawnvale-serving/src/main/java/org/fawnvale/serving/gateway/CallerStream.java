package org.fawnvale.serving.gateway;

import java.nio.ByteBuffer;
import org.apache.hc.core5.http.HttpResponse;
import org.fawnvale.serving.core.flow.StreamEnd;
import org.fawnvale.serving.http.ResponseFraming;
import org.jspecify.annotations.Nullable;

/**
 * The event stream that a caller receives; several attempts may contribute to it. Only whole events
 * are passed on. Callers of the methods hold the lock.
 */
final class CallerStream {

  private final CallerResponse caller;
  private final EventSplitter events = new EventSplitter();
  private boolean begun;
  private long lastEventNanos;
  private int eventCount;

  CallerStream(CallerResponse caller) {
    this.caller = caller;
  }

  /** Returns whether bytes may be added: an event may never end. */
  boolean hasRoomFor(ByteBuffer data) {
    int bytes = data.remaining();
    return events.hasRoomFor(bytes) && caller.hasRoomForPartial(events.capacityWith(bytes));
  }

  /** Adds bytes of an upstream's stream; returns the events that they complete, or none. */
  byte[] split(ByteBuffer data) {
    byte[] complete = events.add(data);
    caller.holdPartial(events.capacity());
    return complete;
  }

  /**
   * Passes whole events on.
   *
   * @param head head of the upstream's response, for the first events of the stream
   * @return whether these were the first
   */
  boolean forward(HttpResponse head, byte[] wholeEvents, long nowNanos) {
    lastEventNanos = nowNanos;
    eventCount++;
    boolean first = begin(head);
    caller.write(wholeEvents);
    return first;
  }

  private boolean begin(HttpResponse head) {
    if (begun) {
      return false;
    }
    begun = true;
    caller.begin(head.getCode(), Headers.endToEnd(head));
    return true;
  }

  /**
   * Classifies the end of an upstream's stream.
   *
   * @param anyEvent whether that upstream has sent a whole event
   */
  StreamEnd classifyEnd(ResponseFraming framing, boolean anyEvent) {
    return StreamEnd.of(framing.marksEnd(), events.partialLength(), anyEvent);
  }

  /** Ends the caller's stream as complete. */
  void complete(HttpResponse head) {
    begin(head);
    caller.end();
  }

  /**
   * Releases what an ended attempt has left: its incomplete event is discarded, since another
   * upstream sends it again.
   */
  void endAttempt() {
    events.discardPartial();
    caller.endCollecting();
  }

  /** Returns whether the caller has received the head of the stream. */
  boolean isBegun() {
    return begun;
  }

  int partialLength() {
    return events.partialLength();
  }

  @Nullable String lastEventId() {
    return events.lastId();
  }

  long lastEventNanos() {
    return lastEventNanos;
  }

  int eventCount() {
    return eventCount;
  }
}
