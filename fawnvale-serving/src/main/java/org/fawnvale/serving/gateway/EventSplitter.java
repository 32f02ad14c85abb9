package org.fawnvale.serving.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * Splits a server-sent event stream at event boundaries so that only complete events are forwarded.
 * An empty line ends an event; a line that begins with {@code id:} holds its id.
 */
final class EventSplitter {

  private static final byte LINE_FEED = '\n';
  private static final byte CARRIAGE_RETURN = '\r';
  private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);
  private static final int INITIAL_CAPACITY = 256;

  /** The longest event, in bytes. Sound events may have 1 MB; a faulty one may never end. */
  private static final int MAX_EVENT_BYTES = 2 << 20;

  /** The largest buffer that is kept for the next event, in bytes. */
  private static final int MAX_KEPT_CAPACITY = 16 << 10;

  /** By what the buffer grows: each byte is then copied about three times at most. */
  private static final double GROWTH = 1.5;

  private byte[] buffer = new byte[INITIAL_CAPACITY];
  private int length;
  private @Nullable String lastId;

  /**
   * Appends bytes and removes the events that are complete.
   *
   * @return the complete events; empty when there is none
   */
  byte[] add(ByteBuffer data) {
    int count = data.remaining();
    resize(capacityWith(count));
    data.get(buffer, length, count);
    int start = length;
    length += count;
    int end = endOfLastEvent(start);
    byte[] complete = Arrays.copyOf(buffer, end);
    if (end > 0) {
      String id = findLastId(complete);
      lastId = id == null ? lastId : id;
      System.arraycopy(buffer, end, buffer, 0, length - end);
      length -= end;
      releaseSpare();
    }
    return complete;
  }

  private void resize(int capacity) {
    if (capacity != buffer.length) {
      buffer = Arrays.copyOf(buffer, capacity);
    }
  }

  private void releaseSpare() {
    if (buffer.length > MAX_KEPT_CAPACITY) {
      resize(Math.max(INITIAL_CAPACITY, length));
    }
  }

  /** Returns whether an event may grow by so many bytes; it may never end. */
  boolean hasRoomFor(int bytes) {
    return length + bytes <= MAX_EVENT_BYTES;
  }

  /** Returns the size of the buffer once so many bytes are added, in bytes. */
  int capacityWith(int bytes) {
    int needed = length + bytes;
    return needed <= buffer.length
        ? buffer.length
        : Math.max(needed, (int) (buffer.length * GROWTH));
  }

  /** Returns the size of the buffer, in bytes. */
  int capacity() {
    return buffer.length;
  }

  /** Discards an incomplete event, because another upstream sends it again. */
  void discardPartial() {
    length = 0;
    releaseSpare();
  }

  /** Returns how many bytes follow the last complete event. */
  int partialLength() {
    return length;
  }

  /** Returns the id of the last complete event that had one; null when there was none. */
  @Nullable String lastId() {
    return lastId;
  }

  /** Searches the new bytes only: what came before them holds no end of an event. */
  private int endOfLastEvent(int start) {
    for (int index = length - 1; index >= Math.max(1, start); index--) {
      if (buffer[index] == LINE_FEED && endsEmptyLine(index)) {
        return index + 1;
      }
    }
    return 0;
  }

  private boolean endsEmptyLine(int index) {
    int previous = index - 1;
    if (buffer[previous] == CARRIAGE_RETURN) {
      previous--;
    }
    return previous >= 0 && buffer[previous] == LINE_FEED;
  }

  private static @Nullable String findLastId(byte[] events) {
    String id = null;
    int start = 0;
    for (int index = 0; index < events.length; index++) {
      if (events[index] == LINE_FEED) {
        if (startsWithId(events, start, index)) {
          int from = start + ID.length;
          id = new String(events, from, index - from, StandardCharsets.US_ASCII).trim();
        }
        start = index + 1;
      }
    }
    return id;
  }

  private static boolean startsWithId(byte[] events, int start, int end) {
    return end - start > ID.length
        && Arrays.equals(events, start, start + ID.length, ID, 0, ID.length);
  }
}
