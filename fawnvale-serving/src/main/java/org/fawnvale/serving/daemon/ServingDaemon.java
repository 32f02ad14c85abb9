package org.fawnvale.serving.daemon;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.dispatch.UpstreamGate;
import org.fawnvale.serving.core.evacuation.Evacuations;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.Settings;
import org.fawnvale.serving.core.peer.DaemonState;
import org.fawnvale.serving.core.peer.LeaderEligibility;
import org.fawnvale.serving.core.peer.ProcessorShortage;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.fawnvale.serving.core.peer.ShortageReadiness;
import org.fawnvale.serving.core.peer.UnevenLoad;
import org.fawnvale.serving.core.route.RouteTable;
import org.fawnvale.serving.core.shutdown.StopSchedule;
import org.fawnvale.serving.core.watch.ConfigurationIntervals;
import org.fawnvale.serving.core.watch.CopyDelays;
import org.fawnvale.serving.core.watch.CopyPositions;
import org.fawnvale.serving.core.watch.DepartureDetector;
import org.fawnvale.serving.core.watch.PollIntervals;
import org.fawnvale.serving.core.watch.StartupFetches;
import org.fawnvale.serving.core.watch.StartupPeriod;
import org.fawnvale.serving.formation.FormationService;
import org.fawnvale.serving.gateway.AdmissionControl;
import org.fawnvale.serving.gateway.Gateway;
import org.fawnvale.serving.gateway.GatewayMetrics;
import org.fawnvale.serving.gateway.PeerForwarding;
import org.fawnvale.serving.http.HttpClient;
import org.fawnvale.serving.http.HttpReactor;
import org.fawnvale.serving.http.NodeClient;
import org.fawnvale.serving.http.Timers;
import org.fawnvale.serving.limit.LimitPermitService;
import org.fawnvale.serving.limit.OwnerClient;
import org.fawnvale.serving.limit.TrialPermitService;
import org.fawnvale.serving.peer.Peers;
import org.fawnvale.serving.spi.Platform;
import org.fawnvale.serving.store.CopyCodec;
import org.fawnvale.serving.store.DaemonRegistry;
import org.fawnvale.serving.store.MergePolicy;
import org.fawnvale.serving.store.PeerCopyExchange;
import org.fawnvale.serving.store.QuarantineStore;
import org.fawnvale.serving.store.StoreCallMetrics;
import org.fawnvale.serving.store.StoreClient;
import org.fawnvale.serving.store.StoreWatch;
import org.jspecify.annotations.Nullable;

/** An entry daemon: gateway, store copies, peers and, while it leads, the formation of groups. */
public final class ServingDaemon {

  private static final Logger LOG = LogManager.getLogger("daemon");

  /**
   * The period of the single timer for all regular tasks. Separate timers of 20, 50 and 150 ms
   * would wake an idle daemon 77 times a second instead of 40.
   */
  private static final int TICK_MILLIS = 25;

  /**
   * Ticks between two runs of the formation of groups. A leader runs it at each tick while a head
   * is suspected, since the members are asked in one run and their answers count in the next.
   */
  private static final int FORMATION_TICKS = 2;

  /** Ticks between two regular peer messages: 150 ms. */
  private static final int MESSAGE_TICKS = 6;

  /** A daemon that does not lead performs only every second run of the formation. */
  private static final int FOLLOWER_FORMATION_RUNS = 2;

  /** The offset of the port for peer queries from the port for peer messages. */
  private static final int QUERY_PORT_OFFSET = 2;

  /** The offset of the port for forwarded requests from the port for peer messages. */
  private static final int FORWARD_PORT_OFFSET = 3;

  /**
   * The wait of a watch call that has to detect a silent connection early: a configuration that is
   * acknowledged three seconds after the silence began must be active two seconds later.
   */
  private static final int SHORT_WAIT_MILLIS = 2_500;

  /**
   * The pause between two calls that wait for evacuations: a fifth of the second within which one
   * should be in force.
   */
  private static final int EVACUATION_PAUSE_MILLIS = 200;

  /**
   * The wait of daemons that peers notify of newer configurations; it keeps their calls few. It is
   * below the 20 s for which the store keeps its history: a call that waits longer is answered with
   * status 410, and the daemon lists the whole configuration again.
   */
  private static final int LONG_WAIT_MILLIS = 15_000;

  private static final int HOUSEKEEPING_MILLIS = 1_000;

  /** The interval of the log lines that summarise calls and connections. */
  private static final int SUMMARY_MILLIS = 10_000;

  private final Settings settings;
  private final Platform platform;

  /** Held by all tasks and callbacks; protects the state of the daemon. */
  private final Object lock = new Object();

  private final Timers timers = new Timers(lock);
  private final HttpReactor reactor;
  private final HttpClient client;
  private final StoreClient storeClient;
  private final Evacuations evacuations;
  private final EvacuationUpdates evacuationUpdates;
  private final UpstreamGate gate;
  private final Dispatcher dispatcher;
  private final PollIntervals cadence;
  private final UpstreamSelector upstreamSelector;
  private final Gateway gateway;
  private final Peers peers;
  private final FormationService formation;
  private final StoreWatch<Configuration> configurations;
  private final StoreWatch<Node> nodes;
  private final ClusterView clusterView;
  private final HeadSuspicions suspicions;
  private final UpstreamChecks checks;
  private final PeerCopyExchange<Configuration> configurationCopies;
  private final PeerCopyExchange<Node> nodeCopies;
  private final QuarantinePersistence quarantinePersistence;
  private final DaemonRegistry registeredDaemons;
  private final LimitPermitService limitPermits;
  private final TrialPermitService trialPermits;
  private final SharedStateUpdates sharedUpdates;
  private final PaceUpdates paces;
  private final ShortageUpdates shortage;
  private final OverloadUpdates overload;
  private final ReachUpdates reach;
  private final PeerStateExchange stateExchange;
  private final GroupPlanning planning;
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final StoreCallMetrics storeMetrics = new StoreCallMetrics(registry);
  private final StoreRollbacks rollbacks = new StoreRollbacks(registry);
  private final long startedNanos = System.nanoTime();
  private @Nullable Configuration configuration;
  private boolean stopping;
  private boolean leading;
  private final DepartureDetector departures = new DepartureDetector();
  private GroupAnnouncements lastAnnounced = GroupAnnouncements.NONE;
  private boolean announcementsChanged;
  private boolean upstreamsStale;
  private boolean upstreamsKnown;
  private int tickCount;
  private int formationRuns;

  private ServingDaemon(Settings settings, Platform platform, EarlyListener callers)
      throws IOException {
    this.settings = settings;
    this.platform = platform;
    this.reactor = callers.reactor();
    this.client = new HttpClient(reactor, timers);
    this.storeClient = new StoreClient(client, timers, settings.store(), platform);
    RendezvousOwners owners =
        new RendezvousOwners(
            new RendezvousOwners.Daemon(settings.name(), settings.address(), settings.dataCentre()),
            startedNanos);
    SharedLimits limits = new SharedLimits(owners);
    boolean hasEvacuations = settings.bounds().evacuationMillis() > 0;
    this.evacuations = hasEvacuations ? Evacuations.unknown() : Evacuations.disabled();
    this.evacuationUpdates =
        new EvacuationUpdates(
            evacuations,
            evacuationListener(),
            this::listedDataCentres,
            hasEvacuations ? evacuationWatch() : null,
            registry);
    this.gate = new UpstreamGate(limits, evacuations);
    OwnerClient ownerCalls =
        new OwnerClient(client, timers, settings.peerPort() + QUERY_PORT_OFFSET);
    this.limitPermits = new LimitPermitService(ownerCalls, limits, registry);
    this.dispatcher = new Dispatcher(settings.dataCentre(), gate, System::nanoTime);
    NodeClient nodeClient = new NodeClient(client, timers, gate, platform::answer, registry);
    nodeClient.onLeaving(() -> upstreamsStale = true);
    this.reach = new ReachUpdates(nodeClient, platform::order, registry);
    nodeClient.onReach(reach);
    this.cadence = new PollIntervals(settings.bounds().leavingMillis());
    this.upstreamSelector = new UpstreamSelector(settings.policy().cutsAreNoDeaths());
    GatewayMetrics metrics = new GatewayMetrics(registry);
    this.gateway =
        new Gateway(
            timers,
            nodeClient,
            platform,
            dispatcher,
            settings.bounds(),
            callers.memory(),
            metrics,
            startedNanos);
    this.paces = new PaceUpdates(settings.policy().pace(), dispatcher, gateway, registry);
    this.shortage =
        new ShortageUpdates(
            settings.policy().shortage(),
            new ProcessorShortage(startedNanos, TimeUnit.MILLISECONDS.toNanos(TICK_MILLIS)),
            registry);
    this.overload = new OverloadUpdates(callers.connections(), registry);
    configureGateway(metrics);
    this.trialPermits =
        new TrialPermitService(ownerCalls, owners, gateway.quarantine()::grantTrial);
    gateway.quarantine().setTrialRequester(trialPermits::requestPermit);
    this.sharedUpdates =
        new SharedStateUpdates(
            owners, gateway.quarantine(), limits, limitPermits, evacuationUpdates);
    long incarnation = System.currentTimeMillis();
    this.peers = Peers.open(settings, lock, incarnation, this::onPeerPositions, sharedUpdates);
    this.formation = new FormationService(settings, peers, nodeClient, platform, incarnation);
    this.configurations =
        new StoreWatch<>(
            storeClient,
            Platform.Kind.CONFIGURATION,
            platform::configurations,
            new StoreWatch.Timing(this::configurationPauseMillis, this::configurationWaitMillis),
            false,
            (version, other) -> other == null || version.version() > other.version(),
            storeMetrics,
            this::onConfigurationChange);
    this.nodes =
        new StoreWatch<>(
            storeClient,
            Platform.Kind.NODES,
            platform::nodes,
            new StoreWatch.Timing(this::nodesPauseMillis, () -> SHORT_WAIT_MILLIS),
            settings.firstStart(),
            MergePolicy.byPosition(),
            storeMetrics,
            this::onNodesChange);
    this.clusterView = new ClusterView(settings, peers, configurations, nodes, gate);
    this.suspicions =
        new HeadSuspicions(
            settings.dataCentre(), dispatcher, peers::anySuspects, peers::stallObservations, reach);
    this.stateExchange =
        new PeerStateExchange(
            settings.policy(),
            startedNanos,
            peers,
            sharedUpdates,
            formation,
            gateway,
            dispatcher,
            clusterView,
            suspicions,
            reach,
            paces,
            shortage);
    this.planning =
        new GroupPlanning(
            settings.policy(),
            peers,
            formation,
            gateway,
            dispatcher,
            gate,
            clusterView,
            nodes,
            suspicions,
            reach,
            paces,
            new DemandUpdates(
                settings.policy().observedDemand(), gateway::offeredWork, peers::offeredWork));
    this.checks =
        new UpstreamChecks(
            reach, suspicions, gateway, dispatcher, client, () -> sendPeerMessage(true));
    this.configurationCopies =
        copiesOf(
            configurations,
            "/copies/configuration",
            CopyCodec.CONFIGURATIONS,
            CopyDelays.CONFIGURATION,
            new StartupPeriod(startedNanos));
    this.quarantinePersistence =
        new QuarantinePersistence(
            gateway.quarantine(),
            new QuarantineStore(
                storeClient, System::currentTimeMillis, gateway.quarantine()::receiveStored));
    this.registeredDaemons =
        new DaemonRegistry(
            storeClient, System::currentTimeMillis, settings.name(), peers::onDaemonsListed);
    this.nodeCopies =
        copiesOf(nodes, "/copies/nodes", CopyCodec.NODES, cadence.copyDelays(), StartupPeriod.NONE);
  }

  private void configureGateway(GatewayMetrics metrics) {
    registry.gauge("fawnvale.platform.names.unread", platform, Platform::unrecognizedNames);
    registry.gauge("fawnvale.groups.held_back", this, ServingDaemon::groupsHeldBack);
    dispatcher.setConnected(client::hasIdle);
    gateway.setUpstreamPath(reach);
    gateway.setOtherMembers(head -> ClusterView.otherMembers(head, engines()));
    gateway.setPermitRequester(limitPermits::requestPermit);
    gateway.setPeerForwarding(
        new PeerForwarding(
            client,
            settings.peerPort() + FORWARD_PORT_OFFSET,
            settings.dataCentre(),
            () -> peers.live().values()));
    if (settings.policy().admission()) {
      gateway.setAdmission(
          new AdmissionControl(dispatcher, paces.view(), settings.policy().urgency(), metrics));
    }
    if (settings.waiting().requests() > 0) {
      gateway.setWaiting(settings.waiting());
    }
  }

  private int groupsHeldBack() {
    synchronized (lock) {
      return formation.groupsHeldBack();
    }
  }

  /** Creates the watch of the evacuated data centres, given the action to run on its changes. */
  private Function<Runnable, StoreWatch<String>> evacuationWatch() {
    return onChange -> {
      StoreWatch<String> watch =
          new StoreWatch<>(
              storeClient,
              Platform.Kind.EVACUATIONS,
              platform::evacuations,
              new StoreWatch.Timing(
                  () -> EVACUATION_PAUSE_MILLIS, () -> settings.bounds().evacuationMillis() / 2),
              false,
              MergePolicy.byPosition(),
              storeMetrics,
              onChange);
      rollbacks.follow(Platform.Kind.EVACUATIONS, watch, change -> {});
      return watch;
    };
  }

  private EvacuationUpdates.Listener evacuationListener() {
    return new EvacuationUpdates.Listener() {
      @Override
      public void changed() {
        onEvacuationsChange();
      }

      @Override
      public void returned(Set<String> dataCentres) {
        onDataCentresReturned(dataCentres);
      }
    };
  }

  private <T> PeerCopyExchange<T> copiesOf(
      StoreWatch<T> watch,
      String path,
      CopyCodec<T> codec,
      CopyDelays times,
      StartupPeriod startup) {
    return new PeerCopyExchange<>(
        client,
        timers,
        watch,
        path,
        settings.peerPort() + QUERY_PORT_OFFSET,
        codec,
        times,
        new StartupFetches(startup),
        System::nanoTime);
  }

  /**
   * Starts a daemon.
   *
   * @param platform the adapter to the platform
   * @param callers the open listener for callers
   * @return the running daemon
   * @throws IOException when an address can't be bound
   */
  public static ServingDaemon start(Settings settings, Platform platform, EarlyListener callers)
      throws IOException {
    ServingDaemon daemon = new ServingDaemon(settings, platform, callers);
    daemon.startServices(callers);
    return daemon;
  }

  private void startServices(EarlyListener callers) {
    synchronized (lock) {
      paces.register(formation, registry);
      rollbacks.follow(Platform.Kind.CONFIGURATION, configurations, change -> {});
      rollbacks.follow(Platform.Kind.NODES, nodes, clusterView::onStoreRollback);
      configurations.start();
      nodes.start();
      evacuationUpdates.start();
      quarantinePersistence.start(!settings.firstStart());
      registeredDaemons.start();
    }
    peers.listen();
    openEndpoints();
    callers.serve(gateway::handler);
    timers.every(TICK_MILLIS, this::tick);
    timers.every(HOUSEKEEPING_MILLIS, client::closeExpired);
    timers.every(HOUSEKEEPING_MILLIS, callers.connections()::closeExpired);
    timers.every(SUMMARY_MILLIS, this::logSummaries);
    if (settings.bounds().evacuationMillis() > 0) {
      timers.every(HOUSEKEEPING_MILLIS, evacuationUpdates::reportUnlisted);
    }
    LOG.info(
        "name={} data_centre={} frontend={} outcome=started",
        settings.name(),
        settings.dataCentre(),
        settings.frontend());
  }

  private void openEndpoints() {
    DaemonEndpoints endpoints =
        new DaemonEndpoints(
            platform.readyPath(),
            registry,
            nodeCopies,
            configurationCopies,
            limitPermits,
            trialPermits);
    endpoints.listen(
        reactor,
        settings,
        new Endpoint(settings.address(), settings.peerPort() + QUERY_PORT_OFFSET),
        lock,
        this::isReady);
    reactor.listen(
        new Endpoint(settings.address(), settings.peerPort() + FORWARD_PORT_OFFSET),
        gateway::forwardedHandler);
  }

  private boolean isReady() {
    return knowsFleet() && !stopping && acceptsCallers();
  }

  private boolean knowsFleet() {
    return configuration != null && nodes.position().isKnown() && evacuations.isKnown();
  }

  private boolean acceptsCallers() {
    return !shortage.isShort()
        || ShortageReadiness.acceptsCallers(
            shortage.shortForNanos(), settings.dataCentre(), peers.live().values());
  }

  private int nodesPauseMillis() {
    return leading ? cadence.leaderIntervalMillis(formation.isForming()) : cadence.intervalMillis();
  }

  private int configurationPauseMillis() {
    return ConfigurationIntervals.intervalMillis(settings.bounds().configurationMillis());
  }

  /**
   * One daemon of each data centre waits for a short time only; its peer messages notify the other
   * daemons of the data centre of a newer configuration.
   */
  private int configurationWaitMillis() {
    return peers.isDataCentreWatcher(eligibility()) ? SHORT_WAIT_MILLIS : LONG_WAIT_MILLIS;
  }

  private void logSummaries() {
    LOG.info("store_calls {}", storeMetrics.summary());
    LOG.info("connections {}", client.summary());
    gateway.logRetryBudgets();
  }

  private void onConfigurationChange() {
    Configuration newest = null;
    for (Configuration candidate : configurations.objects().values()) {
      if (newest == null || candidate.version() > newest.version()) {
        newest = candidate;
      }
    }
    Configuration before = configuration;
    boolean newer = newest != null && (before == null || newest.version() > before.version());
    if (newer && newest != null) {
      configuration = newest;
      gateway.routes(RouteTable.of(newest));
      reactor.updateLimits(newest.maxHeaderBytes(), newest.headerMillis(), newest.idleMillis());
      LOG.info(
          "config={} place={} routes={} before={} outcome=in_force",
          newest.version(),
          configurations.newest(),
          newest.routes().size(),
          before == null ? null : before.version());
      refreshUpstreams();
    }
  }

  /**
   * Marks the upstreams as stale; a later tick refreshes them, because a refresh visits all nodes
   * and changes may follow each other within milliseconds. If the change came from the store,
   * notifies peers at once of nodes that have begun to drain or were removed.
   */
  private void onNodesChange() {
    Set<String> leaving = departures.update(nodes.objects().values());
    if (!leaving.isEmpty()) {
      LOG.info(
          "leaving={} place={} by={}",
          leaving,
          nodes.position(),
          nodes.isActive() ? "store" : "peer");
    }
    if (!leaving.isEmpty() && nodes.isActive()) {
      sendPeerMessage(true);
    }
    upstreamsStale = true;
    if (!upstreamsKnown) {
      refreshUpstreams();
    }
  }

  /** The dispatcher asks for the evacuated data centres with each choice, so no refresh is due. */
  private void onEvacuationsChange() {
    if (!upstreamsKnown) {
      refreshUpstreams();
    }
  }

  /**
   * Takes the nodes of these data centres for cold, since they may have restarted during the
   * evacuation. Called once for each return, before any request can be sent there.
   */
  private void onDataCentresReturned(Set<String> dataCentres) {
    long now = System.nanoTime();
    for (String dataCentre : dataCentres) {
      gate.limits().coldPeriods().assumeCold(dataCentre, nodes.objects().values(), now);
    }
  }

  private Set<String> listedDataCentres() {
    return clusterView.listedDataCentres();
  }

  private void refreshUpstreams() {
    Configuration current = configuration;
    if (current == null) {
      return;
    }
    upstreamsStale = false;
    GroupAnnouncements announced = stateExchange.announcements(leading);
    Collection<Node> listed = clusterView.listedNodes();
    gate.limits().coldPeriods().update(listed, current.services(), System.nanoTime());
    List<Node> serving = upstreamSelector.select(listed, current, announced);
    suspicions.update(serving, nodes.objects().keySet());
    dispatcher.setUpstreams(serving);
    paces.setHeads(serving, System.nanoTime());
    dispatcher.retain(nodes.objects().keySet());
    if (!upstreamsKnown && knowsFleet()) {
      upstreamsKnown = true;
      quarantinePersistence.whenLoaded(gateway::onFleetKnown);
    }
  }

  private Collection<Node> engines() {
    Configuration current = configuration;
    return current == null
        ? List.of()
        : UpstreamSelector.engines(clusterView.listedNodes(), current);
  }

  /**
   * Called by the tick and for each message of a peer, which arrives in time when timers are late.
   */
  private void repeatLostConfigurationCall() {
    configurations.repeatIfLost(nodes.lastAnswerNanos(), System.nanoTime());
  }

  private void onPeerPositions(String address, boolean isNear, CopyPositions positions) {
    repeatLostConfigurationCall();
    boolean takesPrecedence = positions.version() > activeVersion();
    configurationCopies.onAdvertisement(
        new PeerCopyExchange.Advertisement(
            address, isNear, positions.configuration(), takesPrecedence));
    nodeCopies.onAdvertisement(
        new PeerCopyExchange.Advertisement(address, isNear, positions.nodes(), false));
  }

  private long activeVersion() {
    Configuration current = configuration;
    return current == null ? CopyPositions.NONE.version() : current.version();
  }

  private void tick() {
    tickCount++;
    updateShortage();
    checks.checkPath(configuration, this::engines, nodes.objects().values(), peers);
    repeatLostConfigurationCall();
    limitPermits.reportColdUpstreams();
    checks.checkStreams();
    sendUrgentUpdates();
    boolean urgent = leading && peers.anySuspects();
    if (urgent || tickCount % FORMATION_TICKS == 0) {
      runFormation();
    }
    if (tickCount % MESSAGE_TICKS == 0) {
      sendRegularMessage();
    }
  }

  /** Notifies peers of a change at once, because another daemon should lead during a shortage. */
  private void updateShortage() {
    if (shortage.tick(System.nanoTime())) {
      sendPeerMessage(true);
    }
    overload.update(
        shortage.isLate() && UnevenLoad.isOnThisDaemon(gateway.inFlight(), peers.live().values()));
  }

  /**
   * Notifies peers at once of node exits under a request, because its caller retries at another
   * daemon within a second, and of newly advertised limits, because other daemons exceed a limit
   * until they know it.
   */
  private void sendUrgentUpdates() {
    gateway.quarantine().confirmDelayedExits();
    if (sharedUpdates.takeUrgentUpdate()) {
      sendPeerMessage(true);
    }
  }

  private void runFormation() {
    Configuration current = configuration;
    EngineSpec engine = current == null ? null : current.engine();
    formationRuns++;
    boolean due = leading || formationRuns % FOLLOWER_FORMATION_RUNS == 0;
    if (!due) {
      return;
    }
    stateExchange.applyReachableDaemons();
    evacuationUpdates.update(peers.isDataCentreWatcher(eligibility()));
    if (engine != null) {
      clusterView.updateStoreReachability();
      electLeader();
      planning.run(engine, leading, this::engines);
      applyPeerState();
    }
    if (upstreamsStale) {
      refreshUpstreams();
    }
  }

  private void electLeader() {
    boolean wasLeading = leading;
    leading = peers.decide(eligibility());
    LeaderEligibility eligibility = eligibility();
    nodes.setActive(
        leading || !nodes.position().isKnown() || peers.isDataCentreWatcher(eligibility));
    if (leading && !wasLeading) {
      sendPeerMessage(true);
    }
    quarantinePersistence.update(leading, configurations.position().era());
  }

  private void applyPeerState() {
    GroupAnnouncements announced = stateExchange.announcements(leading);
    boolean hasChanged = !announced.equals(lastAnnounced);
    if (hasChanged || clusterView.changesWithTime()) {
      lastAnnounced = announced;
      upstreamsStale = true;
    }
    announcementsChanged |= hasChanged && leading;
    stateExchange.applyReports();
  }

  /**
   * Sends the regular message, as an urgent one if the leader's announcements have changed. Changed
   * announcements wait for the next regular message to save bandwidth.
   */
  private void sendRegularMessage() {
    boolean urgent = announcementsChanged;
    announcementsChanged = false;
    sendPeerMessage(urgent);
  }

  private LeaderEligibility eligibility() {
    return stateExchange.eligibility(mayLead());
  }

  private boolean mayLead() {
    return knowsFleet() && !stopping;
  }

  /**
   * Sends the state of this daemon to its peers.
   *
   * @param urgent whether to send the message also to the leader, to all daemons of this data
   *     centre and to the relays of the others, even if no regular message to them is due; the
   *     leader sends it to all daemons
   */
  private void sendPeerMessage(boolean urgent) {
    DaemonState state = stateExchange.state(mayLead(), leading);
    CopyPositions positions =
        new CopyPositions(configurations.newest(), activeVersion(), nodes.newest());
    peers.send(state, positions, urgent);
  }

  private boolean hasOpenRequests(boolean refuseNew) {
    synchronized (lock) {
      if (refuseNew) {
        gateway.refuseNew();
      }
      return gateway.hasOpenRequests();
    }
  }

  /**
   * Stops the daemon gracefully: readiness fails, the balancer moves callers to other daemons, open
   * requests complete within the grace period or get a last answer, then all services stop. Blocks
   * until then.
   */
  public void stop() {
    StopSchedule schedule = new StopSchedule(System.nanoTime(), settings.bounds().graceMillis());
    synchronized (lock) {
      stopping = true;
      gateway.drain(schedule);
      sendPeerMessage(true);
      LOG.info("under_way={} outcome=stopping", gateway.inFlight());
    }
    PlannedStop planned = new PlannedStop(schedule);
    planned.await(System::nanoTime, Thread::sleep, this::hasOpenRequests);
    synchronized (lock) {
      LOG.info("under_way={} outcome=stopped", gateway.inFlight());
      gateway.endAll();
    }
    planned.awaitLastAnswers(System::nanoTime, Thread::sleep, this::hasOpenRequests);
    timers.stop();
    peers.stop();
    reactor.stop();
  }
}
