package org.fawnvale.kernel;

/** A part of the daemon that the kernel starts and stops. */
public interface Service {

  /**
   * Starts the service. The kernel calls it once, after all services that were registered before
   * this one have started.
   *
   * @throws ServiceException if the service can't start; the message names the remedy
   */
  void start() throws ServiceException;

  /**
   * Stops the service. The kernel calls it once, before it stops the services that were registered
   * before this one.
   */
  void stop();
}
