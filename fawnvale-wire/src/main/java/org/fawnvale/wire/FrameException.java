package org.fawnvale.wire;

import java.io.IOException;

/** Thrown for a frame that cannot be decoded or encoded, or for a failed handshake. */
public final class FrameException extends IOException {

  private static final long serialVersionUID = 1L;

  /**
   * Creates the exception.
   *
   * @param message the cause, for logs
   */
  public FrameException(String message) {
    super(message);
  }

  /**
   * Creates the exception with its cause.
   *
   * @param message the cause, for logs
   * @param cause the underlying failure
   */
  public FrameException(String message, Throwable cause) {
    super(message, cause);
  }
}
