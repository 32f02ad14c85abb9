package org.fawnvale.serving.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

/** The body of an answer that is of use only when it is complete, up to a bound. */
public final class AnswerBody {

  /**
   * The longest body, in bytes: four times the largest page and the largest object of the store. A
   * faulty process may send a body that never ends.
   */
  public static final int MAX_BYTES = 4 << 20;

  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
  private final int maxBytes;

  /** Creates an empty body of at most {@link #MAX_BYTES}. */
  public AnswerBody() {
    this(MAX_BYTES);
  }

  /**
   * Creates an empty body.
   *
   * @param maxBytes the bound, in bytes
   */
  AnswerBody(int maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Adds a part.
   *
   * @param part the part; all of it is read if it is added
   * @return false if the body is longer than its bound; the connection must be closed then
   */
  public boolean add(ByteBuffer part) {
    if (part.remaining() > maxBytes - bytes.size()) {
      return false;
    }
    byte[] added = new byte[part.remaining()];
    part.get(added);
    bytes.writeBytes(added);
    return true;
  }

  /** Returns all that was added. */
  public byte[] toByteArray() {
    return bytes.toByteArray();
  }
}
