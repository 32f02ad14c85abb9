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
 * Decides whether a replica may serve. A replica may serve when, for each of its members, at least
 * one prober has confirmed within the freshness limit that the member is ready.
 *
 * <p>Thread-safe. All times are in nanoseconds of this process's monotonic clock.
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
   * Creates an empty table, with which no replica may serve.
   *
   * @param freshNanos maximum age of a confirmation, nanoseconds
   */
  public static ReadinessTable create(long freshNanos) {
    return new ReadinessTable(freshNanos);
  }

  /**
   * Replaces all reports of a prober. The new reports count only after the prober's next heartbeat.
   *
   * @param prober the prober's name and incarnation
   * @param version the version of the reports
   * @param members the prober's report about each node that answers
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
    List<Entry> remaining = new ArrayList<>();
    for (Entry entry : entries.getOrDefault(node, List.of())) {
      if (entry.source() != source) {
        remaining.add(entry);
      }
    }
    if (member != null) {
      remaining.add(new Entry(source, index, member));
    }
    if (remaining.isEmpty()) {
      entries.remove(node);
    } else {
      entries.put(node, List.copyOf(remaining));
    }
  }

  /**
   * Renews the reports of a prober on a heartbeat.
   *
   * @param prober the prober's name and incarnation
   * @param version the version to renew; the call is ignored unless this is the current version
   * @param evidenceNanos a time before all probes that the reports are based on
   * @param loads running and waiting requests of each reported node, in the order of the reports
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
   * Removes a prober and all its reports.
   *
   * @param prober the prober's name and incarnation
   */
  public synchronized void removeProber(String prober) {
    setReports(prober, -1, List.of());
    probers.remove(prober);
  }

  /**
   * Suspects a node until a later probe confirms it.
   *
   * @param node the node that refused a connection or aborted a response
   * @param nowNanos the current time
   */
  public void suspect(String node, long nowNanos) {
    suspectedAt.merge(node, nowNanos, Math::max);
  }

  /**
   * Sets the nodes that the platform lists as leaving or no longer lists. They are not used.
   *
   * @param nodes the names of the nodes
   */
  public void setExcludedNodes(Set<String> nodes) {
    excludedNodes = Set.copyOf(nodes);
  }

  /**
   * Returns whether a replica may serve.
   *
   * @param nowNanos the current time
   * @return true when the replica is not draining and every member is confirmed as ready
   */
  public boolean mayServe(Replica replica, long nowNanos) {
    return !replica.draining() && missingMember(replica, nowNanos) == null;
  }

  /**
   * Finds the first member that is excluded or not confirmed as ready.
   *
   * @param nowNanos the current time
   * @return the member's name, or null when all members are ready
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
   * Returns the newest fresh report about a node, with the load from the last heartbeat.
   *
   * @param node the node's name
   * @param nowNanos the current time
   * @return the report, with a load of -1 until a heartbeat contains one; nothing without a fresh
   *     report
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
   * Returns whether the node of a plain service may be used.
   *
   * @param node the node's name
   * @param nowNanos the current time
   * @return true when the node has a fresh report that is newer than the last suspicion, and is not
   *     excluded
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
