package org.fawnvale.serving.core.watch;

/**
 * Computes how often daemons ask the store for newer configurations. Every daemon asks, so each
 * configuration that is read with a call of its own costs as many calls as there are daemons, and
 * each daemon parses it and builds its routes anew. Versions that are written within one interval
 * are read with one call.
 */
public final class ConfigurationIntervals {

  /** With less, versions that follow each other are read with a call each. */
  private static final int MIN_INTERVAL_MILLIS = 400;

  /** Callers that use a new route get 404 until a daemon knows it, whatever the bound. */
  private static final int MAX_INTERVAL_MILLIS = 1_000;

  /**
   * The part of the bound that an interval may take. The rest is for the store's answer, for the
   * transfer and for slow daemons.
   */
  private static final int DIVISOR = 4;

  private ConfigurationIntervals() {}

  /**
   * Returns the time between two calls of a daemon.
   *
   * @param boundMillis how soon after the store has acknowledged a configuration daemons must apply
   *     it, in milliseconds
   * @return the time, in milliseconds
   */
  public static int intervalMillis(int boundMillis) {
    int interval = Math.min(MAX_INTERVAL_MILLIS, boundMillis / DIVISOR);
    return Math.max(MIN_INTERVAL_MILLIS, interval);
  }
}
