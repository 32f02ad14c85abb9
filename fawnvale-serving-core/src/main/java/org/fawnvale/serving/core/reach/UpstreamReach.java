package org.fawnvale.serving.core.reach;

import java.util.HashSet;
import java.util.Set;

/**
 * Decides from a daemon's own requests whether it has lost its path to all upstreams. The failure
 * of one upstream says nothing about the path, and a sound upstream may be silent for a second. If
 * several fail and none is heard, the daemon's own path is more likely to have failed than they
 * are. Any sign from any upstream shows that the path works. Not thread-safe.
 */
public final class UpstreamReach {

  /**
   * Number of upstreams whose failure casts doubt on the path, unless another is heard meanwhile.
   */
  private static final int DOUBTFUL_UPSTREAMS = 2;

  /** Number of upstreams that must have failed before the path counts as lost. */
  private static final int LOST_UPSTREAMS = 3;

  /**
   * How long the path must have been in doubt before it counts as lost, in nanoseconds: a probe of
   * an upstream takes up to 0.3 s to fail. The silence before does not count, since an idle daemon
   * hears nobody.
   */
  private static final long DOUBT_NANOS = 400_000_000L;

  private final Set<String> failed = new HashSet<>();
  private int upstreams;
  private long lastHeardNanos;
  private long doubtSinceNanos;

  /**
   * Creates the view of a daemon that has just started, and has not lost any path.
   *
   * @param nowNanos the monotonic time
   */
  public UpstreamReach(long nowNanos) {
    this.lastHeardNanos = nowNanos;
  }

  /** What is known about the path. */
  public enum State {
    /** An upstream was heard, or too few have failed to tell. */
    REACHED,
    /** Several upstreams have failed and none was heard since; probes have to tell. */
    DOUBTFUL,
    /** All upstreams that were tried have failed, probes included. */
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
   * Records a sign of any upstream: a byte of a response.
   *
   * @param nowNanos the monotonic time
   */
  public void heard(long nowNanos) {
    lastHeardNanos = nowNanos;
    if (!failed.isEmpty()) {
      failed.clear();
    }
  }

  /**
   * Records that an upstream failed: no connection, a broken one, no answer in time, or a stream
   * that stands still.
   *
   * @param nodeId the upstream
   * @param nowNanos the monotonic time
   */
  public void failed(String nodeId, long nowNanos) {
    boolean sound = !isInDoubt();
    failed.add(nodeId);
    if (sound && isInDoubt()) {
      doubtSinceNanos = nowNanos;
    }
  }

  private boolean isInDoubt() {
    return failed.size() >= Math.min(DOUBTFUL_UPSTREAMS, Math.max(1, upstreams));
  }

  /**
   * Returns the state of the path.
   *
   * @param nowNanos the monotonic time
   * @return the state
   */
  public State state(long nowNanos) {
    if (!isInDoubt()) {
      return State.REACHED;
    }
    boolean enough = failed.size() >= Math.min(LOST_UPSTREAMS, Math.max(1, upstreams));
    boolean probed = nowNanos - doubtSinceNanos >= DOUBT_NANOS;
    return enough && probed ? State.LOST : State.DOUBTFUL;
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
   * Returns how long no upstream has been heard.
   *
   * @param nowNanos the monotonic time
   * @return nanoseconds
   */
  public long silentNanos(long nowNanos) {
    return nowNanos - lastHeardNanos;
  }
}
