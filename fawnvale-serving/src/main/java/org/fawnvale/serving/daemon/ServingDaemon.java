package org.fawnvale.serving.daemon;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.demand.ModelDemand;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.dispatch.StallDetector;
import org.fawnvale.serving.core.dispatch.UpstreamGate;
import org.fawnvale.serving.core.formation.StallEvidence;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.ServiceSpec;
import org.fawnvale.serving.core.model.Settings;
import org.fawnvale.serving.core.peer.DaemonState;
import org.fawnvale.serving.core.peer.LeaderEligibility;
import org.fawnvale.serving.core.peer.PeerMessage;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.fawnvale.serving.core.route.RouteTable;
import org.fawnvale.serving.core.watch.CopyDelays;
import org.fawnvale.serving.core.watch.CopyPositions;
import org.fawnvale.serving.core.watch.DepartureDetector;
import org.fawnvale.serving.core.watch.PollIntervals;
import org.fawnvale.serving.formation.FormationService;
import org.fawnvale.serving.gateway.Gateway;
import org.fawnvale.serving.gateway.GatewayMetrics;
import org.fawnvale.serving.http.HttpClient;
import org.fawnvale.serving.http.HttpReactor;
import org.fawnvale.serving.http.NodeClient;
import org.fawnvale.serving.http.Timers;
import org.fawnvale.serving.limit.LimitPermitService;
import org.fawnvale.serving.limit.OwnerClient;
import org.fawnvale.serving.limit.TrialPermitService;
import org.fawnvale.serving.peer.Peers;
import org.fawnvale.serving.spi.Platform;
import org.fawnvale.serving.store.EraChange;
import org.fawnvale.serving.store.MergePolicy;
import org.fawnvale.serving.store.PeerCopyExchange;
import org.fawnvale.serving.store.QuarantineStore;
import org.fawnvale.serving.store.StoreCallMetrics;
import org.fawnvale.serving.store.StoreWatch;
import org.jspecify.annotations.Nullable;

/** An entry daemon: gateway, store copies, peers and, while it leads, the formation of groups. */
public final class ServingDaemon {

  private static final Logger LOG = LogManager.getLogger("daemon");

  /**
   * How often the streams are looked at. One timer for all that is done regularly: three of their
   * own, of 20, 50 and 150 ms, woke an idle daemon 77 times a second instead of 40.
   */
  private static final int TICK_MILLIS = 25;

  /** Ticks between two looks of the leader at the groups. */
  private static final int FORMATION_TICKS = 2;

  /** Ticks between two notes: 150 ms. */
  private static final int NOTE_TICKS = 6;

  private static final int FOLLOWER_TURNS = 2;
  private static final int COPY_PORT_OFFSET = 2;

  /** Versions that come in quick succession are taken together: each call costs. */
  private static final int CONFIGURATION_REST_MILLIS = 400;

  /**
   * How long a connection to the store may be silent unnoticed, so that a configuration that is
   * acknowledged three seconds after the silence began is in force two seconds later.
   */
  private static final int SHORT_WAIT_MILLIS = 2_500;

  /** Daemons that peers tell of newer configurations make few calls: each costs. */
  private static final int LONG_WAIT_MILLIS = 28_000;

  private static final int HOUSEKEEPING_MILLIS = 1_000;

  /** A line a daemon each ten seconds tells who has paid for what. */
  private static final int SUMMARY_MILLIS = 10_000;

  /**
   * How long a daemon hears others before it may lead. Daemons that start together are busy for a
   * second and hear each other late: with 0.9 s four of 78 led at once, each with plans of its own.
   */
  private static final long SETTLE_NANOS = 2_000_000_000L;

  private static final double NANOS_PER_SECOND = 1e9;

  private final Settings settings;
  private final Platform platform;
  private final Object guard = new Object();
  private final Timers timers = new Timers(guard);
  private final HttpReactor reactor;
  private final HttpClient client;
  private final UpstreamGate gate;
  private final Dispatcher dispatcher;
  private final PollIntervals cadence;
  private final UpstreamSelector fleet;
  private final Gateway gateway;
  private final Peers peers;
  private final FormationService formation;
  private final StoreWatch<Configuration> configurations;
  private final StoreWatch<Node> nodes;
  private final ClusterView sight;
  private final HeadSuspicions suspicions;
  private final PeerCopyExchange<Configuration> configurationCopies;
  private final PeerCopyExchange<Node> nodeCopies;
  private final QuarantinePersistence barred;
  private final LimitPermitService limitDesk;
  private final TrialPermitService trialDesk;
  private final SharedStateUpdates news;
  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final StoreCallMetrics storeFigures = new StoreCallMetrics(registry);
  private final StoreRollbackReporter returns = new StoreRollbackReporter(registry);
  private final long startedNanos = System.nanoTime();
  private @Nullable Configuration configuration;
  private boolean stopping;
  private boolean leads;
  private final DepartureDetector leavingNews = new DepartureDetector();
  private GroupAnnouncements announcedBefore = GroupAnnouncements.NOTHING;
  private boolean groupsAreNews;
  private boolean upstreamsAreOld;
  private boolean fleetIsKnown;
  private int turn;
  private int formationTurn;
  private long servedSinceNanos;

  private ServingDaemon(Settings settings, Platform platform, HttpReactor reactor)
      throws IOException {
    this.settings = settings;
    this.platform = platform;
    this.reactor = reactor;
    this.client = new HttpClient(reactor, timers);
    RendezvousOwners owners =
        new RendezvousOwners(
            new RendezvousOwners.Daemon(
                settings.name(), settings.address(), settings.dataCentre()));
    SharedLimits limits = new SharedLimits(owners);
    this.gate = new UpstreamGate(limits);
    OwnerClient ownerCalls =
        new OwnerClient(client, timers, settings.peerPort() + COPY_PORT_OFFSET);
    this.limitDesk = new LimitPermitService(ownerCalls, limits, registry);
    this.dispatcher = new Dispatcher(settings.dataCentre(), gate, System::nanoTime);
    dispatcher.setConnected(client::hasIdle);
    NodeClient toNodes = new NodeClient(client, timers, gate, platform::answer, registry);
    toNodes.onLeaving(() -> upstreamsAreOld = true);
    this.cadence = new PollIntervals(settings.bounds().leavingMillis());
    this.fleet = new UpstreamSelector(settings.policy().cutsAreNoDeaths());
    GatewayMetrics figures = new GatewayMetrics(registry);
    this.gateway = new Gateway(timers, toNodes, platform, dispatcher, settings.bounds(), figures);
    gateway.setPermitRequester(limitDesk::requestPermit);
    registry.gauge("fawnvale.platform.names.unread", platform, Platform::unrecognizedNames);
    this.trialDesk = new TrialPermitService(ownerCalls, owners, gateway.quarantine()::grantTrial);
    gateway.quarantine().setTrialRequester(trialDesk::requestPermit);
    this.news = new SharedStateUpdates(owners, gateway.quarantine(), limits, limitDesk);
    long incarnation = System.currentTimeMillis();
    this.peers = Peers.open(settings, guard, incarnation, this::placesOfPeer, news);
    this.formation = new FormationService(settings, peers, toNodes, platform, incarnation);
    this.configurations =
        new StoreWatch<>(
            client,
            timers,
            settings.store(),
            platform,
            Platform.Kind.CONFIGURATION,
            platform::configurations,
            new StoreWatch.Pace(() -> CONFIGURATION_REST_MILLIS, this::configurationWaitMillis),
            false,
            (known, told) -> told == null || known.version() > told.version(),
            storeFigures,
            this::configurationChanged);
    this.nodes =
        new StoreWatch<>(
            client,
            timers,
            settings.store(),
            platform,
            Platform.Kind.NODES,
            platform::nodes,
            new StoreWatch.Pace(this::nodesRestMillis, () -> SHORT_WAIT_MILLIS),
            settings.firstStart(),
            MergePolicy.ofStore(),
            storeFigures,
            this::nodesChanged);
    this.sight = new ClusterView(settings, peers, configurations, nodes, gate);
    this.suspicions = new HeadSuspicions(settings.dataCentre(), dispatcher, peers);
    this.configurationCopies =
        copiesOf(
            configurations, "/copies/configuration", Configuration.class, CopyDelays.CONFIGURATION);
    QuarantineStore quarantine =
        new QuarantineStore(
            client,
            timers,
            settings.store(),
            platform,
            System::currentTimeMillis,
            gateway.quarantine()::receive);
    this.barred = new QuarantinePersistence(gateway.quarantine(), quarantine);
    this.nodeCopies = copiesOf(nodes, "/copies/nodes", Node.class, cadence.copyDelays());
  }

  private <T> PeerCopyExchange<T> copiesOf(
      StoreWatch<T> watch, String path, Class<T> content, CopyDelays times) {
    int port = settings.peerPort() + COPY_PORT_OFFSET;
    return new PeerCopyExchange<>(client, timers, watch, path, port, content, times);
  }

  /**
   * Starts a daemon.
   *
   * @param settings its settings
   * @param platform the adapter to the platform
   * @param callers listens for callers already
   * @return the running daemon
   * @throws IOException when an address can't be bound
   */
  public static ServingDaemon start(Settings settings, Platform platform, EarlyListener callers)
      throws IOException {
    ServingDaemon daemon = new ServingDaemon(settings, platform, callers.reactor());
    daemon.begin(callers);
    return daemon;
  }

  private void begin(EarlyListener callers) {
    synchronized (guard) {
      configurations.onEraChange(this::configurationWentBack);
      nodes.onEraChange(this::nodesWentBack);
      configurations.start();
      nodes.start();
      barred.begin(!settings.firstStart());
    }
    listenForPages();
    callers.serve(gateway::handler);
    timers.every(TICK_MILLIS, this::tick);
    timers.every(HOUSEKEEPING_MILLIS, client::closeExpired);
    timers.every(SUMMARY_MILLIS, this::logCosts);
    LOG.info(
        "name={} data_centre={} frontend={} outcome=started",
        settings.name(),
        settings.dataCentre(),
        settings.frontend());
  }

  /** What one copy has learned of the store's history the other one must not learn late. */
  private void configurationWentBack(EraChange<Configuration> change) {
    returns.tell(Platform.Kind.CONFIGURATION, change, configurations.objects().keySet());
    nodes.hearOf(change.now().era());
  }

  private void nodesWentBack(EraChange<Node> change) {
    returns.tell(Platform.Kind.NODES, change, nodes.objects().keySet());
    sight.storeWentBack(change);
    configurations.hearOf(change.now().era());
  }

  private void listenForPages() {
    DaemonEndpoints pages =
        new DaemonEndpoints(
            platform.readyPath(), registry, nodeCopies, configurationCopies, limitDesk, trialDesk);
    reactor.listen(
        settings.ready(),
        () -> new SimpleResponseHandler(guard, target -> pages.ready(target, isReady())));
    reactor.listen(
        settings.metrics(), () -> new SimpleResponseHandler(guard, target -> pages.figures()));
    Endpoint forPeers = new Endpoint(settings.address(), settings.peerPort() + COPY_PORT_OFFSET);
    reactor.listen(forPeers, () -> new SimpleResponseHandler(guard, pages::forPeers));
  }

  private boolean isReady() {
    return configuration != null && nodes.place().isKnown() && !stopping;
  }

  private int nodesRestMillis() {
    return leads ? cadence.leaderIntervalMillis(formation.isForming()) : cadence.intervalMillis();
  }

  /** One daemon of each data centre asks often, and its notes tell the others what is new. */
  private int configurationWaitMillis() {
    return peers.isDataCentreWatcher(standing()) ? SHORT_WAIT_MILLIS : LONG_WAIT_MILLIS;
  }

  private void logCosts() {
    LOG.info("store_calls {}", storeFigures.summary());
    LOG.info("connections {}", client.summary());
  }

  private void configurationChanged() {
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
   * What has changed is looked at with the next tick: a look goes through all nodes, 5 ms at 1,000
   * of them, and while groups form there is a change every few milliseconds.
   */
  private void nodesChanged() {
    Set<String> leaving = leavingNews.update(nodes.objects().values());
    if (!leaving.isEmpty()) {
      LOG.info(
          "leaving={} place={} by={}", leaving, nodes.place(), nodes.isActive() ? "store" : "peer");
    }
    if (!leaving.isEmpty() && nodes.isActive()) {
      tellPeers(true);
    }
    upstreamsAreOld = true;
    if (!fleetIsKnown) {
      refreshUpstreams();
    }
  }

  private void refreshUpstreams() {
    Configuration current = configuration;
    if (current == null) {
      return;
    }
    upstreamsAreOld = false;
    GroupAnnouncements announced = announced();
    List<Node> serving = fleet.serving(sight.listedNodes(), current, announced);
    suspicions.learn(serving, nodes.objects().keySet());
    dispatcher.setUpstreams(serving);
    dispatcher.retain(nodes.objects().keySet());
    if (!fleetIsKnown && nodes.place().isKnown()) {
      fleetIsKnown = true;
      gateway.onFleetKnown();
    }
  }

  private GroupAnnouncements announced() {
    if (leads) {
      return new GroupAnnouncements(formation.recentlyOpened(), formation.recentlyClosed());
    }
    PeerMessage leader = peers.election().leaderMessage();
    return leader == null
        ? GroupAnnouncements.NOTHING
        : new GroupAnnouncements(leader.groups(), leader.closed());
  }

  private Collection<Node> engines() {
    Configuration current = configuration;
    return current == null ? List.of() : UpstreamSelector.engines(sight.listedNodes(), current);
  }

  private static @Nullable EngineSpec engineOf(Configuration configuration) {
    ServiceSpec service = configuration.engineService();
    return service == null ? null : service.engine();
  }

  private void placesOfPeer(String address, boolean isNear, CopyPositions places) {
    boolean goesBefore = places.version() > versionInForce();
    configurationCopies.hear(
        new PeerCopyExchange.Told(address, isNear, places.configuration(), goesBefore));
    nodeCopies.hear(new PeerCopyExchange.Told(address, isNear, places.nodes(), false));
  }

  private long versionInForce() {
    Configuration current = configuration;
    return current == null ? CopyPositions.NONE.version() : current.version();
  }

  private void tick() {
    turn++;
    watchStreams();
    watchNews();
    if (turn % FORMATION_TICKS == 0) {
      formGroups();
    }
    if (turn % NOTE_TICKS == 0) {
      tellPeersRegularly();
    }
  }

  private void watchStreams() {
    if (gateway.inFlight() == 0) {
      return;
    }
    Set<String> shared = suspicions.ofPeers();
    dispatcher.setReportedSuspects(shared);
    int before = suspicions.countOfOwn();
    if (StallDetector.isWarmedUp(System.nanoTime() - startedNanos)) {
      gateway.checkStreams(shared);
    }
    if (suspicions.countOfOwn() > before) {
      tellPeers(true);
    }
    suspicions.expire(System.nanoTime());
  }

  /**
   * What ends under a request is told at once: its caller asks another daemon within a second. So
   * is a limit that a node names: until they know it the others send what they always did.
   */
  private void watchNews() {
    gateway.quarantine().confirmRemoteExits();
    if (news.takeNews()) {
      tellPeers(true);
    }
  }

  private void formGroups() {
    Configuration current = configuration;
    EngineSpec engine = current == null ? null : engineOf(current);
    formationTurn++;
    boolean due = leads || formationTurn % FOLLOWER_TURNS == 0;
    if (!due) {
      return;
    }
    seeWhoIsInTouch();
    if (engine != null) {
      sight.learnFromPeers();
      decideWhoLeads();
      plan(engine);
      learnFromPeers();
    }
    if (upstreamsAreOld) {
      refreshUpstreams();
    }
  }

  private void seeWhoIsInTouch() {
    Map<String, PeerMessage> live = peers.live();
    news.see(live.values(), peers.recentlySeenCount());
    dispatcher.setDaemonCount(live.size() + 1);
  }

  private void decideWhoLeads() {
    boolean led = leads;
    leads = peers.decide(standing());
    LeaderEligibility standing = standing();
    nodes.active(leads || !nodes.place().isKnown() || peers.isDataCentreWatcher(standing));
    if (leads && !led) {
      tellPeers(true);
    }
    barred.look(leads, configurations.place().era());
  }

  private void plan(EngineSpec engine) {
    if (gateway.hasReceivedRequest() || peers.servedElsewhere()) {
      formation.boundLoads();
      servedSinceNanos = servedSinceNanos == 0 ? System.nanoTime() : servedSinceNanos;
    }
    Set<String> inSight = sight.dataCentres(dispatcher);
    if (settings.policy().cutsAreNoDeaths()) {
      dispatcher.setReachable(inSight::contains);
    }
    if (leads) {
      lead(engine, inSight);
    } else {
      formation.stopLeading();
    }
  }

  private void lead(EngineSpec engine, Set<String> inSight) {
    List<StallEvidence.Observation> witnesses = suspicions.witnesses();
    boolean suspected = witnesses.stream().anyMatch(witness -> !witness.suspects().isEmpty());
    if (formation.isPlanDue(nodes.place(), suspected)) {
      Collection<Node> engines = engines();
      formation.planAndSend(engines, engine, demand(engine), witnesses, inSight, resting(engines));
    }
  }

  private Set<String> resting(Collection<Node> engines) {
    long now = System.nanoTime();
    Set<String> resting = new HashSet<>();
    for (Node node : engines) {
      if (gate.isPaused(node.incarnation(), now)) {
        resting.add(node.id());
      }
    }
    return resting;
  }

  private void learnFromPeers() {
    GroupAnnouncements announced = announced();
    boolean isNews = !announced.equals(announcedBefore);
    if (isNews || sight.changesWithTime()) {
      announcedBefore = announced;
      upstreamsAreOld = true;
    }
    groupsAreNews |= isNews && leads;
    Peers.UpstreamReports told = peers.upstreamReports();
    dispatcher.setPeersInFlight(told.inFlight());
    dispatcher.setReportedRejecting(told.rejecting());
    gateway.setDaemonCount(peers.knownDaemonCount());
  }

  /**
   * What the leader tells of groups goes to all with its next note; more often would fill links.
   */
  private void tellPeersRegularly() {
    boolean isNews = groupsAreNews;
    groupsAreNews = false;
    tellPeers(isNews);
  }

  private ModelDemand demand(EngineSpec engine) {
    if (!settings.policy().observedDemand() || servedSinceNanos == 0) {
      return ModelDemand.declared(engine);
    }
    Map<String, Double> work = new HashMap<>(peers.offeredWork());
    gateway.offeredWork().forEach((model, groups) -> work.merge(model, groups, Double::sum));
    double seconds = (System.nanoTime() - servedSinceNanos) / NANOS_PER_SECOND;
    return ModelDemand.observed(engine, work, seconds);
  }

  private LeaderEligibility standing() {
    boolean settled = System.nanoTime() - startedNanos > SETTLE_NANOS;
    if (!settled || stopping || !nodes.place().isKnown() || configuration == null) {
      return LeaderEligibility.INELIGIBLE;
    }
    if (sight.storeAnswers()) {
      return LeaderEligibility.ELIGIBLE;
    }
    boolean alone = peers.knownDaemonCount() > 1 && peers.live().isEmpty();
    return alone ? LeaderEligibility.INELIGIBLE : LeaderEligibility.WITHOUT_STORE;
  }

  private void tellPeers(boolean isNews) {
    Map<String, Integer> inFlight = new HashMap<>();
    dispatcher
        .states()
        .forEach(
            (node, state) -> {
              if (state.inFlight() > 0) {
                inFlight.put(node, state.inFlight());
              }
            });
    DaemonState state =
        new DaemonState(
            standing(),
            gateway.hasReceivedRequest(),
            inFlight,
            gateway.offeredWork(),
            suspicions.own(),
            dispatcher.rejecting(),
            leads ? formation.recentlyOpened() : List.of(),
            leads ? formation.recentlyClosed() : List.of());
    CopyPositions places =
        new CopyPositions(configurations.newest(), versionInForce(), nodes.newest());
    peers.send(state, places, isNews);
  }

  private boolean refusesAndIsBusy(boolean refuse) {
    synchronized (guard) {
      if (refuse) {
        gateway.refuseNew();
      }
      return gateway.inFlight() > 0;
    }
  }

  /** Stops: readiness turns false, callers move away, requests under way end, then all ends. */
  public void stop() {
    long begun = System.nanoTime();
    synchronized (guard) {
      stopping = true;
      gateway.drain();
      tellPeers(true);
      LOG.info("under_way={} outcome=stopping", gateway.inFlight());
    }
    PlannedStop planned = new PlannedStop(begun, settings.bounds().graceMillis());
    planned.await(System::nanoTime, Thread::sleep, this::refusesAndIsBusy);
    LOG.info("under_way={} outcome=stopped", gateway.inFlight());
    timers.stop();
    peers.stop();
    reactor.stop();
  }
}
