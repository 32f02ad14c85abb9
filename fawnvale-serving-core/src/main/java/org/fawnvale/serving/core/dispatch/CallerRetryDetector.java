package org.fawnvale.serving.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Tells callers that come back after a refusal from those that ask for the first time. Every try
 * has an id of its own, but where most callers of a route set the same deadline, the patience of
 * one that comes back has shrunk by the time that it has already waited.
 *
 * <p>Where callers set deadlines of their own, one that comes back is known once it has less time
 * left than nearly all first tries of its route have. With the longest deadline as the measure, 63
 * in 100 first tries were taken for returns where deadlines are 15 in 100 apart: they were let in
 * to full upstreams, and the work that they asked for was not counted as asked for.
 */
public final class CallerRetryDetector {

  /** Waiting and a new connection cost a caller that comes back 3 in 100 of its time at least. */
  private static final double WHOLE = 0.97;

  /**
   * The least share of tries with the usual deadline, where it tells anything. With a third of all
   * callers refused three quarters of the tries are first ones; of deadlines spread evenly over 30
   * in 100 one in seven lies within any 4 in 100.
   */
  private static final double LEAST_USUAL = 0.5;

  /** The relative width of a class of deadlines: the way to a daemon takes some milliseconds. */
  private static final double CLASS_WIDTH = 0.02;

  /** The share of first tries that may be taken for returns where deadlines differ. */
  private static final double SHORTEST = 0.02;

  /** With fewer first tries of a route the shortest of them tell nothing. */
  private static final int FEWEST_FIRST = 40;

  private final Map<String, Deadlines> routes = new HashMap<>();

  /** The deadlines of first tries on one route, in classes of equal relative width. */
  private static final class Deadlines {
    private final SortedMap<Integer, Integer> tries = new TreeMap<>();
    private int all;

    /**
     * Takes a try in. One that has less time left than the shortest first tries is left out, so
     * that many returns don't pass for short first tries; one below the usual deadline is not,
     * since what seems to be the usual one after a few tries may be chance.
     */
    boolean isReturn(long millis) {
      int here = classOf(millis);
      boolean isShort = here < shortest();
      if (isShort && usual() == 0) {
        return true;
      }
      tries.merge(here, 1, Integer::sum);
      all++;
      return millis < WHOLE * usual();
    }

    /** The usual deadline in milliseconds; 0 when callers have none in common. */
    private double usual() {
      int most = 0;
      int usual = 0;
      for (Map.Entry<Integer, Integer> entry : tries.entrySet()) {
        int withNext = entry.getValue() + tries.getOrDefault(entry.getKey() + 1, 0);
        if (withNext > most) {
          most = withNext;
          usual = entry.getKey();
        }
      }
      return most > LEAST_USUAL * all ? Math.exp((usual + 1) * CLASS_WIDTH) : 0;
    }

    /** The class that nearly all first tries reach. */
    private int shortest() {
      if (all < FEWEST_FIRST) {
        return 0;
      }
      double below = 0;
      for (Map.Entry<Integer, Integer> entry : tries.entrySet()) {
        below += entry.getValue();
        if (below > SHORTEST * all) {
          return entry.getKey();
        }
      }
      return 0;
    }

    private static int classOf(long millis) {
      return (int) Math.floor(Math.log(Math.max(1, millis)) / CLASS_WIDTH);
    }
  }

  /**
   * Takes a request in.
   *
   * @param route the name of its route
   * @param patienceMillis how long its caller will wait from now on, in milliseconds
   * @return true when its caller has most likely waited before
   */
  public boolean isRetry(String route, long patienceMillis) {
    return routes.computeIfAbsent(route, name -> new Deadlines()).isReturn(patienceMillis);
  }
}
