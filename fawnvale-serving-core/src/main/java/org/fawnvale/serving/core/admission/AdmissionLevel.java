package org.fawnvale.serving.core.admission;

import java.util.Arrays;
import java.util.List;

/**
 * Decides which share of the requests of each urgency the groups of one model serve in time. The
 * most urgent work is admitted first; at the urgency where the time of the groups is used up, a
 * share is admitted, and of less urgent requests nothing. Not thread-safe.
 */
public final class AdmissionLevel {

  /** The level at which requests of all urgencies are admitted. */
  public static final double ALL = OfferedByUrgency.URGENCIES;

  /**
   * The share of the groups' time that is given to admitted requests at {@link #USUAL_LOAD}. With
   * more, queues grow at single heads, since daemons know the load of heads late.
   */
  private static final double USABLE_SHARE = 0.9;

  /** The requests in flight relative to slots at which requests are still answered in time. */
  private static final double USUAL_LOAD = 0.8;

  /**
   * How much more time of the groups is given away per unit of load below the usual one, and less
   * above it, so that requests that were admitted before a burst was seen are worked off. Loads are
   * known half a second late; with a factor of 1.5 and more the level oscillates.
   */
  private static final double LOAD_FACTOR = 1;

  /** The least share of the groups' time that is given away, however full they are. */
  private static final double MIN_USABLE_SHARE = 0.02;

  /**
   * A change of the offered work by this share of the groups' time begins or ends a burst. Smaller
   * changes are mostly noise: sums of 100 requests of unlike sizes vary by a seventh.
   */
  private static final double BURST_CHANGE = 0.25;

  /** A burst is followed until the level differs by less than this share of the groups' time. */
  private static final double FOLLOWED_CHANGE = 0.05;

  /** The time constant with which the level follows a burst, in nanoseconds. */
  private static final double BURST_NANOS = 1e8;

  /** The time constant with which the level follows a steady load, in nanoseconds. */
  private static final double STEADY_NANOS = 3e9;

  private final double[] offered = new double[OfferedByUrgency.URGENCIES];
  private final double[] shares = new double[OfferedByUrgency.URGENCIES];
  private long updatedNanos;
  private boolean known;
  private boolean following;

  /** Creates a level that admits everything. */
  public AdmissionLevel() {
    Arrays.fill(shares, 1);
  }

  /**
   * Computes the level anew.
   *
   * @param offeredGroups the load of all callers: entry {@code i} is the number of groups that
   *     first attempts of urgency {@code i} would keep busy
   * @param capacity the groups that serve the model
   * @param nowNanos the monotonic time, in nanoseconds
   */
  public void update(List<Double> offeredGroups, Capacity capacity, long nowNanos) {
    double[] newest = new double[OfferedByUrgency.URGENCIES];
    for (int urgency = 0; urgency < newest.length && urgency < offeredGroups.size(); urgency++) {
      newest[urgency] = offeredGroups.get(urgency);
    }
    smooth(newest, capacity.groups(), nowNanos);
    double usable =
        Math.max(MIN_USABLE_SHARE, USABLE_SHARE + LOAD_FACTOR * (USUAL_LOAD - capacity.load()));
    double remaining =
        capacity.groups() > 0 ? capacity.groups() * usable : Double.POSITIVE_INFINITY;
    for (int urgency = 0; urgency < offered.length; urgency++) {
      double wanted = offered[urgency];
      if (remaining <= 0) {
        shares[urgency] = 0;
      } else {
        shares[urgency] = wanted <= remaining ? 1 : remaining / wanted;
      }
      remaining -= wanted;
    }
  }

  /**
   * The groups that serve a model.
   *
   * @param groups their number, each divided by its pace; with 0 everything is admitted, since the
   *     dispatcher refuses requests that have no group
   * @param load their requests in flight relative to their slots
   */
  public record Capacity(double groups, double load) {}

  /** Follows a burst within a few hundred milliseconds, and a steady load slowly. */
  private void smooth(double[] newest, double groups, long nowNanos) {
    double change = 0;
    for (int urgency = 0; urgency < newest.length; urgency++) {
      change = Math.max(change, Math.abs(newest[urgency] - offered[urgency]));
    }
    following = change > (following ? FOLLOWED_CHANGE : BURST_CHANGE) * groups;
    double constant = following ? BURST_NANOS : STEADY_NANOS;
    double weight = known ? 1 - Math.exp((updatedNanos - nowNanos) / constant) : 1;
    for (int urgency = 0; urgency < newest.length; urgency++) {
      offered[urgency] += weight * (newest[urgency] - offered[urgency]);
    }
    updatedNanos = nowNanos;
    known = true;
  }

  /**
   * Returns the share of the requests of an urgency that are admitted.
   *
   * @param urgency 0, the most urgent, to 9
   * @return 0 to 1
   */
  public double share(int urgency) {
    return shares[urgency];
  }

  /**
   * Returns the level.
   *
   * @return the first urgency that is not admitted whole, and the admitted share of it; {@link
   *     #ALL} if everything is admitted
   */
  public double level() {
    for (int urgency = 0; urgency < shares.length; urgency++) {
      if (shares[urgency] < 1) {
        return urgency + shares[urgency];
      }
    }
    return ALL;
  }

  /**
   * Tells whether any request is refused.
   *
   * @return true while not all urgencies are admitted whole
   */
  public boolean isCutting() {
    return level() < ALL;
  }
}
