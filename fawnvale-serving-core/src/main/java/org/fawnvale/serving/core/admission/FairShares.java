package org.fawnvale.serving.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Divides the admitted share of the requests of one model and urgency between workspaces, so that
 * none gets more of the groups' time while another that wants it gets less (max-min). Which
 * requests of a workspace are admitted does not depend on their size: each request adds the share
 * of its workspace to a sum, and is admitted when the sum reaches 1. Not thread-safe.
 */
public final class FairShares {

  /**
   * The time constant of the work of a workspace, in nanoseconds. It is longer than that of the
   * level, since one daemon sees few requests of a workspace.
   */
  private static final double DECAY_NANOS = 3e9;

  /** Workspaces that want less than this work are forgotten, in milliseconds of a group's time. */
  private static final double MIN_WORK_MILLIS = 0.01;

  /** Bounds the state; with more workspaces at once, the others count as one. */
  private static final int MAX_WORKSPACES = 1_024;

  private static final String OTHERS = "";

  /** How long a computed limit is used, in nanoseconds; it visits all workspaces. */
  private static final long LIMIT_NANOS = 50_000_000L;

  private final Map<String, Workspace> workspaces = new HashMap<>();
  private double limitMillis;
  private double limitShare = 1;
  private long limitNanos;

  private static final class Workspace {
    double workMillis;
    double credit = 0.5;
    long atNanos;

    void decay(long nowNanos) {
      workMillis *= Math.exp((atNanos - nowNanos) / DECAY_NANOS);
      atNanos = nowNanos;
    }
  }

  /**
   * Counts a first attempt and decides whether it is admitted.
   *
   * @param workspace the name of its workspace; empty if it has none
   * @param workMillis the time of one group that it occupies, in milliseconds
   * @param share the share of all work of this model and urgency that is admitted, 0 to 1
   * @param nowNanos the monotonic time, in nanoseconds
   * @return true if it is admitted
   */
  public boolean admit(String workspace, double workMillis, double share, long nowNanos) {
    boolean tracked = workspaces.containsKey(workspace) || workspaces.size() < MAX_WORKSPACES;
    Workspace own =
        workspaces.computeIfAbsent(tracked ? workspace : OTHERS, name -> new Workspace());
    own.decay(nowNanos);
    own.workMillis += workMillis;
    if (share >= 1) {
      return true;
    }
    if (share != limitShare || nowNanos - limitNanos > LIMIT_NANOS) {
      limitMillis = limitMillis(share, nowNanos);
      limitShare = share;
      limitNanos = nowNanos;
    }
    own.credit += Math.min(1, limitMillis / own.workMillis);
    boolean admitted = own.credit >= 1;
    if (admitted) {
      own.credit--;
    }
    return admitted;
  }

  /** Returns the most work that one workspace gets, in the unit of the decaying sums. */
  private double limitMillis(double share, long nowNanos) {
    List<Double> wanted = new ArrayList<>(workspaces.size());
    double total = 0;
    for (Workspace workspace : workspaces.values()) {
      workspace.decay(nowNanos);
      wanted.add(workspace.workMillis);
      total += workspace.workMillis;
    }
    workspaces.values().removeIf(workspace -> workspace.workMillis < MIN_WORK_MILLIS);
    wanted.sort(null);
    double remaining = share * total;
    int left = wanted.size();
    for (double work : wanted) {
      if (work * left >= remaining) {
        return remaining / left;
      }
      remaining -= work;
      left--;
    }
    return Double.POSITIVE_INFINITY;
  }
}
