package org.fawnvale.daemon;

import io.micrometer.core.instrument.Counter;
import java.util.Locale;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.core.readiness.ReadinessTable;
import org.fawnvale.core.settings.DaemonSettings;
import org.fawnvale.daemon.claim.ClaimService;
import org.fawnvale.daemon.coordinate.CoordinatorService;
import org.fawnvale.daemon.coordinate.LeaseService;
import org.fawnvale.daemon.evidence.EvidenceService;
import org.fawnvale.daemon.evidence.NodeProbe;
import org.fawnvale.daemon.gateway.CallerService;
import org.fawnvale.daemon.gateway.GatewayServices;
import org.fawnvale.daemon.gateway.RoutingTable;
import org.fawnvale.daemon.metrics.DaemonMetrics;
import org.fawnvale.daemon.operate.OperatorService;
import org.fawnvale.daemon.operate.StatusReporter;
import org.fawnvale.daemon.peer.LinkService;
import org.fawnvale.daemon.peer.PeerService;
import org.fawnvale.daemon.state.FleetState;
import org.fawnvale.daemon.state.StateService;
import org.fawnvale.kernel.Kernel;
import org.fawnvale.kernel.ServiceException;
import org.fawnvale.platform.HttpObjectStore;
import org.fawnvale.upstream.EngineClient;
import org.fawnvale.upstream.UpstreamClient;
import org.fawnvale.wire.Identity;
import org.jspecify.annotations.Nullable;

/** An entry daemon. Creates its services and registers them with the kernel. */
public final class Daemon {

  private static final Logger LOG = LogManager.getLogger("daemon");
  private static final int CONNECT_TIMEOUT_MILLIS = 1000;
  private static final long PLATFORM_TIMEOUT_MILLIS = 2000;
  private static final long MAX_WATCH_MILLIS = 5000;
  private static final int SCHEDULER_THREADS = 2;

  private final Context context;
  private final Kernel kernel = new Kernel();
  private @Nullable CallerService callers;
  private @Nullable OperatorService operators;
  private @Nullable PeerService peers;

  private Daemon(Context context) {
    this.context = context;
  }

  /**
   * Creates a daemon and registers its services.
   *
   * @return the daemon, not yet started
   * @throws ServiceException if two services have the same name
   */
  public static Daemon create(DaemonSettings settings, Keys keys) throws ServiceException {
    String incarnation = UUID.randomUUID().toString().replace("-", "").substring(0, 12);
    ExecutorService executor = Executors.newCachedThreadPool(threadFactory("work"));
    ScheduledExecutorService scheduler =
        Executors.newScheduledThreadPool(SCHEDULER_THREADS, threadFactory("timer"));
    Context context =
        new Context(
            settings,
            keys,
            new Identity(settings.name(), settings.dataCentre(), incarnation),
            System::nanoTime,
            System::currentTimeMillis,
            executor,
            scheduler);
    Daemon daemon = new Daemon(context);
    daemon.register();
    return daemon;
  }

  private static ThreadFactory threadFactory(String prefix) {
    AtomicInteger number = new AtomicInteger();
    return task -> {
      Thread thread = new Thread(task, prefix + "-" + number.incrementAndGet());
      thread.setDaemon(true);
      return thread;
    };
  }

  private void register() throws ServiceException {
    DaemonSettings settings = context.settings();
    long freshNanos = TimeUnit.MILLISECONDS.toNanos(settings.timing().freshMillis());
    DaemonMetrics metrics = new DaemonMetrics();
    HttpObjectStore store = createStore(metrics);
    UpstreamClient upstream =
        UpstreamClient.create(CONNECT_TIMEOUT_MILLIS, settings.timing().stallMillis());
    EngineClient engines =
        EngineClient.create(upstream, context.nanoClock(), context.identity().incarnation());
    FleetState state = new FleetState();
    ReadinessTable table = ReadinessTable.create(freshNanos);
    RoutingTable routing = RoutingTable.create(settings.dataCentre());
    state.onChange(routing::update);

    LeaseService lease = new LeaseService(context, store);
    PeerService peers = new PeerService(context, state);
    StateService stateService =
        new StateService(context, state, store, peers, () -> lease.isHeldFor(0));
    NodeProbe probe = NodeProbe.create(engines, upstream, context);
    EvidenceService evidence =
        new EvidenceService(context, state, peers, table, probe::ask, routing::reported);
    CoordinatorService coordinator =
        new CoordinatorService(context, state, stateService, store, lease, table, engines);
    ClaimService claims = new ClaimService(context, store, peers);
    GatewayServices gateway =
        GatewayServices.create(context, state, table, routing, upstream, peers, claims, metrics);
    StatusReporter status =
        new StatusReporter(
            context, state, stateService, lease, table, evidence, gateway.forward()::reachable);
    OperatorService operators =
        new OperatorService(context, state, stateService, store, status, metrics);
    this.peers = peers;
    this.operators = operators;
    this.callers = gateway.callers();
    context.scheduler().scheduleAtFixedRate(status::countDowntime, 1, 1, TimeUnit.SECONDS);
    registerGauges(metrics, state, stateService, lease, status);

    metrics.gauge("fawnvale.links.sent", "bytes", "Sent over links to daemons.", peers::sentBytes);
    metrics.gauge(
        "fawnvale.links.received",
        "bytes",
        "Received over links to daemons.",
        peers::receivedBytes);
    kernel.register("peers", peers);
    kernel.register("state", stateService);
    kernel.register("evidence", evidence);
    kernel.register("claims", claims);
    kernel.register("forward", gateway.forward());
    kernel.register("links", new LinkService(peers));
    kernel.register("operators", operators);
    kernel.register("lease", lease);
    kernel.register("coordinator", coordinator);
    kernel.register("callers", gateway.callers());
  }

  private HttpObjectStore createStore(DaemonMetrics metrics) {
    Map<HttpObjectStore.CallKind, Counter> counters = new ConcurrentHashMap<>();
    for (HttpObjectStore.CallKind kind : HttpObjectStore.CallKind.values()) {
      String label = kind.name().toLowerCase(Locale.ROOT);
      counters.put(kind, metrics.counter("fawnvale.platform.calls", "kind", label));
    }
    DaemonSettings.Endpoint platform = context.settings().platform();
    return HttpObjectStore.create(
        platform.address(),
        platform.port(),
        PLATFORM_TIMEOUT_MILLIS,
        MAX_WATCH_MILLIS,
        kind -> counters.get(kind).increment());
  }

  private static void registerGauges(
      DaemonMetrics metrics,
      FleetState state,
      StateService stateService,
      LeaseService lease,
      StatusReporter status) {
    metrics.gauge(
        "fawnvale.bundle.age",
        "milliseconds",
        "Time since the platform confirmed what is in force.",
        stateService::ageMillis);
    metrics.gauge(
        "fawnvale.bundle.revision",
        "",
        "The revision in force.",
        () -> state.view().rollout().accepted());
    metrics.gauge(
        "fawnvale.lease.held",
        "",
        "1 while this daemon coordinates its data centre.",
        () -> lease.isHeldFor(0) ? 1 : 0);
    metrics.gauge(
        "fawnvale.stranded.nodes",
        "",
        "Healthy nodes of the data centre that are in no complete replica.",
        () -> status.stranded(state.view()).size());
    metrics.gauge(
        "fawnvale.replicas.serving",
        "",
        "Replicas of the data centre that may serve.",
        () -> status.count("serving"));
    metrics.gauge(
        "fawnvale.group.downtime",
        "seconds",
        "Time that replicas of the data centre waited for a member, summed.",
        status::downtimeSeconds);
    metrics.gauge(
        "fawnvale.replicas.down",
        "",
        "Replicas of the data centre that wait for a member.",
        () -> status.count("waits"));
  }

  /**
   * Starts all services.
   *
   * @throws ServiceException if a service cannot start; the services started before it are stopped
   */
  public void start() throws ServiceException {
    kernel.start();
    LOG.info(
        "Daemon {} of {} has started as incarnation {}.",
        context.identity().daemon(),
        context.identity().dataCentre(),
        context.identity().incarnation());
  }

  /**
   * Returns the actual ports of callers and operators and the registered address for peers.
   *
   * @return {@code callers=PORT operators=PORT peers=ADDRESS}
   */
  public String ports() {
    if (callers == null || operators == null || peers == null) {
      return "no services registered";
    }
    return "callers="
        + callers.port()
        + " operators="
        + operators.port()
        + " peers="
        + peers.registration().address();
  }

  /** Stops all services: requests in flight end first, then the lease is released. */
  public void stop() {
    kernel.stop();
    context.scheduler().shutdownNow();
    context.executor().shutdownNow();
    LOG.info("Daemon {} has stopped.", context.identity().daemon());
  }
}
