package org.fawnvale.core.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The result of a formation replay.
 *
 * @param policy the name of the policy
 * @param downtimeHours time during which required replicas could not serve, replica-hours
 * @param strandedHours time during which healthy nodes were in no complete replica, node-hours
 * @param loads number of times that nodes loaded weights
 * @param weighted sum of downtime and stranding, with the weights of the bundle
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

  /** Heading for the lines that {@link #line} returns. */
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

  /** Returns the result as one line of a table. */
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
   * Compares the result with the expectation of the trace.
   *
   * @return a text for each bound that is not met; empty when all are met
   */
  public List<String> unmetExpectations(FormationTrace.Expectation expectation) {
    List<String> unmet = new ArrayList<>();
    if (downtimeHours > expectation.downtimeHoursAtMost()) {
      unmet.add("downtime " + downtimeHours + " r-h is over " + expectation.downtimeHoursAtMost());
    }
    if (strandedHours > expectation.strandedHoursAtMost()) {
      unmet.add("stranding " + strandedHours + " n-h is over " + expectation.strandedHoursAtMost());
    }
    return unmet;
  }
}
