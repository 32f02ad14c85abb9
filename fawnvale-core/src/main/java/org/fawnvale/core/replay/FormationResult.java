package org.fawnvale.core.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * What came of a replay of nodes.
 *
 * @param policy the policy's name
 * @param downtimeHours time that wanted replicas could not serve, replica-hours
 * @param strandedHours time that healthy nodes were in no complete replica, node-hours
 * @param loads loads of weights
 * @param weighted both measures under the bundle's weights
 * @param downtimeBound lower bound of the downtime, replica-hours
 * @param strandedBound lower bound of the stranding, node-hours
 */
public record FormationResult(
    String policy,
    double downtimeHours,
    double strandedHours,
    int loads,
    double weighted,
    double downtimeBound,
    double strandedBound) {

  /** Heading of the lines of {@link #line}. */
  public static final String HEADING =
      String.format(
          Locale.ROOT,
          "%-24s %13s %14s %7s %11s %12s %12s",
          "POLICY",
          "DOWNTIME r-h",
          "STRANDED n-h",
          "LOADS",
          "WEIGHTED",
          "BOUND r-h",
          "BOUND n-h");

  /**
   * The result in one line of a table.
   *
   * @return the line
   */
  public String line() {
    return String.format(
        Locale.ROOT,
        "%-24s %13.2f %14.1f %7d %11.1f %12.2f %12.1f",
        policy,
        downtimeHours,
        strandedHours,
        loads,
        weighted,
        downtimeBound,
        strandedBound);
  }

  /**
   * Compares the result with what the trace states.
   *
   * @param stated the stated outcome
   * @return each point that is not met; empty when all are
   */
  public List<String> unmetExpectations(FormationTrace.Expectation stated) {
    List<String> misses = new ArrayList<>();
    if (downtimeHours > stated.downtimeHoursAtMost()) {
      misses.add("downtime " + downtimeHours + " r-h is over " + stated.downtimeHoursAtMost());
    }
    if (strandedHours > stated.strandedHoursAtMost()) {
      misses.add("stranding " + strandedHours + " n-h is over " + stated.strandedHoursAtMost());
    }
    return misses;
  }
}
