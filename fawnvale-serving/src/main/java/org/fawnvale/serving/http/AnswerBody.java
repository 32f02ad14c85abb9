package org.fawnvale.serving.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** The body of an answer that is of use only when it is complete, up to a bound. */
public final class AnswerBody {

  /**
   * The longest body for a caller, in bytes, as in the product's own form. A faulty process may
   * send a body that never ends.
   */
  static final int MAX_CALLER_BYTES = 16 << 20;

  /** Bytes that are kept together: one growing array would take up to three times their number. */
  private static final int BLOCK_BYTES = 64 << 10;

  private final List<byte[]> blocks = new ArrayList<>();
  private final ByteArrayOutputStream lastBlock = new ByteArrayOutputStream();
  private final int maxBytes;
  private int size;

  /**
   * Creates an empty body.
   *
   * @param maxBytes the bound, in bytes
   */
  AnswerBody(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Creates an empty body for a caller. */
  public static AnswerBody forCaller() {
    return new AnswerBody(MAX_CALLER_BYTES);
  }

  /**
   * Adds a part.
   *
   * @param part the part; all of it is read if it is added
   * @return false if the body is longer than its bound; the connection must be closed then
   */
  public boolean add(ByteBuffer part) {
    if (part.remaining() > maxBytes - size) {
      return false;
    }
    size += part.remaining();
    byte[] added = new byte[part.remaining()];
    part.get(added);
    lastBlock.writeBytes(added);
    if (lastBlock.size() >= BLOCK_BYTES) {
      blocks.add(lastBlock.toByteArray());
      lastBlock.reset();
    }
    return true;
  }

  /** Returns all that was added. */
  public byte[] toByteArray() {
    ByteBuffer all = ByteBuffer.allocate(size);
    blocks.forEach(all::put);
    all.put(lastBlock.toByteArray());
    return all.array();
  }
}
