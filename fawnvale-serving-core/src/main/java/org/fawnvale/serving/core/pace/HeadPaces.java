package org.fawnvale.serving.core.pace;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.Node;

/**
 * The pace of heads as all daemons observe it: the slower of this daemon's observation and the
 * peers'. Not thread-safe.
 */
public final class HeadPaces implements PaceView {

  /** The pace from which heads are reported to other daemons. */
  private static final double REPORTED_PACE = 1.5;

  /**
   * How long after a head has begun to serve a new group peers' paces of it are ignored: they may
   * still describe its previous group. Messages arrive after up to 600 ms.
   */
  private static final long STALE_REPORTS_NANOS = 800_000_000L;

  private final StreamPace observed = new StreamPace();
  private final Map<String, Group> groups = new HashMap<>();
  private Map<String, Double> own = Map.of();
  private Map<String, Double> merged = Map.of();

  private record Group(long epoch, long ignorePeersUntilNanos) {}

  /**
   * Records an event of a stream, as in {@link StreamPace#recordEvent}.
   *
   * @param head the head that sent it, with the group that the request was sent to
   */
  public void recordEvent(Node head, long pauseNanos, double passMillis, long now) {
    Group group = groups.get(head.id());
    if (group != null && group.epoch() == epoch(head)) {
      observed.recordEvent(head.id(), pauseNanos, passMillis, now);
    }
  }

  /**
   * Replaces the upstreams that serve. What was observed of a head's previous group is discarded.
   *
   * @param heads the heads; other upstreams have no events and are not observed
   * @param now the monotonic time, in nanoseconds
   */
  public void setHeads(Collection<Node> heads, long now) {
    Set<String> present = new HashSet<>();
    for (Node head : heads) {
      present.add(head.id());
      Group before = groups.get(head.id());
      if (before == null || before.epoch() != epoch(head)) {
        observed.forget(head.id());
        long until = before == null ? now : now + STALE_REPORTS_NANOS;
        groups.put(head.id(), new Group(epoch(head), until));
      }
    }
    groups.keySet().retainAll(present);
  }

  /**
   * Updates the paces.
   *
   * @param peers the paces that other daemons report, by head id
   * @param now the monotonic time, in nanoseconds
   */
  public void update(Map<String, Double> peers, long now) {
    own = observed.paces(now);
    if (peers.isEmpty()) {
      merged = own;
      return;
    }
    Map<String, Double> all = new HashMap<>(own);
    peers.forEach(
        (id, pace) -> {
          Group group = groups.get(id);
          if (group != null && now - group.ignorePeersUntilNanos() >= 0) {
            all.merge(id, pace, Math::max);
          }
        });
    merged = all;
  }

  /**
   * Returns the paces to report to other daemons.
   *
   * @return this daemon's observations of at least 1.5, by head id
   */
  public Map<String, Double> reported() {
    Map<String, Double> reported = new HashMap<>(own);
    reported.values().removeIf(pace -> pace < REPORTED_PACE);
    return reported;
  }

  /** Returns the ids of the slow heads. */
  public Set<String> slowHeads() {
    if (slowest() < SLOW) {
      return Set.of();
    }
    Set<String> slow = new HashSet<>();
    merged.forEach(
        (id, pace) -> {
          if (pace >= SLOW) {
            slow.add(id);
          }
        });
    return slow;
  }

  /** Returns the largest pace of any head; 1 when none is known. */
  public double slowest() {
    double slowest = 1;
    for (double pace : merged.values()) {
      slowest = Math.max(slowest, pace);
    }
    return slowest;
  }

  @Override
  public double of(String nodeId) {
    return merged.getOrDefault(nodeId, 1.0);
  }

  private static long epoch(Node head) {
    Membership membership = head.membership();
    return membership == null ? 0 : membership.epoch();
  }
}
