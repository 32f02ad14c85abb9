package org.fawnvale.upstream;

/** The outcome of copying a response body. */
public sealed interface CopyResult {

  /**
   * The whole body was copied.
   *
   * @param bytes its length
   */
  record Whole(long bytes) implements CopyResult {}

  /**
   * The body was truncated, exceeded the size limit, or missed the deadline.
   *
   * @param bytes number of bytes copied
   * @param reason the cause, for messages
   */
  record Torn(long bytes, String reason) implements CopyResult {}

  /**
   * Writing to the receiver failed.
   *
   * @param bytes number of bytes copied
   */
  record ReceiverGone(long bytes) implements CopyResult {}
}
