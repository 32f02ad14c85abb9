package org.fawnvale.kernel;

/** A failure to register, find or start a service. */
public final class ServiceException extends Exception {

  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message what failed and what to do about it
   */
  public ServiceException(String message) {
    super(message);
  }

  /**
   * Creates an exception with a cause.
   *
   * @param message what failed and what to do about it
   * @param cause the underlying failure
   */
  public ServiceException(String message, Throwable cause) {
    super(message, cause);
  }
}
