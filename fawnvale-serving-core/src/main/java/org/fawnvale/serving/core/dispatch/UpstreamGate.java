package org.fawnvale.serving.core.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.evacuation.Evacuations;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.model.NodeResponse;

/**
 * Decides whether this daemon may send anything to a node, by the signals in the node's own
 * responses: a Retry-After pause, an announcement that it is leaving, and its advertised limit. A
 * signal applies to all requests, not only to the one whose response carried it, and to one
 * incarnation of the node. Signals that other daemons received do not bind this one, except for
 * limits, which all daemons share. Nodes of evacuated data centres get no caller's request,
 * whatever they signal. Not thread-safe.
 */
public final class UpstreamGate {

  /** The result of {@link #nanosUntilAvailable} when there is nothing to wait for. */
  public static final long NOW = 0;

  /**
   * Bounds the incarnations that are remembered after their nodes are gone. It exceeds the 10,000
   * nodes that the system is designed for.
   */
  private static final int MAX_INCARNATIONS = 16_384;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final SharedLimits limits;
  private final Evacuations evacuations;
  private final Map<NodeIncarnation, Long> pauseEnds = new HashMap<>();
  private final Set<NodeIncarnation> leaving = new LinkedHashSet<>();

  /**
   * Creates the gate of a platform without evacuations.
   *
   * @param limits the limits that nodes advertise, shared by all daemons
   */
  public UpstreamGate(SharedLimits limits) {
    this(limits, Evacuations.disabled());
  }

  /**
   * Creates a gate.
   *
   * @param limits the limits that nodes advertise, shared by all daemons
   * @param evacuations the evacuated data centres
   */
  public UpstreamGate(SharedLimits limits, Evacuations evacuations) {
    this.limits = limits;
    this.evacuations = evacuations;
  }

  /** Returns the limits that nodes advertise. */
  public SharedLimits limits() {
    return limits;
  }

  /** Returns the evacuated data centres. */
  public Evacuations evacuations() {
    return evacuations;
  }

  /** What a response changed in the state of the gate. */
  public enum Change {
    /** The response carried nothing that was not known. */
    NONE,
    /** The node asked for a Retry-After pause that ends later than the known one. */
    PAUSED,
    /** The node announced for the first time that it is leaving. */
    LEAVING
  }

  /**
   * Records the signals of a response.
   *
   * @param incarnation the node that responded
   * @param response the signals of its response
   * @param nowNanos the monotonic time, in nanoseconds
   * @return what changed
   */
  public Change recordResponse(NodeIncarnation incarnation, NodeResponse response, long nowNanos) {
    boolean paused =
        response.retryAfterMillis() > 0
            && pause(incarnation, response.retryAfterMillis(), nowNanos);
    if (response.leaving() && leaving.add(incarnation)) {
      evictFirst(leaving);
      return Change.LEAVING;
    }
    return paused ? Change.PAUSED : Change.NONE;
  }

  /** Starts or extends a pause. Of two pauses the one that ends later applies. */
  private boolean pause(NodeIncarnation incarnation, long millis, long nowNanos) {
    pauseEnds.values().removeIf(end -> end - nowNanos <= 0);
    long end = nowNanos + millis * NANOS_PER_MILLI;
    Long before = pauseEnds.get(incarnation);
    if (before != null && before - end >= 0) {
      return false;
    }
    pauseEnds.put(incarnation, end);
    evictFirst(pauseEnds.keySet());
    return true;
  }

  private static void evictFirst(Set<NodeIncarnation> incarnations) {
    if (incarnations.size() > MAX_INCARNATIONS) {
      incarnations.remove(incarnations.iterator().next());
    }
  }

  /**
   * Tells whether a caller's request may be sent to a node.
   *
   * @param incarnation the node
   * @param nowNanos the monotonic time, in nanoseconds
   * @return false during a Retry-After pause, and once the node has announced that it is leaving
   */
  public boolean acceptsRequests(NodeIncarnation incarnation, long nowNanos) {
    return !isLeaving(incarnation) && !isPaused(incarnation, nowNanos);
  }

  /**
   * Tells whether a node is within a Retry-After pause. This daemon sends it nothing then, not even
   * messages of its own.
   *
   * @param incarnation the node
   * @param nowNanos the monotonic time, in nanoseconds
   * @return true during the pause
   */
  public boolean isPaused(NodeIncarnation incarnation, long nowNanos) {
    Long end = pauseEnds.get(incarnation);
    return end != null && end - nowNanos > 0;
  }

  /**
   * Tells whether a node has announced in a response that it is leaving.
   *
   * @param incarnation the node
   * @return true once it has
   */
  public boolean isLeaving(NodeIncarnation incarnation) {
    return leaving.contains(incarnation);
  }

  /**
   * Checks a caller's request just before it is written and counts it against the node's limit.
   *
   * @param nowNanos the monotonic time, in nanoseconds
   * @return false when the request must not be written: the node's data centre is evacuated, or the
   *     node is paused, is leaving, or has no room within its limit
   */
  public boolean tryAcquire(Node node, long nowNanos) {
    return !evacuations.isEvacuated(node.dataCentre())
        && acceptsRequests(node.life(), nowNanos)
        && limits.tryAcquire(node, nowNanos);
  }

  /**
   * Returns when the first of some nodes accepts requests again.
   *
   * @param nowNanos the monotonic time, in nanoseconds
   * @return nanoseconds from now until the first pause ends or there is room within a limit; {@link
   *     #NOW} when no node is paused or at its limit
   */
  public long nanosUntilAvailable(Collection<Node> nodes, long nowNanos) {
    return nodes.stream()
        .filter(node -> !isLeaving(node.life()))
        .mapToLong(node -> nanosUntilAvailable(node, nowNanos))
        .filter(nanos -> nanos != NOW)
        .min()
        .orElse(NOW);
  }

  private long nanosUntilAvailable(Node node, long nowNanos) {
    long pause = isPaused(node.life(), nowNanos) ? pauseEnds.get(node.life()) - nowNanos : NOW;
    return Math.max(pause, limits.nanosUntilAvailable(node, nowNanos));
  }

  /**
   * Returns how many nodes are within a Retry-After pause.
   *
   * @param nowNanos the monotonic time, in nanoseconds
   * @return their number
   */
  public long pausedCount(long nowNanos) {
    return pauseEnds.values().stream().filter(end -> end - nowNanos > 0).count();
  }

  /**
   * Returns how many incarnations have announced that they are leaving, as far as they are
   * remembered.
   *
   * @return their number
   */
  public int leavingCount() {
    return leaving.size();
  }
}
