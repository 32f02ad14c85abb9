package org.fawnvale.serving.core.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells callers that come back after a refusal from those that ask for the first time. Every try
 * has an id of its own, but the caller's patience shrinks with the time that it has already waited.
 */
public final class ReturningCallers {

  private static final double WHOLE = 0.97;

  private final Map<String, Long> longestPatience = new HashMap<>();

  /**
   * Takes a request in.
   *
   * @param route the name of its route
   * @param patienceMillis how long its caller will wait from now on, in milliseconds
   * @return true when callers of this route usually wait longer
   */
  public boolean isReturning(String route, long patienceMillis) {
    long longest = longestPatience.merge(route, patienceMillis, Math::max);
    return patienceMillis < WHOLE * longest;
  }
}
