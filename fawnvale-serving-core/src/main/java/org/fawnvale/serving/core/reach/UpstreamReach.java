package org.fawnvale.serving.core.reach;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.peer.PathReport;

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
   * How long after a probe was sent another daemon must have heard the upstream, in nanoseconds:
   * longer than the probe takes to arrive.
   */
  private static final long ARRIVAL_NANOS = 50_000_000L;

  /** How long an upstream that has refused a connection may be heard by another daemon. */
  private static final long REFUSAL_NANOS = 1_000_000_000L;

  private static final long HEARD_WITHIN_NANOS = PathReport.HEARD_MILLIS * 1_000_000L;

  private final Set<String> failed = new HashSet<>();
  private final Set<String> disconnected = new HashSet<>();
  private final Set<String> heardWhileLost = new HashSet<>();
  private final Map<String, Unanswered> unanswered = new HashMap<>();
  private Map<String, Long> heardElsewhere = Map.of();
  private boolean lost;
  private int upstreams;
  private long lastHeardNanos;
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
    if (lost && !isBack(nodeId)) {
      return;
    }
    lost = false;
    if (!failed.isEmpty()) {
      failed.clear();
      disconnected.clear();
      unanswered.clear();
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
    long silentSinceNanos = Math.max(lastHeardNanos, doubtSinceNanos);
    boolean mayPause =
        nowNanos - silentSinceNanos < SilenceEvidence.MAX_PAUSE_NANOS && !isHeardElsewhere();
    return failed.size() >= enough && !(silentOnly && mayPause);
  }

  /**
   * Records that a probe of an upstream has failed.
   *
   * @param nodeId the upstream
   * @param failure how it failed
   * @param sentNanos when the probe was sent, on the monotonic clock
   * @param nowNanos the monotonic time
   */
  public void probeFailed(String nodeId, Failure failure, long sentNanos, long nowNanos) {
    failed(nodeId, failure, nowNanos);
    boolean refused = failure == Failure.DISCONNECTED && nowNanos - sentNanos < ARRIVAL_NANOS;
    unanswered.put(
        nodeId, new Unanswered(sentNanos, refused ? nowNanos + REFUSAL_NANOS : nowNanos));
  }

  /** A probe without an answer, and the time until which the upstream owed one. */
  private record Unanswered(long sentNanos, long untilNanos) {

    /** Tells whether the upstream was heard by another daemon while it owed an answer. */
    boolean overlaps(long earliestNanos) {
      long latestNanos = earliestNanos + HEARD_WITHIN_NANOS;
      return earliestNanos > sentNanos + ARRIVAL_NANOS && latestNanos <= untilNanos;
    }
  }

  /**
   * Sets which upstreams other daemons have heard.
   *
   * @param nanosByNode for each node id the monotonic time at which, or up to {@link
   *     PathReport#HEARD_MILLIS} after which, it was heard
   */
  public void setHeardElsewhere(Map<String, Long> nanosByNode) {
    heardElsewhere = nanosByNode;
  }

  /**
   * Tells whether another daemon has heard an upstream while that owed this one an answer. Then it
   * does not pause, and this daemon's path has failed.
   *
   * @return false also if it isn't known
   */
  public boolean isHeardElsewhere() {
    for (Map.Entry<String, Unanswered> probe : unanswered.entrySet()) {
      Long heard = heardElsewhere.get(probe.getKey());
      if (heard != null && probe.getValue().overlaps(heard)) {
        return true;
      }
    }
    return false;
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
   * Returns how long no upstream has been heard.
   *
   * @param nowNanos the monotonic time
   * @return nanoseconds
   */
  public long silentNanos(long nowNanos) {
    return nowNanos - lastHeardNanos;
  }
}
