package org.fawnvale.serving.gateway;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.dispatch.Choice;
import org.fawnvale.serving.core.dispatch.DispatchRequest;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.dispatch.RetryAfterPolicy;
import org.fawnvale.serving.core.flow.CallerMemory;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.Route;
import org.fawnvale.serving.core.model.ServiceSpec;
import org.fawnvale.serving.core.model.Settings;
import org.fawnvale.serving.core.pace.HeadPaces;
import org.fawnvale.serving.core.reach.UpstreamPath;
import org.fawnvale.serving.core.route.RouteTable;
import org.fawnvale.serving.core.shutdown.RouteDurations;
import org.fawnvale.serving.core.shutdown.StopAdmission;
import org.fawnvale.serving.core.shutdown.StopSchedule;
import org.fawnvale.serving.http.NodeClient;
import org.fawnvale.serving.http.Timers;
import org.fawnvale.serving.spi.HeaderNames;
import org.fawnvale.serving.spi.Platform;
import org.jspecify.annotations.Nullable;

/** Accepts callers' requests and holds what they share: routes, upstreams, retry budgets. */
public final class Gateway {

  private static final Logger LOG = LogManager.getLogger("gateway");
  private static final int DEFAULT_MAX_BODY = 1 << 20;

  /**
   * Retry-After in milliseconds if this or another daemon could take the request at once. It is
   * short so that the caller can still be answered in time.
   */
  static final int RETRY_AFTER_MILLIS = 60;

  /** The reason of the refusals of a daemon that stops. */
  static final String STOPPING = "stopping";

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Timers timers;
  private final NodeClient client;
  private final Platform platform;
  private final Dispatcher dispatcher;
  private final RetryBudgets retryBudgets;
  private final Set<Forwarder> running = new LinkedHashSet<>();
  private final Set<String> gatewayHeaders;
  private final GatewayMetrics metrics;
  private final RequestLog log;
  private final SilenceQuery silenceQuery;
  private final StreamMonitor streamMonitor;
  private final RequestQuarantine quarantine;
  private final OfferedWork offeredWork = new OfferedWork();
  private final RequestReader reader;
  private final RetryAfterPolicy returnTimes = new RetryAfterPolicy();
  private final StartupRequestQueue startupQueue;
  private final CallerBufferMonitor callerBuffers;
  private @Nullable RouteTable routes;
  private PermitRequester permitRequester = (node, result) -> result.accept(false);
  private UpstreamPath path = UpstreamPath.SOUND;
  private @Nullable PeerForwarding forwarding;
  private @Nullable AdmissionControl admission;
  private @Nullable WaitingCallers waitingCallers;
  private final Set<CallerExchange> open = new LinkedHashSet<>();
  private final RouteDurations routeDurations = new RouteDurations();
  private @Nullable StopAdmission stopAdmission;
  private boolean draining;
  private boolean refusingNew;
  private boolean ending;
  private boolean requestReceived;

  /**
   * Creates a gateway.
   *
   * @param timers runs delayed tasks and holds the lock
   * @param client sends requests to nodes
   * @param platform provides header names and parses headers
   * @param dispatcher chooses upstreams
   * @param bounds limits from the daemon's settings
   * @param callerMemory the account of the bytes that are held for callers
   * @param metrics metrics of the gateway
   * @param startedNanos the monotonic time at which the process started, in nanoseconds
   */
  public Gateway(
      Timers timers,
      NodeClient client,
      Platform platform,
      Dispatcher dispatcher,
      Settings.Bounds bounds,
      CallerMemory callerMemory,
      GatewayMetrics metrics,
      long startedNanos) {
    this.timers = timers;
    this.client = client;
    this.platform = platform;
    this.dispatcher = dispatcher;
    this.reader = new RequestReader(platform);
    this.metrics = metrics;
    this.retryBudgets = new RetryBudgets(bounds, metrics, startedNanos);
    this.log = new RequestLog(metrics, dispatcher, platform.headers().requestId());
    this.silenceQuery = new SilenceQuery(client, platform);
    this.streamMonitor =
        new StreamMonitor(
            dispatcher,
            metrics,
            new SilenceMonitor(dispatcher, silenceQuery, metrics, silenceQuery));
    this.quarantine =
        new RequestQuarantine(
            client, dispatcher, metrics, new QuarantineCancellation(running), this::upstreamPath);
    this.callerBuffers = new CallerBufferMonitor(callerMemory, timers, metrics);
    this.startupQueue = new StartupRequestQueue(timers, StartupRequestQueue.MAX_WAIT_MILLIS);
    HeaderNames names = platform.headers();
    this.gatewayHeaders =
        Set.of(
            lower(names.deadline()),
            lower(names.expectedNode()),
            lower(names.workspace()),
            lower(names.priority()),
            lower(PeerForwarding.ATTEMPTS),
            lower(HttpHeaders.AUTHORIZATION));
  }

  /** Requests permits from the daemons that own the limits of nodes. */
  @FunctionalInterface
  public interface PermitRequester {

    /**
     * Requests a permit for one request.
     *
     * @param node node that the request is for
     * @param result receives whether the permit was granted; called once, with the lock held
     */
    void request(Node node, Consumer<Boolean> result);
  }

  /**
   * Sets what requests permits for nodes whose limits other daemons own. Until it is set, no permit
   * is granted.
   *
   * @param requester requests the permits
   */
  public void setPermitRequester(PermitRequester requester) {
    permitRequester = requester;
  }

  /**
   * Admits requests by their predicted times, and by urgency if that is on. Without it, requests
   * are admitted by the number of requests in flight.
   *
   * @param control decides and keeps the metrics
   */
  public void setAdmission(AdmissionControl control) {
    admission = control;
    reader.setAdmission(control);
  }

  /** Returns what admits requests by predicted times; null when that is off. */
  @Nullable AdmissionControl admission() {
    return admission;
  }

  /**
   * Lets requests wait whose refusal would be final. Without it, they are refused at once.
   *
   * @param settings the bounds of the queue
   */
  public void setWaiting(Settings.Waiting settings) {
    waitingCallers = new WaitingCallers(settings, dispatcher, timers, metrics);
  }

  /** Returns the callers that wait for an upstream; null when that is off. */
  @Nullable WaitingCallers waitingCallers() {
    return waitingCallers;
  }

  /** Tells whether the urgency of a request admits it. */
  boolean admits(CallerRequest request) {
    AdmissionControl control = admission;
    return control == null || control.admits(request, RequestReader.rank(request));
  }

  /**
   * Computes the admission levels anew.
   *
   * @param others the load of the callers of all other daemons, by model and urgency
   */
  public void updateAdmission(Map<String, List<Double>> others) {
    AdmissionControl control = admission;
    RouteTable table = routes;
    ServiceSpec service = table == null ? null : table.configuration().engineService();
    if (control != null && service != null) {
      control.update(service.name(), others);
    }
  }

  /**
   * Returns the load of this daemon's callers.
   *
   * @return by model, the number of groups that requests of each urgency would keep busy; empty
   *     unless admission by urgency is on
   */
  public Map<String, List<Double>> offeredByUrgency() {
    AdmissionControl control = admission;
    return control == null ? Map.of() : control.offered();
  }

  /**
   * Sets what knows this daemon's path to the upstreams. Until it is set, the path counts as sound.
   *
   * @param upstreamPath the knowledge of the path
   */
  public void setUpstreamPath(UpstreamPath upstreamPath) {
    path = upstreamPath;
  }

  /**
   * Sets what knows the other members of a head's group. Until it is set, only heads are asked when
   * their streams are silent.
   *
   * @param members gives the listed members of a head's group without the head
   */
  public void setOtherMembers(Function<Node, Collection<Node>> members) {
    silenceQuery.setOtherMembers(members);
  }

  boolean isPathDoubtful() {
    return path.isDoubtful();
  }

  UpstreamPath upstreamPath() {
    return path;
  }

  PermitRequester permitRequester() {
    return permitRequester;
  }

  private static String lower(String name) {
    return name.toLowerCase(Locale.ROOT);
  }

  /**
   * Creates the handler of one request.
   *
   * @return a new handler
   */
  public AsyncServerExchangeHandler handler() {
    return new CallerExchange(this, false);
  }

  /**
   * Creates the handler of one request that another daemon forwards for its caller.
   *
   * @return a new handler
   */
  public AsyncServerExchangeHandler forwardedHandler() {
    return new CallerExchange(this, true);
  }

  /**
   * Lets other daemons serve requests while this one does not reach upstreams. Without it, they are
   * refused.
   *
   * @param peerForwarding forwards the requests
   */
  public void setPeerForwarding(PeerForwarding peerForwarding) {
    forwarding = peerForwarding;
  }

  /** Returns what forwards requests to other daemons; null when there is none. */
  @Nullable PeerForwarding peerForwarding() {
    return forwarding;
  }

  /**
   * Lets other daemons serve the requests in flight, because this one has lost its path and another
   * one hears upstreams.
   */
  public void onPathLost() {
    PeerForwarding peers = forwarding;
    if (peers != null && peers.isPossible()) {
      List.copyOf(running).forEach(Forwarder::leaveLostPath);
    }
  }

  /**
   * Replaces the routes.
   *
   * @param table new routes
   */
  public void routes(RouteTable table) {
    routes = table;
    Set<String> names =
        table.configuration().routes().stream().map(Route::name).collect(Collectors.toSet());
    metrics.retainRoutes(names);
    reader.retainRoutes(names);
    routeDurations.retainRoutes(names);
  }

  /** Forwards the requests that waited until routes and upstreams were known. */
  public void onFleetKnown() {
    startupQueue.release();
  }

  /**
   * Sets how many daemons share the retry budgets.
   *
   * @param count number of daemons, this one included; 0 if not known
   */
  public void setDaemonCount(int count) {
    retryBudgets.setDaemonCount(count);
  }

  /**
   * Starts to announce with each response that the caller's connection closes after it, and refuses
   * the requests that wait for an upstream.
   */
  public void drain() {
    draining = true;
    WaitingCallers queue = waitingCallers;
    if (queue != null) {
      queue.stop();
    }
  }

  /**
   * Drains, and begins at upstreams only what can be expected to end before the process exits.
   *
   * @param schedule when it exits
   */
  public void drain(StopSchedule schedule) {
    stopAdmission = new StopAdmission(schedule, routeDurations);
    drain();
  }

  /** Starts to refuse new requests, because the process exits before they could complete. */
  public void refuseNew() {
    refusingNew = true;
    startupQueue.release();
  }

  /**
   * Ends the requests in flight, because the process exits: each gets a last answer, unless one has
   * begun. Those that have not been received whole, or that come later, are refused.
   */
  public void endAll() {
    refuseNew();
    ending = true;
    List.copyOf(running).forEach(Forwarder::endBeforeExit);
    List.copyOf(open).forEach(CallerExchange::refuseIncomplete);
  }

  /** Returns whether the process exits before a request's body could arrive. */
  boolean isEnding() {
    return ending;
  }

  /** Returns whether a request can be expected to end before the process exits. */
  boolean mayBegin(CallerRequest request) {
    StopAdmission admittedAtStop = stopAdmission;
    return admittedAtStop == null
        || admittedAtStop.mayBegin(
            request.route().name(), request.deadlineNanos(), System.nanoTime());
  }

  /** Records how long a request took that has been answered. */
  void recordAnswered(CallerRequest request) {
    long nanos = System.nanoTime() - request.receivedNanos();
    routeDurations.record(request.route().name(), nanos);
  }

  boolean isDraining() {
    return draining;
  }

  /**
   * Returns the number of requests in flight.
   *
   * @return number of requests that have not ended
   */
  public int inFlight() {
    return running.size();
  }

  /** Counts a request whose head has been received. */
  void requestOpened(CallerExchange exchange) {
    open.add(exchange);
  }

  /** Counts a request whose response has been sent, or whose caller has left. */
  void requestClosed(CallerExchange exchange) {
    open.remove(exchange);
  }

  /**
   * Returns whether any caller still sends its request or waits for bytes of its response. A
   * request in flight is open, and so is one whose response is complete here but not yet read.
   *
   * @return false if closing all connections would lose nothing
   */
  public boolean hasOpenRequests() {
    return !open.isEmpty();
  }

  /**
   * Returns whether any valid request has been received.
   *
   * @return true from the first request that was forwarded
   */
  public boolean hasReceivedRequest() {
    return requestReceived;
  }

  Object lock() {
    return timers.lock();
  }

  GatewayMetrics metrics() {
    return metrics;
  }

  Timers timers() {
    return timers;
  }

  NodeClient client() {
    return client;
  }

  Platform platform() {
    return platform;
  }

  HeaderNames headers() {
    return platform.headers();
  }

  Dispatcher dispatcher() {
    return dispatcher;
  }

  int maxBodyBytes() {
    RouteTable table = routes;
    return table == null ? DEFAULT_MAX_BODY : table.configuration().maxBodyBytes();
  }

  /**
   * Returns the Retry-After of a refused request, in milliseconds; {@link #RETRY_AFTER_MILLIS} if
   * an upstream could take the request now.
   *
   * @param byUrgency whether the request was refused for the sake of more urgent ones, so that an
   *     upstream with room does not count
   */
  int retryAfterMillis(CallerRequest request, Set<String> tried, boolean byUrgency) {
    long remainingMillis = (request.deadlineNanos() - System.nanoTime()) / NANOS_PER_MILLI;
    AdmissionControl control = admission;
    if (control != null && control.isCutting(request.demand())) {
      return control.retryAfterMillis(
          request.demand(), RequestReader.rank(request), remainingMillis);
    }
    if (byUrgency) {
      return returnTimes.nextMillis(remainingMillis, 0);
    }
    return dispatcher.choose(request.demand(), tried) instanceof Choice.Refuse refuse
        ? returnTimes.nextMillis(remainingMillis, refuse.retryAfterNanos() / NANOS_PER_MILLI)
        : RETRY_AFTER_MILLIS;
  }

  boolean isSetByGateway(String lowerCaseName) {
    return gatewayHeaders.contains(lowerCaseName);
  }

  static String seconds(int millis) {
    return String.format(Locale.ROOT, "%.3f", millis / 1000.0);
  }

  /** Returns the number of requests that wait until the nodes are known. */
  int queuedForFleet() {
    synchronized (lock()) {
      return startupQueue.queued();
    }
  }

  /** Runs a received request as soon as the nodes are known. */
  void whenFleetKnown(Runnable request) {
    startupQueue.run(request);
  }

  /**
   * Checks a request and forwards it, or responds with an error status.
   *
   * @param forwarded whether another daemon forwards it for its caller
   * @return forwarder of the request; null if the request was refused
   */
  @Nullable Forwarder forward(
      HttpRequest head, byte[] body, CallerResponse caller, long receivedNanos, boolean forwarded) {
    String id = Headers.value(head, headers().requestId());
    Refusal refusal = new Refusal(this, caller, id, forwarded);
    try {
      return forward(head, body, caller, receivedNanos, forwarded, refusal);
    } catch (RuntimeException e) {
      LOG.error("request={} why={} outcome=fault_of_daemon", id, e.toString(), e);
      metrics.failedInside();
      refusal.respond(HttpStatus.SC_INTERNAL_SERVER_ERROR, "fault of the daemon");
      return null;
    }
  }

  private @Nullable Forwarder forward(
      HttpRequest head,
      byte[] body,
      CallerResponse caller,
      long receivedNanos,
      boolean forwarded,
      Refusal refusal) {
    RouteTable table = routes;
    String unavailable = unavailableBecause(table, forwarded);
    if (table == null || unavailable != null) {
      refusal.respond(503, String.valueOf(unavailable));
      return null;
    }
    RequestReader.Result result =
        reader.read(OriginForm.of(head), body, table, receivedNanos, forwarded);
    if (result instanceof RequestReader.Rejected rejected) {
      refusal.respond(rejected.status(), rejected.reason());
      return null;
    }
    CallerRequest request = ((RequestReader.Accepted) result).request();
    return start(request, caller, table.configuration());
  }

  private Forwarder start(
      CallerRequest request, CallerResponse caller, Configuration configuration) {
    if (request.isForwarded()) {
      metrics.forwardedHere();
    } else {
      offeredWork.record(request, configuration);
      retryBudgets.recordRequest(request.demand().service(), request.receivedNanos());
    }
    metrics.received(request.route().name());
    Forwarder forwarder = new Forwarder(this, request, caller);
    running.add(forwarder);
    requestReceived = true;
    forwarder.start();
    return forwarder;
  }

  private boolean isRefusingNew() {
    StopAdmission admittedAtStop = stopAdmission;
    return refusingNew || admittedAtStop != null && admittedAtStop.isRefusingNew(System.nanoTime());
  }

  /** Returns why no request can be taken on now; null if one can. */
  private @Nullable String unavailableBecause(@Nullable RouteTable table, boolean forwarded) {
    if (isRefusingNew()) {
      return STOPPING;
    }
    if (table == null) {
      return "no configuration yet";
    }
    return forwarded && path.isLost() ? "forwarded, but no upstream is reached" : null;
  }

  /**
   * Returns the work that callers offer this daemon.
   *
   * @return number of groups that the work would keep busy, by model
   */
  public Map<String, Double> offeredWork() {
    return offeredWork.busyGroups();
  }

  CallerBufferMonitor callerBuffers() {
    return callerBuffers;
  }

  /** Refuses a request whose body was not read to its end. */
  void refuseUnreadBody(HttpRequest head, CallerResponse caller, int status, String reason) {
    String id = Headers.value(head, headers().requestId());
    new Refusal(this, caller, id, false).respond(status, reason);
  }

  boolean takeRetry(String service) {
    return retryBudgets.take(service);
  }

  /** Logs the retry budgets that were used since the last call. */
  public void logRetryBudgets() {
    retryBudgets.logSummary();
  }

  /** Counts a request as in flight no longer. */
  void remove(Forwarder forwarder) {
    running.remove(forwarder);
  }

  /** Lets requests that wait for an upstream look for one, since another request has ended. */
  void wakeWaiting(DispatchRequest demand) {
    WaitingCallers queue = waitingCallers;
    if (queue != null) {
      queue.requestEnded(demand);
    }
  }

  RequestLog log() {
    return log;
  }

  StreamMonitor streamMonitor() {
    return streamMonitor;
  }

  /** Returns the quarantine of requests that crash nodes. */
  public RequestQuarantine quarantine() {
    return quarantine;
  }

  /**
   * Starts to observe the pace of heads by the events of their streams.
   *
   * @param paces receives the events
   */
  public void observePaces(HeadPaces paces) {
    streamMonitor.observe(paces);
  }

  /**
   * Detects stalled heads and moves their streams to other upstreams.
   *
   * @param peerSuspects ids of the heads that other daemons suspect of a stall
   */
  public void checkStreams(Set<String> peerSuspects) {
    RouteTable table = routes;
    if (table != null) {
      streamMonitor.check(running, table.configuration(), peerSuspects);
    }
  }
}
