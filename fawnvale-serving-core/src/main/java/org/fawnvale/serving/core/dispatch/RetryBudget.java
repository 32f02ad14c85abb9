package org.fawnvale.serving.core.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Limits the retries that this daemon sends to one service, so that all daemons together, over all
 * their lives, stay within the configured ratio and slack in any window. Not thread-safe.
 *
 * <p>It is a token bucket that is empty at the start of a process. Requests and time fill it, a
 * retry costs one token, and what a process held ends with it. So the retries of any window are at
 * most the tokens that the running daemons held at its begin and those that were added in it,
 * however often daemons start again; nobody has to know what an earlier life has spent.
 */
public final class RetryBudget {

  /** The fraction of the ratio that each request adds. */
  private static final double ADDED_RATIO = 0.7;

  /**
   * The fraction of the ratio, for the requests of the last window, that may be held. With {@link
   * #ADDED_RATIO} it stays below 1, since what is held at the begin of a window and what is added
   * in it may both be spent in it.
   */
  private static final double HELD_RATIO = 0.2;

  /**
   * What {@link #ADDED_RATIO} and {@link #HELD_RATIO} are while the other daemons are not known. A
   * daemon then holds nothing of the slack, and one with few requests could never hold a whole
   * retry otherwise.
   */
  private static final double ADDED_RATIO_ALONE = 0.4;

  private static final double HELD_RATIO_ALONE = 0.5;

  /** The fraction of this daemon's share of the slack that one window adds. */
  private static final double ADDED_SLACK = 0.4;

  /**
   * The fraction of the share that may be held. With {@link #ADDED_SLACK} it leaves a fifth for
   * daemons that do not know of the newest daemons yet, and for requests that arrive at the edges
   * of a window.
   */
  private static final double HELD_SLACK = 0.4;

  /**
   * The most that may be sent in advance, in retries: a daemon that has just started gains its
   * first retry only in a second or so.
   */
  private static final double MOST_IN_ADVANCE = 0.5;

  /** The fraction of the share that may be sent in advance, so that all daemons stay within it. */
  private static final double ADVANCED_SLACK = 0.05;

  private final double ratio;
  private final double slack;
  private final long windowNanos;
  private final Deque<Long> requests = new ArrayDeque<>();
  private double tokens;
  private long filledNanos;

  /**
   * Creates an empty budget.
   *
   * @param ratio retries allowed for each request
   * @param slack retries that all daemons together may send in addition
   * @param windowNanos the sliding window in which requests and retries are counted, in nanoseconds
   * @param startedNanos the monotonic time at which the process started, in nanoseconds
   */
  public RetryBudget(double ratio, double slack, long windowNanos, long startedNanos) {
    this.ratio = ratio;
    this.slack = slack;
    this.windowNanos = windowNanos;
    this.filledNanos = startedNanos;
  }

  /**
   * Counts a request, which adds a fraction of a retry.
   *
   * @param daemons the daemons that share the slack, this one included; 0 if not known
   * @param nowNanos the monotonic time, in nanoseconds
   */
  public void recordRequest(int daemons, long nowNanos) {
    requests.addLast(nowNanos);
    tokens += (daemons == 0 ? ADDED_RATIO_ALONE : ADDED_RATIO) * ratio;
    fill(daemons, nowNanos);
  }

  /**
   * Takes one retry from the budget.
   *
   * @param daemons the daemons that share the slack, this one included; 0 if not known
   * @param nowNanos the monotonic time, in nanoseconds
   * @return false when the budget is exhausted; the retry must not be sent then
   */
  public boolean tryTake(int daemons, long nowNanos) {
    double advance = Math.min(MOST_IN_ADVANCE, ADVANCED_SLACK * slackShare(daemons));
    if (left(daemons, nowNanos) + advance < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /**
   * Returns how many retries may be sent now.
   *
   * @param daemons the daemons that share the slack, this one included; 0 if not known
   * @param nowNanos the monotonic time, in nanoseconds
   * @return retries; below 0 by what was sent in advance
   */
  public double left(int daemons, long nowNanos) {
    fill(daemons, nowNanos);
    return tokens;
  }

  /**
   * Returns this daemon's share of the slack, in retries per window; none while it does not know
   * among how many daemons the slack is divided.
   *
   * @param daemons the daemons that share the slack, this one included; 0 if not known
   */
  public double slackShare(int daemons) {
    return daemons == 0 ? 0 : slack / daemons;
  }

  private void fill(int daemons, long nowNanos) {
    while (!requests.isEmpty() && nowNanos - requests.peekFirst() > windowNanos) {
      requests.removeFirst();
    }
    double share = slackShare(daemons);
    if (daemons > 0) {
      addForTime(share, nowNanos);
    }
    double heldRatio = daemons == 0 ? HELD_RATIO_ALONE : HELD_RATIO;
    tokens = Math.min(tokens, HELD_SLACK * share + heldRatio * ratio * requests.size());
  }

  /** The time in which the daemons were not known counts once they are. */
  private void addForTime(double share, long nowNanos) {
    double passedWindows = Math.max(0, nowNanos - filledNanos) / (double) windowNanos;
    filledNanos = Math.max(filledNanos, nowNanos);
    tokens += ADDED_SLACK * share * passedWindows;
  }
}
