package org.fawnvale.serving.core.reach;

import java.util.HashSet;
import java.util.Set;

/**
 * Decides from a daemon's own requests whether it has lost its path to all upstreams. The failure
 * of one upstream says nothing about the path, and a sound upstream may be silent for a second. If
 * several fail and none is heard, the daemon's own path is more likely to have failed than they
 * are. Any sign from any upstream shows that the path works, and from two of them that a lost one
 * is back. Not thread-safe.
 */
public final class UpstreamReach {

  /**
   * Number of upstreams whose failure casts doubt on the path, unless another is heard meanwhile.
   */
  private static final int DOUBTFUL_UPSTREAMS = 2;

  /** Number of upstreams that must have failed before the path counts as lost. */
  private static final int LOST_UPSTREAMS = 3;

  /**
   * Number of upstreams that must be heard before a lost path counts as back: one that is still
   * reached while all others are not would bring it back for a moment, again and again.
   */
  private static final int RETURNED_UPSTREAMS = 2;

  /**
   * How long the path must have been in doubt before it counts as lost, in nanoseconds: a probe of
   * an upstream takes up to 0.3 s to fail. The silence before does not count, since an idle daemon
   * hears nobody.
   */
  private static final long DOUBT_NANOS = 400_000_000L;

  /**
   * Pause between two updates, of which there is one each 25 ms, that shows that this daemon itself
   * stood still, in nanoseconds. What it has not read meanwhile can't tell anything.
   */
  private static final long OWN_DELAY_NANOS = 100_000_000L;

  /**
   * How much later than this daemon another one must have heard an upstream to show that the
   * upstreams don't pause, in nanoseconds: several passes of a group.
   */
  private static final long HEARD_LATER_NANOS = 200_000_000L;

  /**
   * How long all upstreams may be silent over connections that stand before the path counts as
   * lost, in nanoseconds. Sound ones go on before.
   */
  private static final long MAX_PAUSE_NANOS = 3_000_000_000L;

  private final Set<String> failed = new HashSet<>();
  private final Set<String> disconnected = new HashSet<>();
  private final Set<String> heardWhileLost = new HashSet<>();
  private boolean lost;
  private int upstreams;
  private long lastHeardNanos;
  private long heardElsewhereNanos = Long.MIN_VALUE / 2;
  private boolean anyHeard;
  private long doubtSinceNanos;
  private long updatedNanos;

  /**
   * Creates the view of a daemon that has just started, and has not lost any path.
   *
   * @param nowNanos the monotonic time
   */
  public UpstreamReach(long nowNanos) {
    this.lastHeardNanos = nowNanos;
    this.updatedNanos = nowNanos;
  }

  /** What is known about the path. */
  public enum State {
    /** An upstream was heard, or too few have failed to tell. */
    REACHED,
    /** Several upstreams have failed and none was heard since; probes have to tell. */
    DOUBTFUL,
    /**
     * All upstreams that were tried have failed, probes included, and hardly any was heard since.
     */
    LOST
  }

  /**
   * Sets the number of upstreams that are known.
   *
   * @param count their number; with fewer than three, the failure of all of them is a lost path
   */
  public void setUpstreamCount(int count) {
    upstreams = count;
  }

  /**
   * Records a sign of an upstream: a byte of a response.
   *
   * @param nodeId the upstream
   * @param nowNanos the monotonic time
   */
  public void heard(String nodeId, long nowNanos) {
    lastHeardNanos = nowNanos;
    anyHeard = true;
    if (lost && !isBack(nodeId)) {
      return;
    }
    lost = false;
    if (!failed.isEmpty()) {
      failed.clear();
      disconnected.clear();
    }
  }

  private boolean isBack(String nodeId) {
    heardWhileLost.add(nodeId);
    return heardWhileLost.size() >= Math.min(RETURNED_UPSTREAMS, Math.max(1, upstreams));
  }

  /** How an upstream failed. */
  public enum Failure {
    /** There was no connection, or it broke. */
    DISCONNECTED,
    /** The connection stands: no answer in time, or a stream that stands still. */
    SILENT
  }

  /**
   * Records that an upstream failed.
   *
   * @param nodeId the upstream
   * @param failure how it failed
   * @param nowNanos the monotonic time
   */
  public void failed(String nodeId, Failure failure, long nowNanos) {
    boolean sound = !isInDoubt();
    failed.add(nodeId);
    if (failure == Failure.DISCONNECTED) {
      disconnected.add(nodeId);
    }
    if (sound && isInDoubt()) {
      doubtSinceNanos = nowNanos;
    }
  }

  private boolean isInDoubt() {
    return failed.size() >= Math.min(DOUBTFUL_UPSTREAMS, Math.max(1, upstreams));
  }

  /**
   * Updates the state of the path.
   *
   * @param nowNanos the monotonic time
   * @return the state
   */
  public State update(long nowNanos) {
    long sinceUpdate = nowNanos - updatedNanos;
    updatedNanos = nowNanos;
    if (sinceUpdate > OWN_DELAY_NANOS) {
      doubtSinceNanos += sinceUpdate;
    }
    if (lost) {
      return State.LOST;
    }
    if (!isInDoubt()) {
      return State.REACHED;
    }
    boolean probed = nowNanos - doubtSinceNanos >= DOUBT_NANOS;
    lost = probed && isShownLost(nowNanos);
    if (lost) {
      heardWhileLost.clear();
    }
    return lost ? State.LOST : State.DOUBTFUL;
  }

  /** Upstreams that are silent over connections that stand may all pause. */
  private boolean isShownLost(long nowNanos) {
    int enough = Math.min(LOST_UPSTREAMS, Math.max(1, upstreams));
    boolean silentOnly = disconnected.size() < enough;
    boolean mayPause = silentNanos(nowNanos) < MAX_PAUSE_NANOS && !isHeardElsewhere();
    return failed.size() >= enough && !(silentOnly && mayPause);
  }

  /**
   * Sets when another daemon last heard an upstream.
   *
   * @param nanos the monotonic time
   */
  public void setHeardElsewhere(long nanos) {
    heardElsewhereNanos = nanos;
  }

  /**
   * Tells whether another daemon hears upstreams while this one hears none.
   *
   * @return true if it has heard one well after this daemon last did
   */
  public boolean isHeardElsewhere() {
    return heardElsewhereNanos - lastHeardNanos > HEARD_LATER_NANOS;
  }

  /**
   * Returns how many upstreams have failed since one was last heard.
   *
   * @return their number
   */
  public int failedCount() {
    return failed.size();
  }

  /**
   * Returns how many of these had no connection, or a broken one.
   *
   * @return their number
   */
  public int disconnectedCount() {
    return disconnected.size();
  }

  /**
   * Tells whether any upstream has been heard since the start.
   *
   * @return false in a daemon that has just started
   */
  public boolean isAnyHeard() {
    return anyHeard;
  }

  /**
   * Returns how long no upstream has been heard.
   *
   * @param nowNanos the monotonic time
   * @return nanoseconds
   */
  public long silentNanos(long nowNanos) {
    return nowNanos - lastHeardNanos;
  }
}
