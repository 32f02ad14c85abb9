package org.fawnvale.daemon.coordinate;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.core.model.Bundle;
import org.fawnvale.core.model.DomainState;
import org.fawnvale.core.model.Node;
import org.fawnvale.core.model.Order;
import org.fawnvale.core.model.Rollout;
import org.fawnvale.core.model.Stage;
import org.fawnvale.core.planning.NodeView;
import org.fawnvale.core.planning.Orders;
import org.fawnvale.core.planning.Plan;
import org.fawnvale.core.planning.PlanInput;
import org.fawnvale.core.planning.Planner;
import org.fawnvale.core.planning.PlannerSettings;
import org.fawnvale.core.planning.RolloutMonitor;
import org.fawnvale.core.readiness.ReadinessTable;
import org.fawnvale.core.result.Result;
import org.fawnvale.daemon.Context;
import org.fawnvale.daemon.state.Documents;
import org.fawnvale.daemon.state.FleetState;
import org.fawnvale.daemon.state.FleetView;
import org.fawnvale.daemon.state.ObjectNames;
import org.fawnvale.daemon.state.StateService;
import org.fawnvale.kernel.Service;
import org.fawnvale.platform.ObjectStore;
import org.fawnvale.platform.StoredObject;
import org.fawnvale.platform.WriteResult;
import org.fawnvale.upstream.EngineClient;
import org.jspecify.annotations.Nullable;

/**
 * Plans the replicas of the data centre and sends orders to its engines while this daemon holds the
 * data centre's lease.
 */
public final class CoordinatorService implements Service {

  private static final Logger LOG = LogManager.getLogger("coordinator");
  private static final long LEASE_MARGIN_MILLIS = 500;

  private final Context context;
  private final FleetState state;
  private final StateService stateService;
  private final ObjectStore store;
  private final LeaseService lease;
  private final ReadinessTable table;
  private final OrderSender sender;
  private final Predicate<Node> acceptsConnections;
  private final AtomicLong operations = new AtomicLong();
  private volatile boolean stopped;
  private volatile @Nullable Map<String, NodeView> lastViews;
  private final RolloutMonitor rolloutMonitor;
  private SilenceTracker silenceTracker = new SilenceTracker();
  private ConnectionCheck connectionCheck;
  private boolean heldLeaseLastRound;

  /**
   * Creates the service.
   *
   * @param context the daemon's settings, identity, clocks and executors
   * @param state this daemon's copy of the shared objects
   * @param stateService distributes the objects that this service writes
   * @param store the platform's object store
   * @param lease the lease that this daemon has to hold to plan and to send orders
   * @param table the latest reports on the nodes
   * @param engines the client that sends orders to engines
   */
  public CoordinatorService(
      Context context,
      FleetState state,
      StateService stateService,
      ObjectStore store,
      LeaseService lease,
      ReadinessTable table,
      EngineClient engines) {
    this.context = context;
    this.state = state;
    this.stateService = stateService;
    this.store = store;
    this.lease = lease;
    this.table = table;
    this.rolloutMonitor =
        RolloutMonitor.create(context.settings().timing().rolloutPatienceMillis());
    this.sender = new OrderSender(context, lease, engines);
    long checkTimeoutMillis = context.settings().timing().probeTimeoutMillis();
    this.acceptsConnections = node -> engines.acceptsConnections(node, checkTimeoutMillis);
    this.connectionCheck = new ConnectionCheck(context.executor(), acceptsConnections);
  }

  @Override
  public void start() {
    context.executor().execute(this::loop);
  }

  @Override
  public void stop() {
    stopped = true;
  }

  /**
   * Returns the nodes of the data centre as of this daemon's last planning round.
   *
   * @return the views by node name; empty before the first round and on a daemon without the lease
   */
  public Optional<Map<String, NodeView>> views() {
    return lease.isHeldFor(0) ? Optional.ofNullable(lastViews) : Optional.empty();
  }

  private void loop() {
    while (!stopped) {
      try {
        planOnce();
      } catch (RuntimeException e) {
        LOG.error("A planning round failed; the next round plans from the current state.", e);
      }
      try {
        TimeUnit.MILLISECONDS.sleep(context.settings().timing().planMillis());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private void planOnce() {
    boolean holder = lease.isHeldFor(LEASE_MARGIN_MILLIS);
    if (!holder) {
      heldLeaseLastRound = false;
      return;
    }
    if (!heldLeaseLastRound) {
      silenceTracker = new SilenceTracker();
      connectionCheck = new ConnectionCheck(context.executor(), acceptsConnections);
      heldLeaseLastRound = true;
    }
    FleetView view = state.view();
    Bundle bundle = view.bundle();
    String dataCentre = context.identity().dataCentre();
    List<Node> nodes = view.nodesOf(dataCentre);
    if (bundle == null || nodes.isEmpty()) {
      return;
    }
    Map<String, DomainState> domains = domains(view, nodes);
    Set<String> members = members(domains);
    Map<String, NodeView> views =
        silenceTracker.update(
            nodes, members, table, connectionCheck::mayAcceptConnections, context.nowNanos());
    lastViews = Map.copyOf(views);
    Map<String, NodeView> engines = new TreeMap<>(views);
    engines.values().removeIf(each -> each.node().service() != null);
    connectionCheck.start(
        engines.values().stream().filter(each -> members.contains(each.node().name())).toList());
    Plan plan = plan(view, bundle, domains, engines);
    plan.steps().forEach(LOG::info);
    plan.changed().forEach(changed -> write(changed, view));
    sendOrders(bundle, engines);
    stopIfFailing(view, bundle, domains.values(), engines);
    if (plan.complete()) {
      complete(view);
    }
  }

  private static Map<String, DomainState> domains(FleetView view, List<Node> nodes) {
    Map<String, DomainState> domains = new TreeMap<>();
    for (Node node : nodes) {
      if (node.service() == null) {
        domains.computeIfAbsent(
            node.domain(), name -> DomainState.empty(node.dataCentre(), node.domain()));
      }
    }
    domains.putAll(view.domainsOf(nodes.get(0).dataCentre()));
    return domains;
  }

  private static Set<String> members(Map<String, DomainState> domains) {
    Set<String> members = new HashSet<>();
    domains
        .values()
        .forEach(domain -> domain.replicas().forEach(replica -> members.addAll(replica.members())));
    return members;
  }

  private Plan plan(
      FleetView view,
      Bundle bundle,
      Map<String, DomainState> domains,
      Map<String, NodeView> engines) {
    long grace = (long) (bundle.policy().graceSeconds() * 1000);
    return Planner.plan(
        new PlanInput(
            context.identity().dataCentre(),
            bundle,
            view.rollout().acceptedStage() != Stage.STOPPED,
            List.copyOf(domains.values()),
            engines,
            PlannerSettings.DEFAULT.withGrace(grace),
            nextOperation()));
  }

  private String nextOperation() {
    return context.holder() + "/" + operations.incrementAndGet();
  }

  private void write(DomainState changed, FleetView view) {
    String name = ObjectNames.domain(changed.dataCentre(), changed.domain());
    long version = view.domainVersions().getOrDefault(name, ObjectStore.ABSENT);
    byte[] value = Documents.write(changed);
    WriteResult result = store.put(name, version, value);
    if (result instanceof WriteResult.Written written) {
      stateService.written(List.of(new StoredObject(name, written.version(), value)));
    } else {
      LOG.info(
          "Domain {} was not written ({}); reading the stored version back.",
          changed.domain(),
          result);
      readBack(name);
    }
  }

  private void readBack(String name) {
    store
        .get(name)
        .fold(
            found -> {
              found.ifPresent(object -> stateService.written(List.of(object)));
              return true;
            },
            problem -> false);
  }

  private void sendOrders(Bundle bundle, Map<String, NodeView> engines) {
    Optional<Long> epoch = lease.epoch();
    if (epoch.isEmpty()) {
      return;
    }
    List<Order> orders = new ArrayList<>();
    for (DomainState domain : state.view().domainsOf(context.identity().dataCentre()).values()) {
      orders.addAll(Orders.due(domain, bundle, engines, epoch.get()));
    }
    orders.addAll(
        Orders.preloads(
            state.view().domainsOf(context.identity().dataCentre()).values(),
            bundle,
            engines,
            epoch.get(),
            PlannerSettings.DEFAULT));
    sender.send(orders, engines);
  }

  /**
   * Marks the rollout complete once every data centre has the replicas that the bundle requires, in
   * its version.
   */
  private void complete(FleetView view) {
    Rollout rollout = view.rollout();
    boolean rolling = rollout.acceptedStage() == Stage.ROLLING;
    if (!rolling || !Progress.of(view).isComplete()) {
      return;
    }
    StoredObject rolloutObject = state.object(ObjectNames.ROLLOUT);
    if (rolloutObject == null || !rollout.equals(parse(rolloutObject))) {
      return;
    }
    writeRollout(
        rolloutObject,
        rollout.complete(rollout.accepted(), nextOperation(), "coordinator"),
        "complete");
  }

  /** Stops the rollout when the monitor reports that a replica rebuilt by it has failed. */
  private void stopIfFailing(
      FleetView view, Bundle bundle, Collection<DomainState> domains, Map<String, NodeView> nodes) {
    Rollout rollout = view.rollout();
    if (rollout.acceptedStage() != Stage.ROLLING) {
      return;
    }
    long nowMillis = TimeUnit.NANOSECONDS.toMillis(context.nowNanos());
    Optional<String> cause = rolloutMonitor.findFailure(domains, bundle, nodes, nowMillis);
    StoredObject rolloutObject = state.object(ObjectNames.ROLLOUT);
    if (cause.isPresent() && rolloutObject != null && rollout.equals(parse(rolloutObject))) {
      writeRollout(
          rolloutObject,
          rollout.stop(rollout.accepted(), cause.get(), nextOperation(), "coordinator"),
          "stopped: " + cause.get());
    }
  }

  private void writeRollout(StoredObject rolloutObject, Result<Rollout> next, String what) {
    if (next instanceof Result.Success<Rollout> success) {
      byte[] value = Documents.write(success.value());
      WriteResult result = store.put(ObjectNames.ROLLOUT, rolloutObject.version(), value);
      if (result instanceof WriteResult.Written written) {
        LOG.info("Revision {} is {}.", success.value().accepted(), what);
        stateService.written(
            List.of(new StoredObject(ObjectNames.ROLLOUT, written.version(), value)));
      }
    }
  }

  private static @Nullable Rollout parse(StoredObject rolloutObject) {
    try {
      return Documents.read(rolloutObject.value(), Rollout.class);
    } catch (IOException e) {
      return null;
    }
  }
}
