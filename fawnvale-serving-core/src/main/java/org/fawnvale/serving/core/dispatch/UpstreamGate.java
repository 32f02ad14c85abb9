package org.fawnvale.serving.core.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.model.NodeResponse;

/**
 * Whether this daemon may send anything to a node, by what the node's own answers asked for. A wish
 * holds for all requests, not for the one whose answer told it, and for one life of the node. What
 * other daemons were asked for is no wish to this one, but for the limits, which bind all together.
 */
public final class UpstreamGate {

  /** The answer to "when may this node be asked again" for one that may be asked now. */
  public static final long NOW = 0;

  /**
   * Bounds what is kept of nodes that are gone, in entries: more than the 10,000 nodes that the
   * system is designed for.
   */
  private static final int MOST_LIVES = 16_384;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final SharedLimits limits;
  private final Map<NodeIncarnation, Long> restEnds = new HashMap<>();
  private final Set<NodeIncarnation> leaving = new LinkedHashSet<>();

  /**
   * Creates a gate.
   *
   * @param limits the limits that nodes name, which bind all daemons together
   */
  public UpstreamGate(SharedLimits limits) {
    this.limits = limits;
  }

  /**
   * The limits that nodes name.
   *
   * @return the limits
   */
  public SharedLimits limits() {
    return limits;
  }

  /** What an answer has brought. */
  public enum Change {
    /** Nothing that was not known. */
    NONE,
    /** The node wants rest, from now on or for longer. */
    PAUSED,
    /** The node has said for the first time that it leaves. */
    LEAVING
  }

  /**
   * Takes in what a node said with an answer.
   *
   * @param life the node's life
   * @param said what it said
   * @param nowNanos the steady time
   * @return what was new
   */
  public Change recordResponse(NodeIncarnation life, NodeResponse said, long nowNanos) {
    boolean rests = said.retryAfterMillis() > 0 && rest(life, said.retryAfterMillis(), nowNanos);
    if (said.leaving() && leaving.add(life)) {
      forgetFirst(leaving);
      return Change.LEAVING;
    }
    return rests ? Change.PAUSED : Change.NONE;
  }

  /** Of two wishes for rest the one that ends later holds. */
  private boolean rest(NodeIncarnation life, long millis, long nowNanos) {
    restEnds.values().removeIf(end -> end - nowNanos <= 0);
    long end = nowNanos + millis * NANOS_PER_MILLI;
    Long before = restEnds.get(life);
    if (before != null && before - end >= 0) {
      return false;
    }
    restEnds.put(life, end);
    forgetFirst(restEnds.keySet());
    return true;
  }

  private static void forgetFirst(Set<NodeIncarnation> lives) {
    if (lives.size() > MOST_LIVES) {
      lives.remove(lives.iterator().next());
    }
  }

  /**
   * Tells whether a caller's request may be sent to a node.
   *
   * @param life the node's life
   * @param nowNanos the steady time
   * @return false while it rests, and once it has said that it leaves
   */
  public boolean acceptsRequests(NodeIncarnation life, long nowNanos) {
    return !isLeaving(life) && !isPaused(life, nowNanos);
  }

  /**
   * Tells whether a node wants nothing at all from this daemon.
   *
   * @param life the node's life
   * @param nowNanos the steady time
   * @return true while it rests
   */
  public boolean isPaused(NodeIncarnation life, long nowNanos) {
    Long end = restEnds.get(life);
    return end != null && end - nowNanos > 0;
  }

  /**
   * Tells whether a node has said in an answer that it leaves.
   *
   * @param life the node's life
   * @return true once it has
   */
  public boolean isLeaving(NodeIncarnation life) {
    return leaving.contains(life);
  }

  /**
   * Counts a caller's request that is about to be written.
   *
   * @param node the node
   * @param nowNanos the steady time
   * @return false when it may not be written: the node rests, leaves, or has no room in its limit
   */
  public boolean tryAcquire(Node node, long nowNanos) {
    return acceptsRequests(node.incarnation(), nowNanos) && limits.tryAcquire(node, nowNanos);
  }

  /**
   * When the first of some nodes may be asked again.
   *
   * @param nodes the nodes
   * @param nowNanos the steady time
   * @return nanoseconds from now until the first rest ends or there is room within a limit; {@link
   *     #NOW} when none of them rests or names a limit
   */
  public long nanosUntilAvailable(Collection<Node> nodes, long nowNanos) {
    return nodes.stream()
        .filter(node -> !isLeaving(node.incarnation()))
        .mapToLong(node -> nanosToEnd(node, nowNanos))
        .filter(nanos -> nanos != NOW)
        .min()
        .orElse(NOW);
  }

  private long nanosToEnd(Node node, long nowNanos) {
    long rest =
        isPaused(node.incarnation(), nowNanos) ? restEnds.get(node.incarnation()) - nowNanos : NOW;
    return Math.max(rest, limits.nanosUntilAvailable(node, nowNanos));
  }

  /**
   * How many nodes rest.
   *
   * @param nowNanos the steady time
   * @return their number
   */
  public long pausedCount(long nowNanos) {
    return restEnds.values().stream().filter(end -> end - nowNanos > 0).count();
  }

  /**
   * How many lives have said that they leave, as far as they are remembered.
   *
   * @return their number
   */
  public int leavingCount() {
    return leaving.size();
  }
}
