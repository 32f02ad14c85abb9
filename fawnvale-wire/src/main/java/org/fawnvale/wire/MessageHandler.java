package org.fawnvale.wire;

/** Receives a peer's messages, one at a time and in order. */
@FunctionalInterface
public interface MessageHandler {

  /**
   * Handles one message. Must not block for long: it runs on the link's reader task.
   *
   * @param link the link that received the message
   */
  void handle(Link link, Message message);
}
