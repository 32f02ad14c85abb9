package org.fawnvale.serving.core.pace;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;

/**
 * The pace of single nodes by their own reports, as the leader knows it. A node whose reports are
 * missing counts as normal after a while. Not thread-safe.
 */
public final class NodePaces implements PaceView {

  /** How long a report counts; three report intervals, so that two reports may be lost. */
  private static final long EXPIRY_NANOS = 3_000_000_000L;

  /** How long a node must report a slow pace before groups are dissolved for it. */
  private static final long STEADY_NANOS = 1_000_000_000L;

  /** The interval of requests for the pace of a node. */
  private static final long INTERVAL_NANOS = 1_000_000_000L;

  /**
   * How long after the return of a node to normal pace others may return, too, whose reports are
   * still awaited.
   */
  private static final long RETURN_NANOS = 1_500_000_000L;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private final Map<NodeIncarnation, Entry> entries = new HashMap<>();
  private final Map<String, Entry> known = new HashMap<>();
  private long now;

  private static final class Entry {
    double pace = 1;
    long askedNanos = NEVER;
    long answeredNanos = NEVER;
    long slowSinceNanos = NEVER;
    long returnedNanos = NEVER;
  }

  /**
   * Sets the time, and discards what is known of nodes and incarnations that are not listed.
   *
   * @param nodes the listed nodes
   * @param nowNanos the monotonic time
   */
  public void update(Collection<Node> nodes, long nowNanos) {
    now = nowNanos;
    known.clear();
    if (entries.isEmpty()) {
      return;
    }
    Set<NodeIncarnation> listed = new HashSet<>();
    for (Node node : nodes) {
      listed.add(node.life());
      Entry entry = entries.get(node.life());
      if (entry != null && now - entry.answeredNanos <= EXPIRY_NANOS) {
        known.put(node.id(), entry);
      }
    }
    entries.keySet().retainAll(listed);
  }

  /**
   * Tells whether a node's report is to be requested.
   *
   * @return true when the last request is long enough ago
   */
  public boolean isDue(Node node) {
    Entry entry = entries.get(node.life());
    return entry == null || now - entry.askedNanos >= INTERVAL_NANOS;
  }

  /** Records that a node's report was requested. */
  public void recordRequest(Node node) {
    entry(node).askedNanos = now;
  }

  /**
   * Records a node's report.
   *
   * @param pace its pace, as in {@link PaceView#of}
   * @param nowNanos the monotonic time
   */
  public void recordReport(Node node, double pace, long nowNanos) {
    Entry entry = entry(node);
    boolean continues = nowNanos - entry.answeredNanos <= EXPIRY_NANOS && entry.pace >= SLOW;
    if (pace >= SLOW && !continues) {
      entry.slowSinceNanos = nowNanos;
    }
    if (pace < SLOW && continues) {
      entry.returnedNanos = nowNanos;
    }
    entry.pace = pace;
    entry.answeredNanos = nowNanos;
  }

  private Entry entry(Node node) {
    return entries.computeIfAbsent(node.life(), life -> new Entry());
  }

  @Override
  public double of(String nodeId) {
    Entry entry = known.get(nodeId);
    return entry == null ? 1 : entry.pace;
  }

  /** Tells whether a node has been slow for at least a second, so that groups may change for it. */
  public boolean isSteadilySlow(String nodeId) {
    Entry entry = known.get(nodeId);
    return entry != null
        && entry.pace >= SLOW
        && entry.answeredNanos - entry.slowSinceNanos >= STEADY_NANOS;
  }

  /** Tells whether a node has returned to normal pace within the last one and a half seconds. */
  public boolean hasJustReturned(String nodeId) {
    Entry entry = known.get(nodeId);
    return entry != null && now - entry.returnedNanos < RETURN_NANOS;
  }

  /** Returns how many nodes are known to be slow. */
  public int slowCount() {
    int count = 0;
    for (Entry entry : known.values()) {
      count += entry.pace >= SLOW ? 1 : 0;
    }
    return count;
  }
}
