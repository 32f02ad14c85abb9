package org.fawnvale.serving.core.dispatch;

import java.util.Arrays;

/**
 * Chooses an upstream by loads that are older than many of the requests that change them.
 *
 * <p>In a large fleet, daemons learn of each other's requests after hundreds of milliseconds. If
 * all of them chose the upstream that looks least loaded, it would receive the requests of the
 * whole fleet until the next messages arrive, then none for a while. Instead, each daemon draws an
 * upstream with a probability such that the requests of all daemons together, which arrive before
 * the next messages, make the loads as equal as possible. The probabilities fill up the least
 * loaded upstreams to a common level, like water; more loaded upstreams receive nothing. The method
 * is known as load interpretation (M. Dahlin, Interpreting Stale Load Information, 2000).
 */
final class StaleLoadPlacement {

  private StaleLoadPlacement() {}

  /**
   * Chooses one of several upstreams of equal capacity.
   *
   * @param loads the expected load of each upstream before the arriving requests: requests relative
   *     to slots, with the additions that make it less preferable; at least one
   * @param arriving the requests of all daemons that will arrive before the loads are known again,
   *     relative to the slots of one upstream; above 0
   * @param draw a random number from 0 to below 1
   * @return the index of the chosen upstream
   */
  static int choose(double[] loads, double arriving, double draw) {
    double level = level(loads, arriving);
    double remaining = draw * arriving;
    int last = 0;
    for (int index = 0; index < loads.length; index++) {
      double room = level - loads[index];
      if (room > 0) {
        last = index;
        remaining -= room;
        if (remaining < 0) {
          return index;
        }
      }
    }
    return last;
  }

  /**
   * Returns the load that the least loaded upstreams reach when the arriving requests fill them up
   * evenly.
   */
  private static double level(double[] loads, double arriving) {
    double[] sorted = loads.clone();
    Arrays.sort(sorted);
    double sum = arriving;
    double level = Double.POSITIVE_INFINITY;
    for (int count = 0; count < sorted.length && sorted[count] < level; count++) {
      sum += sorted[count];
      level = sum / (count + 1);
    }
    return level;
  }
}
