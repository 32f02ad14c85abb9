package org.fawnvale.core.planning;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.fawnvale.core.model.Bundle;
import org.fawnvale.core.model.DomainState;
import org.fawnvale.core.model.Model;
import org.fawnvale.core.model.NodeReport;
import org.fawnvale.core.model.Replica;

/**
 * Monitors the replicas that a rollout has rebuilt and decides when the rollout has to stop.
 *
 * <p>A rollout stops when a reachable member of such a replica reports FAILED, or when all members
 * are reachable and the replica is not ready within a timeout. An unreachable member does not count
 * as a failure of the new version.
 */
public final class RolloutMonitor {

  private final long readyTimeoutMillis;
  private final Map<Long, Long> unreadySince = new HashMap<>();

  private RolloutMonitor(long readyTimeoutMillis) {
    this.readyTimeoutMillis = readyTimeoutMillis;
  }

  /**
   * Creates a monitor.
   *
   * @param readyTimeoutMillis how long a rebuilt replica may take to be ready, milliseconds
   */
  public static RolloutMonitor create(long readyTimeoutMillis) {
    return new RolloutMonitor(readyTimeoutMillis);
  }

  /**
   * Checks all replicas that run the bundle's versions.
   *
   * @param domains the data centre's domains
   * @param bundle the bundle in force
   * @param nodes the nodes by name
   * @param nowMillis the current time, monotonic clock, milliseconds
   * @return the reason to stop the rollout, or nothing when there is none
   */
  public Optional<String> findFailure(
      Collection<DomainState> domains, Bundle bundle, Map<String, NodeView> nodes, long nowMillis) {
    Set<Long> unready = new HashSet<>();
    for (DomainState domain : domains) {
      for (Replica replica : domain.replicas()) {
        if (!runsBundleVersion(replica, bundle) || replica.draining()) {
          continue;
        }
        Optional<String> failed = failedMember(replica, nodes);
        if (failed.isPresent()) {
          return Optional.of("node " + failed.get() + " failed in replica " + replica.id());
        }
        if (isUnready(replica, nodes)) {
          unready.add(replica.generation());
          long since = unreadySince.computeIfAbsent(replica.generation(), key -> nowMillis);
          if (nowMillis - since > readyTimeoutMillis) {
            return Optional.of("replica " + replica.id() + " did not become ready in time");
          }
        }
      }
    }
    unreadySince.keySet().retainAll(unready);
    return Optional.empty();
  }

  private static boolean runsBundleVersion(Replica replica, Bundle bundle) {
    return bundle
        .model(replica.model())
        .map(Model::fullVersion)
        .filter(replica.version()::equals)
        .isPresent();
  }

  private static Optional<String> failedMember(Replica replica, Map<String, NodeView> nodes) {
    return replica.members().stream()
        .filter(
            name -> {
              NodeView view = nodes.get(name);
              return view != null
                  && view.isAlive()
                  && view.report().state() == NodeReport.State.FAILED
                  && view.report().generation() == replica.generation();
            })
        .findFirst();
  }

  private static boolean isUnready(Replica replica, Map<String, NodeView> nodes) {
    boolean allAlive =
        replica.members().stream()
            .allMatch(name -> nodes.containsKey(name) && nodes.get(name).isAlive());
    boolean allReady =
        allAlive
            && replica.members().stream()
                .allMatch(
                    name ->
                        nodes.get(name).report().state() == NodeReport.State.READY
                            && nodes.get(name).report().generation() == replica.generation());
    return allAlive && !allReady;
  }
}
