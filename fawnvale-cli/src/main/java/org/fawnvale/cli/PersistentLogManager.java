package org.fawnvale.cli;

import java.util.logging.LogManager;

/**
 * The JDK's log manager, but for its shutdown hook. That one removes all handlers as soon as the
 * process receives SIGTERM, while a daemon still serves and logs for seconds.
 *
 * <p>Public because the JDK creates it by its name.
 */
public final class PersistentLogManager extends LogManager {

  private volatile boolean persistent;

  /** Keeps the handlers until the process ends. */
  void persist() {
    persistent = true;
  }

  @Override
  public void reset() {
    if (!persistent) {
      super.reset();
    }
  }
}
