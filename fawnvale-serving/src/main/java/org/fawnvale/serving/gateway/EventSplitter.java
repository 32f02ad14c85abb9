package org.fawnvale.serving.gateway;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * Cuts a stream of events where one ends, so that only whole events are passed on. An event ends
 * with an empty line; its id stands in a line that begins with {@code id:}.
 */
final class EventSplitter {

  private static final byte LINE_FEED = '\n';
  private static final byte RETURN = '\r';
  private static final byte[] ID = "id:".getBytes(StandardCharsets.US_ASCII);
  private static final int FIRST_CAPACITY = 256;

  private byte[] buffer = new byte[FIRST_CAPACITY];
  private int length;
  private @Nullable String lastId;

  /**
   * Adds bytes and takes out the whole events that are there.
   *
   * @param data the bytes
   * @return the whole events; empty when none is complete
   */
  byte[] add(ByteBuffer data) {
    int count = data.remaining();
    if (length + count > buffer.length) {
      buffer = Arrays.copyOf(buffer, Math.max(buffer.length * 2, length + count));
    }
    data.get(buffer, length, count);
    length += count;
    int end = endOfLastEvent();
    byte[] whole = Arrays.copyOf(buffer, end);
    if (end > 0) {
      String id = lastIdIn(whole);
      lastId = id == null ? lastId : id;
      System.arraycopy(buffer, end, buffer, 0, length - end);
      length -= end;
    }
    return whole;
  }

  /** Forgets an event that has not ended, since another upstream tells it again. */
  void dropRest() {
    length = 0;
  }

  /**
   * Takes what follows the last whole event.
   *
   * @return the bytes
   */
  byte[] rest() {
    byte[] rest = Arrays.copyOf(buffer, length);
    length = 0;
    return rest;
  }

  /**
   * The id of the last whole event.
   *
   * @return the id; null when no event had one
   */
  @Nullable String lastId() {
    return lastId;
  }

  private int endOfLastEvent() {
    for (int index = length - 1; index > 0; index--) {
      if (buffer[index] == LINE_FEED && endsEmptyLine(index)) {
        return index + 1;
      }
    }
    return 0;
  }

  private boolean endsEmptyLine(int index) {
    int before = index - 1;
    if (buffer[before] == RETURN) {
      before--;
    }
    return before >= 0 && buffer[before] == LINE_FEED;
  }

  private static @Nullable String lastIdIn(byte[] events) {
    String id = null;
    int start = 0;
    for (int index = 0; index < events.length; index++) {
      if (events[index] == LINE_FEED) {
        if (beginsWithId(events, start, index)) {
          int from = start + ID.length;
          id = new String(events, from, index - from, StandardCharsets.US_ASCII).trim();
        }
        start = index + 1;
      }
    }
    return id;
  }

  private static boolean beginsWithId(byte[] events, int start, int end) {
    return end - start > ID.length
        && Arrays.equals(events, start, start + ID.length, ID, 0, ID.length);
  }
}
