package org.fawnvale.serving.core.dispatch;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells callers that come back after a refusal from those that ask for the first time. Every try
 * has an id of its own, but where all callers of a route set the same deadline, the patience of one
 * that comes back has shrunk by the time that it has already waited.
 *
 * <p>Where callers set deadlines of their own, patience tells nothing, and nobody is held to come
 * back. With deadlines 15 in 100 apart, 63 in 100 first tries were taken for returns: they were let
 * in to full upstreams, and the work that they asked for was not counted as asked for.
 */
public final class ReturningCallers {

  /** Waiting and a new connection cost a caller that comes back 5 in 100 of its time at least. */
  private static final double WHOLE = 0.97;

  /**
   * The least share of tries with whole patience, where deadlines tell anything. With a third of
   * all callers refused three quarters of the tries are first ones; of deadlines spread evenly over
   * 30 in 100 one in eight is as long as the longest.
   */
  private static final double LEAST_WHOLE = 0.5;

  private final Map<String, Long> longestPatience = new HashMap<>();
  private int tries;
  private int whole;

  /**
   * Takes a request in.
   *
   * @param route the name of its route
   * @param patienceMillis how long its caller will wait from now on, in milliseconds
   * @return true when its caller has most likely waited before
   */
  public boolean isReturning(String route, long patienceMillis) {
    long longest = longestPatience.merge(route, patienceMillis, Math::max);
    boolean isWhole = patienceMillis >= WHOLE * longest;
    tries++;
    whole += isWhole ? 1 : 0;
    return !isWhole && whole > LEAST_WHOLE * tries;
  }
}
