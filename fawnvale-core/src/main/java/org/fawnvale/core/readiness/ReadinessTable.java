package org.fawnvale.core.readiness;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.fawnvale.core.model.NodeReport;
import org.fawnvale.core.model.Replica;
import org.jspecify.annotations.Nullable;

/**
 * Says whether a replica may serve: every member must be vouched for, by at least one prober, with
 * evidence that is young enough by this process's own clock.
 *
 * <p>Safe for use by many threads. All moments are this process's monotonic clock in nanoseconds.
 */
public final class ReadinessTable {

  private final long freshNanos;
  private final Map<String, Prober> probers = new ConcurrentHashMap<>();
  private final Map<String, List<Entry>> entries = new ConcurrentHashMap<>();
  private final Map<String, Long> suspectedAt = new ConcurrentHashMap<>();
  private volatile Set<String> excludedNodes = Set.of();

  private ReadinessTable(long freshNanos) {
    this.freshNanos = freshNanos;
  }

  /**
   * Creates an empty table.
   *
   * @param freshNanos how old evidence may be, nanoseconds
   * @return the table, by which no replica may serve yet
   */
  public static ReadinessTable create(long freshNanos) {
    return new ReadinessTable(freshNanos);
  }

  /**
   * Takes a prober's vouches in place of its earlier ones; they count from its next beat on.
   *
   * @param prober the prober's name and incarnation
   * @param version the version of the vouches
   * @param members what it found at each node that answers
   */
  public synchronized void setReports(String prober, long version, List<NodeReport> members) {
    Prober source = probers.computeIfAbsent(prober, name -> new Prober());
    Set<String> nodes = new HashSet<>(source.nodes);
    Map<String, NodeReport> byNode = new HashMap<>();
    Map<String, Integer> positions = new HashMap<>();
    for (NodeReport member : members) {
      positions.put(member.node(), positions.size());
      byNode.put(member.node(), member);
    }
    nodes.addAll(byNode.keySet());
    source.evidenceNanos = Long.MIN_VALUE;
    source.loads = new int[0];
    source.version = version;
    source.nodes = Set.copyOf(byNode.keySet());
    for (String node : nodes) {
      replace(node, source, positions.getOrDefault(node, 0), byNode.get(node));
    }
  }

  private void replace(String node, Prober source, int index, @Nullable NodeReport member) {
    List<Entry> kept = new ArrayList<>();
    for (Entry entry : entries.getOrDefault(node, List.of())) {
      if (entry.source() != source) {
        kept.add(entry);
      }
    }
    if (member != null) {
      kept.add(new Entry(source, index, member));
    }
    if (kept.isEmpty()) {
      entries.remove(node);
    } else {
      entries.put(node, List.copyOf(kept));
    }
  }

  /**
   * Renews a prober's vouches.
   *
   * @param prober the prober's name and incarnation
   * @param version the version that it renews; another than the last one taken is ignored
   * @param evidenceNanos a moment that is older than all probes behind the vouches
   * @param loads running and waiting requests of each vouched node, in the order of the vouches
   */
  public synchronized void renewReports(
      String prober, long version, long evidenceNanos, int[] loads) {
    Prober source = probers.get(prober);
    if (source != null && source.version == version) {
      source.evidenceNanos = Math.max(source.evidenceNanos, evidenceNanos);
      source.loads = loads.clone();
    }
  }

  /**
   * Forgets a prober and all it vouched for.
   *
   * @param prober the prober's name and incarnation
   */
  public synchronized void removeProber(String prober) {
    setReports(prober, -1, List.of());
    probers.remove(prober);
  }

  /**
   * Distrusts a node until evidence that is younger than now.
   *
   * @param node the node that refused a connection or broke an answer off
   * @param nowNanos now
   */
  public void suspect(String node, long nowNanos) {
    suspectedAt.merge(node, nowNanos, Math::max);
  }

  /**
   * Sets the nodes that the platform lists as leaving or no longer lists.
   *
   * @param nodes their names
   */
  public void setExcludedNodes(Set<String> nodes) {
    excludedNodes = Set.copyOf(nodes);
  }

  /**
   * Tells whether a replica may serve.
   *
   * @param replica the replica
   * @param nowNanos now
   * @return true when every member is vouched for
   */
  public boolean mayServe(Replica replica, long nowNanos) {
    return !replica.draining() && missingMember(replica, nowNanos) == null;
  }

  /**
   * Finds the first member that keeps a replica from serving.
   *
   * @param replica the replica
   * @param nowNanos now
   * @return the member's name, or null when none is missing
   */
  public @Nullable String missingMember(Replica replica, long nowNanos) {
    Set<String> excluded = excludedNodes;
    for (String node : replica.members()) {
      if (excluded.contains(node) || !isConfirmedReady(node, replica, nowNanos)) {
        return node;
      }
    }
    return null;
  }

  /**
   * The newest fresh report of a node, with the load of the last beat that renewed it.
   *
   * @param node the node's name
   * @param nowNanos now
   * @return the report; its load is -1 until a beat has told it; nothing when no report is fresh
   */
  public Optional<NodeReport> report(String node, long nowNanos) {
    Entry newest = null;
    for (Entry entry : entries.getOrDefault(node, List.of())) {
      long evidence = entry.source().evidenceNanos;
      boolean fresh = evidence != Long.MIN_VALUE && nowNanos - evidence <= freshNanos;
      if (fresh && (newest == null || evidence > newest.source().evidenceNanos)) {
        newest = entry;
      }
    }
    return Optional.ofNullable(newest).map(Entry::withLoad);
  }

  /**
   * Tells whether a plain service's node may be used.
   *
   * @param node the node's name
   * @param nowNanos now
   * @return true when a prober has seen it lately and nothing speaks against it
   */
  public boolean isAlive(String node, long nowNanos) {
    if (excludedNodes.contains(node)) {
      return false;
    }
    long suspected = suspectedAt.getOrDefault(node, Long.MIN_VALUE);
    for (Entry entry : entries.getOrDefault(node, List.of())) {
      long evidence = entry.source().evidenceNanos;
      boolean fresh = evidence != Long.MIN_VALUE && nowNanos - evidence <= freshNanos;
      if (fresh && evidence > suspected) {
        return true;
      }
    }
    return false;
  }

  private boolean isConfirmedReady(String node, Replica replica, long nowNanos) {
    long suspected = suspectedAt.getOrDefault(node, Long.MIN_VALUE);
    for (Entry entry : entries.getOrDefault(node, List.of())) {
      long evidence = entry.source().evidenceNanos;
      boolean fresh = evidence != Long.MIN_VALUE && nowNanos - evidence <= freshNanos;
      if (fresh && evidence > suspected && matches(entry.member(), replica)) {
        return true;
      }
    }
    return false;
  }

  private static boolean matches(NodeReport member, Replica replica) {
    return member.state() == NodeReport.State.READY
        && member.generation() == replica.generation()
        && replica.id().equals(member.replica())
        && replica.version().equals(member.version());
  }

  private record Entry(Prober source, int index, NodeReport member) {

    NodeReport withLoad() {
      int[] loads = source.loads;
      return member.withLoad(index < loads.length ? loads[index] : -1);
    }
  }

  private static final class Prober {
    private volatile long evidenceNanos = Long.MIN_VALUE;
    private volatile int[] loads = new int[0];
    private long version = -1;
    private Set<String> nodes = Set.of();
  }
}
