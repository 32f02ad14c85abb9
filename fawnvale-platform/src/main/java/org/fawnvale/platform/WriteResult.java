package org.fawnvale.platform;

/** The outcome of a conditional write. */
public sealed interface WriteResult {

  /**
   * The write took effect.
   *
   * @param version the object's new version
   */
  record Written(long version) implements WriteResult {}

  /** The condition did not hold; nothing was written. */
  record Conflict() implements WriteResult {}

  /**
   * The platform rejected the write or could not be reached; nothing was written.
   *
   * @param reason the cause, for messages
   */
  record NotWritten(String reason) implements WriteResult {}

  /**
   * The response was lost or unreadable: the write may or may not have taken effect.
   *
   * @param reason the cause, for messages
   */
  record Unknown(String reason) implements WriteResult {}
}
