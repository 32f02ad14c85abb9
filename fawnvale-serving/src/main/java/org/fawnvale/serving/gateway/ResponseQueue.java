package org.fawnvale.serving.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.fawnvale.serving.core.flow.ResponseBuffer;

/** The parts of a response that the caller's connection has not accepted yet. */
final class ResponseQueue {

  /**
   * What a queued part takes beside its bytes, about: an array header, a buffer and a place in the
   * queue. Without it, a stream of small events would take a multiple of what is counted.
   */
  private static final int PART_OVERHEAD_BYTES = 72;

  private final Deque<ByteBuffer> parts = new ArrayDeque<>();
  private final ResponseBuffer buffer;

  ResponseQueue(ResponseBuffer buffer) {
    this.buffer = buffer;
  }

  void add(byte[] part) {
    parts.add(ByteBuffer.wrap(part));
    buffer.add(part.length + PART_OVERHEAD_BYTES);
  }

  boolean isEmpty() {
    return parts.isEmpty();
  }

  /** Returns the bytes that wait to be written. */
  int bytes() {
    return (int) buffer.unread() - parts.size() * PART_OVERHEAD_BYTES;
  }

  /**
   * Writes as much as the connection accepts.
   *
   * @throws IOException if the connection is broken
   */
  void writeTo(DataStreamChannel channel) throws IOException {
    boolean accepting = true;
    while (accepting && !parts.isEmpty()) {
      ByteBuffer part = parts.peekFirst();
      int before = part.remaining();
      channel.write(part);
      accepting = !part.hasRemaining();
      long accepted = before - part.remaining();
      if (accepting) {
        parts.removeFirst();
        accepted += PART_OVERHEAD_BYTES;
      }
      if (accepted > 0) {
        buffer.accepted(accepted, System.nanoTime());
      }
    }
  }

  /** Drops all parts, because they can no longer be delivered. */
  void clear() {
    parts.clear();
    buffer.clear();
  }
}
