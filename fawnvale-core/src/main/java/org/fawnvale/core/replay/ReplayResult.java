package org.fawnvale.core.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The result of a request replay.
 *
 * @param policy the name of the policy
 * @param requests number of requests
 * @param goodput share of requests that completed within their deadline
 * @param firstToken50 median time to the first token of answered requests, milliseconds
 * @param firstToken95 95th percentile of the same, milliseconds
 * @param firstToken99 99th percentile of the same, milliseconds
 * @param cacheHits share of prompt characters that were cached
 * @param refused share of requests that were refused
 * @param retries average number of retries per request
 * @param workspaceGoodput goodput of each workspace
 */
public record ReplayResult(
    String policy,
    int requests,
    double goodput,
    double firstToken50,
    double firstToken95,
    double firstToken99,
    double cacheHits,
    double refused,
    double retries,
    Map<String, Double> workspaceGoodput) {

  /** Heading for the lines that {@link #line} returns. */
  public static final String HEADING =
      String.format(
          Locale.ROOT,
          "%-28s %8s %8s %8s %8s %6s %7s %7s %s",
          "POLICY",
          "GOODPUT",
          "FIRST50",
          "FIRST95",
          "FIRST99",
          "HITS",
          "REFUSED",
          "RETRIES",
          "WORST WORKSPACE");

  /** Copies the map. */
  public ReplayResult {
    workspaceGoodput = Map.copyOf(workspaceGoodput);
  }

  /** Returns the lowest goodput of a workspace. */
  public double lowestWorkspaceGoodput() {
    return workspaceGoodput.values().stream().mapToDouble(Double::doubleValue).min().orElse(1);
  }

  /** Returns the result as one line of a table. */
  public String line() {
    return String.format(
        Locale.ROOT,
        "%-28s %8.3f %8.0f %8.0f %8.0f %6.2f %7.3f %7.3f %.3f",
        policy,
        goodput,
        firstToken50,
        firstToken95,
        firstToken99,
        cacheHits,
        refused,
        retries,
        lowestWorkspaceGoodput());
  }

  /**
   * Compares the result with the expectation of the trace.
   *
   * @return a text for each bound that is not met; empty when all are met
   */
  public List<String> unmetExpectations(RequestTrace.Expectation expectation) {
    List<String> unmet = new ArrayList<>();
    if (goodput < expectation.goodputAtLeast()) {
      unmet.add("goodput " + goodput + " is under " + expectation.goodputAtLeast());
    }
    if (firstToken95 > expectation.firstToken95AtMostMillis()) {
      unmet.add(
          "95th percentile of the time to the first token "
              + firstToken95
              + " ms is over "
              + expectation.firstToken95AtMostMillis());
    }
    if (lowestWorkspaceGoodput() < expectation.workspaceGoodputAtLeast()) {
      unmet.add(
          "worst workspace "
              + lowestWorkspaceGoodput()
              + " is under "
              + expectation.workspaceGoodputAtLeast());
    }
    return unmet;
  }
}
