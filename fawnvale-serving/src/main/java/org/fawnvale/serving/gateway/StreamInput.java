package org.fawnvale.serving.gateway;

import java.nio.ByteBuffer;
import org.fawnvale.serving.core.flow.StreamEnd;
import org.fawnvale.serving.http.ResponseFraming;
import org.jspecify.annotations.Nullable;

/**
 * What one attempt has sent of an event stream. Each attempt has its own, since two may run and
 * only whole events of one of them are passed on. Callers of the methods hold the lock.
 */
final class StreamInput {

  private final CallerStream stream;
  private final EventSplitter events = new EventSplitter();
  private int held;

  /**
   * Creates the input of an attempt that has sent nothing.
   *
   * @param stream the stream that the caller receives
   */
  StreamInput(CallerStream stream) {
    this.stream = stream;
  }

  /** Returns whether bytes may be added: an event may never end. */
  boolean hasRoomFor(ByteBuffer data) {
    int bytes = data.remaining();
    return events.hasRoomFor(bytes) && stream.hasRoomForPartial(events.capacityWith(bytes));
  }

  /** Adds bytes; returns the events that they complete, or none. */
  byte[] split(ByteBuffer data) {
    byte[] complete = events.add(data);
    hold(events.capacity());
    return complete;
  }

  private void hold(int bytes) {
    stream.holdPartial(bytes - held);
    held = bytes;
  }

  /**
   * Classifies the end of the attempt's stream.
   *
   * @param anyEvent whether the attempt has sent a whole event
   */
  StreamEnd classifyEnd(ResponseFraming framing, boolean anyEvent) {
    return StreamEnd.of(framing.marksEnd(), events.partialLength(), anyEvent);
  }

  /** Drops the incomplete event of an attempt that has ended; another upstream sends it again. */
  void end() {
    events.discardPartial();
    stream.endAttempt(held);
    held = 0;
  }

  /** Returns how many bytes follow the last whole event. */
  int partialLength() {
    return events.partialLength();
  }

  /** Returns the id of the last whole event that had one; null when there was none. */
  @Nullable String lastId() {
    return events.lastId();
  }
}
