package org.fawnvale.core.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * What came of a replay.
 *
 * @param policy the policy's name
 * @param requests how many requests there were
 * @param goodput share of requests that were answered within their deadline
 * @param firstToken50 median time to the first token of answered requests, milliseconds
 * @param firstToken95 the same for 95 in 100
 * @param firstToken99 the same for 99 in 100
 * @param cacheHits share of prompt characters that were found cached
 * @param refused share of requests that were refused
 * @param retries retries for each request
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

  /** Heading of the lines of {@link #line}. */
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

  /**
   * Goodput of the workspace that has the least.
   *
   * @return the share
   */
  public double worstWorkspace() {
    return workspaceGoodput.values().stream().mapToDouble(Double::doubleValue).min().orElse(1);
  }

  /**
   * The result in one line of a table.
   *
   * @return the line
   */
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
        worstWorkspace());
  }

  /**
   * Compares the result with what the trace states.
   *
   * @param stated the stated outcome
   * @return each point that is not met; empty when all are
   */
  public List<String> unmetExpectations(RequestTrace.Expectation stated) {
    List<String> misses = new ArrayList<>();
    if (goodput < stated.goodputAtLeast()) {
      misses.add("goodput " + goodput + " is under " + stated.goodputAtLeast());
    }
    if (firstToken95 > stated.firstToken95AtMostMillis()) {
      misses.add(
          "first token of 95 in 100 "
              + firstToken95
              + " ms is over "
              + stated.firstToken95AtMostMillis());
    }
    if (worstWorkspace() < stated.workspaceGoodputAtLeast()) {
      misses.add(
          "worst workspace " + worstWorkspace() + " is under " + stated.workspaceGoodputAtLeast());
    }
    return misses;
  }
}
