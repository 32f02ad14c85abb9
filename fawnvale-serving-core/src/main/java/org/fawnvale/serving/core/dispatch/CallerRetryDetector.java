package org.fawnvale.serving.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Detects requests of callers that were refused before and now retry. A retry carries a new request
 * id, so it is recognised by its deadline: where most callers of a route set the same deadline, a
 * retry has less time left by what its caller has already waited.
 *
 * <p>Where the deadlines of callers differ, a request counts as a retry when it has less time left
 * than nearly all first attempts on its route. The shortest deadlines are the measure, not the
 * longest ones: otherwise most first attempts would pass for retries (63 in 100 where deadlines
 * differ by 15 in 100), be admitted to full upstreams and be missing from the measured load.
 */
public final class CallerRetryDetector {

  /**
   * A request counts as a retry when it has less than this share of the usual deadline left. A
   * caller that retries has spent at least 3% of its deadline on waiting and on a new connection.
   */
  private static final double MAX_RETRY_SHARE = 0.97;

  /**
   * The share of requests that has to have the most frequent deadline for it to count as the usual
   * one. It is below the share of first attempts when a third of the callers are refused (three
   * quarters), and far above the one in seven that evenly distributed deadlines reach.
   */
  private static final double MIN_USUAL_SHARE = 0.5;

  /**
   * The relative width of a histogram bucket. It allows for the few milliseconds of network delay
   * before the daemon receives a request.
   */
  private static final double BUCKET_WIDTH = 0.02;

  /** The share of first attempts that may be taken for retries where deadlines differ. */
  private static final double MAX_MISTAKEN_SHARE = 0.02;

  /**
   * The number of first attempts on a route below which their shortest deadlines are not
   * significant.
   */
  private static final int MIN_FIRST_ATTEMPTS = 40;

  private final Map<String, Deadlines> routes = new HashMap<>();

  /**
   * A histogram of the deadlines of first attempts on one route. Its buckets have equal relative
   * width.
   */
  private static final class Deadlines {
    private final SortedMap<Integer, Integer> attempts = new TreeMap<>();
    private int all;

    /**
     * Classifies a request and counts it. A request with less time left than the shortest first
     * attempts is not counted, since many retries would otherwise lower that bound. A request below
     * the usual deadline is counted, since the usual deadline is uncertain while few requests have
     * been seen.
     */
    boolean isRetry(long millis) {
      int bucket = bucketOf(millis);
      boolean isShort = bucket < shortest();
      if (isShort && usual() == 0) {
        return true;
      }
      attempts.merge(bucket, 1, Integer::sum);
      all++;
      return millis < MAX_RETRY_SHARE * usual();
    }

    /** Returns the usual deadline in milliseconds; 0 when callers have no deadline in common. */
    private double usual() {
      int most = 0;
      int usual = 0;
      for (Map.Entry<Integer, Integer> entry : attempts.entrySet()) {
        int withNext = entry.getValue() + attempts.getOrDefault(entry.getKey() + 1, 0);
        if (withNext > most) {
          most = withNext;
          usual = entry.getKey();
        }
      }
      return most > MIN_USUAL_SHARE * all ? Math.exp((usual + 1) * BUCKET_WIDTH) : 0;
    }

    /**
     * Returns the bucket below which at most the share {@link #MAX_MISTAKEN_SHARE} of the first
     * attempts lies; 0 while there are too few first attempts.
     */
    private int shortest() {
      if (all < MIN_FIRST_ATTEMPTS) {
        return 0;
      }
      double below = 0;
      for (Map.Entry<Integer, Integer> entry : attempts.entrySet()) {
        below += entry.getValue();
        if (below > MAX_MISTAKEN_SHARE * all) {
          return entry.getKey();
        }
      }
      return 0;
    }

    private static int bucketOf(long millis) {
      return (int) Math.floor(Math.log(Math.max(1, millis)) / BUCKET_WIDTH);
    }
  }

  /**
   * Forgets all other routes, which the configuration no longer has.
   *
   * @param names the names of the routes that it has
   */
  public void retainRoutes(Set<String> names) {
    routes.keySet().retainAll(names);
  }

  /**
   * Classifies a request and counts its deadline.
   *
   * @param route the name of its route
   * @param remainingMillis how long its caller will wait from now on, in milliseconds
   * @return true when its caller has most likely been refused before
   */
  public boolean isRetry(String route, long remainingMillis) {
    return routes.computeIfAbsent(route, name -> new Deadlines()).isRetry(remainingMillis);
  }
}
