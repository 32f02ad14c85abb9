package org.fawnvale.daemon.operate;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;
import org.fawnvale.core.model.DomainState;
import org.fawnvale.core.model.Node;
import org.fawnvale.core.model.Replica;
import org.fawnvale.core.readiness.ReadinessTable;
import org.fawnvale.daemon.Context;
import org.fawnvale.daemon.coordinate.LeaseService;
import org.fawnvale.daemon.coordinate.Progress;
import org.fawnvale.daemon.evidence.EvidenceService;
import org.fawnvale.daemon.state.FleetState;
import org.fawnvale.daemon.state.FleetView;
import org.fawnvale.daemon.state.StateService;

/** Builds the operators' status and counts the downtime of replicas. */
public final class StatusReporter {

  private static final long STALE_MILLIS = 10_000;

  private final Context context;
  private final FleetState state;
  private final StateService stateService;
  private final LeaseService lease;
  private final ReadinessTable table;
  private final EvidenceService evidence;
  private final Supplier<List<String>> linked;
  private final LongAdder downtimeSeconds = new LongAdder();

  /**
   * Creates the reporter.
   *
   * @param context the daemon's settings, identity, clocks and executors
   * @param state this daemon's copy of the shared objects
   * @param stateService supplies the age of that copy
   * @param lease the lease of the data centre's coordinator
   * @param table the latest reports on the nodes
   * @param evidence supplies the live daemons
   * @param linked supplies the data centres to which this daemon has links
   */
  public StatusReporter(
      Context context,
      FleetState state,
      StateService stateService,
      LeaseService lease,
      ReadinessTable table,
      EvidenceService evidence,
      Supplier<List<String>> linked) {
    this.context = context;
    this.state = state;
    this.stateService = stateService;
    this.lease = lease;
    this.table = table;
    this.evidence = evidence;
    this.linked = linked;
  }

  /** Returns the current status. */
  public Status status() {
    FleetView view = state.view();
    long age = stateService.ageMillis();
    return new Status(
        context.identity().daemon(),
        context.identity().dataCentre(),
        view.rollout(),
        view.bundle() == null ? null : view.bundle().name(),
        age,
        lease.isHeldFor(0),
        evidence.liveDaemons().stream().sorted().toList(),
        linked.get().stream().sorted().toList(),
        Progress.of(view).lines(),
        replicas(view),
        stranded(view),
        limits(age));
  }

  /**
   * Counts the replicas of the own data centre in a state.
   *
   * @param statePrefix prefix of the state's text, as in {@link Status.ReplicaLine}
   * @return the number of replicas
   */
  public long count(String statePrefix) {
    return replicas(state.view()).stream()
        .filter(line -> line.state().startsWith(statePrefix))
        .count();
  }

  /** Adds one second of downtime for each replica that waits for a member; call once a second. */
  public void countDowntime() {
    downtimeSeconds.add(count("waits"));
  }

  /**
   * Returns the downtime of the data centre's replicas since this daemon started.
   *
   * @return replica-seconds
   */
  public long downtimeSeconds() {
    return downtimeSeconds.sum();
  }

  private List<Status.ReplicaLine> replicas(FleetView view) {
    List<Status.ReplicaLine> lines = new ArrayList<>();
    Map<String, DomainState> domains =
        new TreeMap<>(view.domainsOf(context.identity().dataCentre()));
    for (DomainState domain : domains.values()) {
      for (Replica replica : domain.replicas()) {
        lines.add(
            new Status.ReplicaLine(
                replica.id(),
                domain.domain(),
                replica.role(),
                replica.version(),
                replica.generation(),
                replica.members(),
                describe(replica)));
      }
    }
    return lines;
  }

  private String describe(Replica replica) {
    String missing = table.missingMember(replica, context.nowNanos());
    if (replica.draining()) {
      return "draining";
    }
    return missing == null ? "serving" : "waits for " + missing;
  }

  /**
   * Returns the healthy nodes of the data centre that are in no complete replica.
   *
   * @param view the shared state
   * @return the names of the nodes
   */
  public List<String> stranded(FleetView view) {
    long now = context.nowNanos();
    Set<String> inCompleteReplica = new HashSet<>();
    for (DomainState domain : view.domainsOf(context.identity().dataCentre()).values()) {
      for (Replica replica : domain.replicas()) {
        if (table.missingMember(replica, now) == null) {
          inCompleteReplica.addAll(replica.members());
        }
      }
    }
    List<String> stranded = new ArrayList<>();
    for (Node node : view.nodesOf(context.identity().dataCentre())) {
      boolean idle = node.service() == null && !inCompleteReplica.contains(node.name());
      if (idle && table.isAlive(node.name(), now)) {
        stranded.add(node.name());
      }
    }
    return stranded;
  }

  private List<String> limits(long age) {
    List<String> limits = new ArrayList<>();
    if (age > STALE_MILLIS) {
      limits.add("The platform has not confirmed this lately: no replica is rebuilt or drained.");
      limits.add("Unsafe requests under callers' own keys are refused; made keys work.");
      limits.add("Bundles cannot be submitted, approved, rolled out or stopped from here.");
    }
    return limits;
  }
}
