package org.fawnvale.upstream;

/** The outcome of sending an order to an engine. */
public sealed interface OrderResult {

  /** The engine accepted the order. */
  record Taken() implements OrderResult {}

  /**
   * The engine rejected the order: the engine has accepted an order with a higher epoch or
   * generation before, or the order is invalid.
   *
   * @param status the HTTP status of the response
   */
  record Refused(int status) implements OrderResult {}

  /**
   * No usable response arrived; the order may still take effect.
   *
   * @param reason the cause, for messages
   */
  record Unknown(String reason) implements OrderResult {}
}
