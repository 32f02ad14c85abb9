package org.fawnvale.serving.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.message.BasicHeader;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.demand.EngineTimes;
import org.fawnvale.serving.core.demand.OfferedLoad;
import org.fawnvale.serving.core.dispatch.CallerRetryDetector;
import org.fawnvale.serving.core.dispatch.Choice;
import org.fawnvale.serving.core.dispatch.DispatchRequest;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.dispatch.RetryAfterPolicy;
import org.fawnvale.serving.core.dispatch.RetryBudget;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.Route;
import org.fawnvale.serving.core.model.ServiceSpec;
import org.fawnvale.serving.core.model.Settings;
import org.fawnvale.serving.core.model.Workspace;
import org.fawnvale.serving.core.quarantine.Fingerprint;
import org.fawnvale.serving.core.route.RouteTable;
import org.fawnvale.serving.http.NodeClient;
import org.fawnvale.serving.http.Timers;
import org.fawnvale.serving.spi.HeaderNames;
import org.fawnvale.serving.spi.Platform;
import org.jspecify.annotations.Nullable;

/** What all requests share: routes, upstreams, budget, and the requests under way. */
public final class Gateway {

  private static final Logger LOG = LogManager.getLogger("gateway");
  private static final int DEFAULT_MAX_BODY = 1 << 20;

  /**
   * Another daemon, or a place that is free, needs no waiting: a caller that is back this soon can
   * still be answered in time.
   */
  private static final int RETRY_AFTER_MILLIS = 60;

  private static final int LOWEST_RANK = 9;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Timers timers;
  private final NodeClient client;
  private final Platform platform;
  private final Dispatcher dispatcher;
  private final Settings.Bounds bounds;
  private final Map<String, RetryBudget> budgets = new HashMap<>();
  private final Set<Forwarder> running = new LinkedHashSet<>();
  private final Set<String> ownHeaders;
  private final GatewayMetrics figures;
  private final RequestLog log;
  private final StreamMonitor streams;
  private final RequestQuarantine repeats;
  private final OfferedLoad offeredWork = new OfferedLoad();
  private final CallerRetryDetector returningCallers = new CallerRetryDetector();
  private final RetryAfterPolicy returnTimes = new RetryAfterPolicy();
  private final StartupRequestQueue early;
  private @Nullable RouteTable routes;
  private PermitRequester permitRequester = (node, told) -> told.accept(false);
  private int daemons = 1;
  private boolean draining;
  private boolean refusing;
  private boolean served;
  private int splitTurn;

  /**
   * Creates a gateway.
   *
   * @param timers holds the guard
   * @param client sends to upstreams
   * @param platform names of headers
   * @param dispatcher chooses upstreams
   * @param bounds times and rates promised
   * @param figures counts what happens
   */
  public Gateway(
      Timers timers,
      NodeClient client,
      Platform platform,
      Dispatcher dispatcher,
      Settings.Bounds bounds,
      GatewayMetrics figures) {
    this.timers = timers;
    this.client = client;
    this.platform = platform;
    this.dispatcher = dispatcher;
    this.bounds = bounds;
    this.figures = figures;
    this.log = new RequestLog(figures, dispatcher);
    this.streams = new StreamMonitor(dispatcher, figures);
    this.repeats = new RequestQuarantine(client, dispatcher, figures, this::barred);
    this.early = new StartupRequestQueue(timers, StartupRequestQueue.PATIENCE_MILLIS);
    HeaderNames names = platform.headers();
    this.ownHeaders =
        Set.of(
            lower(names.deadline()),
            lower(names.expectedNode()),
            lower(names.workspace()),
            lower(names.priority()),
            lower(HttpHeaders.AUTHORIZATION));
  }

  /** Asks the owner of a node's limit whether a request may be sent there. */
  @FunctionalInterface
  public interface PermitRequester {

    /**
     * Asks for leave for one request.
     *
     * @param node the node
     * @param told told once, while the guard is held, whether the request may go
     */
    void ask(Node node, Consumer<Boolean> told);
  }

  /**
   * Names who asks for leave where another daemon spends a node's limit; without it there is none.
   *
   * @param asker asks
   */
  public void setPermitRequester(PermitRequester asker) {
    permitRequester = asker;
  }

  PermitRequester permitRequester() {
    return permitRequester;
  }

  private static String lower(String name) {
    return name.toLowerCase(Locale.ROOT);
  }

  /**
   * Makes the handler of one request.
   *
   * @return the handler
   */
  public AsyncServerExchangeHandler handler() {
    return new CallerExchange(this);
  }

  /**
   * Puts routes in force.
   *
   * @param table the routes
   */
  public void routes(RouteTable table) {
    routes = table;
  }

  /** Tells that routes and upstreams are known: requests that came before are sent now. */
  public void onFleetKnown() {
    early.release();
  }

  /**
   * Tells how many daemons share the repeats.
   *
   * @param count their number, this one included
   */
  public void setDaemonCount(int count) {
    daemons = count;
  }

  /** Asks callers from now on not to use their connections again. */
  public void drain() {
    draining = true;
  }

  /** Refuses requests that come from now on: they could not end before the process does. */
  public void refuseNew() {
    refusing = true;
    early.release();
  }

  boolean isDraining() {
    return draining;
  }

  /**
   * Requests that are under way.
   *
   * @return their number
   */
  public int inFlight() {
    return running.size();
  }

  /**
   * Tells whether a request with a route has come.
   *
   * @return true once one has come
   */
  public boolean hasReceivedRequest() {
    return served;
  }

  Object guard() {
    return timers.lock();
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

  /** When a caller that is refused may come back: soon only where there is room for it. */
  int retryAfterMillis(CallerRequest request, Set<String> tried) {
    long left = (request.untilNanos() - System.nanoTime()) / NANOS_PER_MILLI;
    return dispatcher.choose(request.demand(), tried) instanceof Choice.Refuse refuse
        ? returnTimes.nextMillis(left, refuse.retryAfterNanos() / NANOS_PER_MILLI)
        : RETRY_AFTER_MILLIS;
  }

  boolean setsItself(String lowerCaseName) {
    return ownHeaders.contains(lowerCaseName);
  }

  static String seconds(int millis) {
    return String.format(Locale.ROOT, "%.3f", millis / 1000.0);
  }

  int rank(CallerRequest request) {
    Workspace workspace = request.workspace();
    boolean ranked = workspace != null && workspace.priority() >= 0;
    int rank = ranked && workspace != null ? workspace.priority() : request.route().priority();
    return Math.min(LOWEST_RANK, Math.max(0, rank));
  }

  /** Requests that wait until the daemon knows its fleet. */
  int waitingForFleet() {
    synchronized (guard()) {
      return early.waiting();
    }
  }

  /** Runs a request that has been read, at once or when the daemon knows its fleet. */
  void whenFleetIsKnown(Runnable request) {
    early.run(request);
  }

  @Nullable Forwarder forward(
      HttpRequest head, byte[] body, CallerResponse caller, long receivedNanos) {
    RouteTable table = routes;
    String id = Headers.value(head, headers().requestId());
    if (table == null || refusing) {
      answer(caller, id, 503, refusing ? "stopping" : "no configuration yet");
      return null;
    }
    String host = Headers.value(head, HttpHeaders.HOST);
    Route route = host == null ? null : table.find(host, head.getRequestUri());
    if (route == null) {
      answer(caller, id, 404, "no route, configuration " + table.configuration().version());
      return null;
    }
    if (id == null) {
      answer(caller, null, 400, "the request names no id");
      return null;
    }
    String authorization = Headers.value(head, HttpHeaders.AUTHORIZATION);
    String key = authorization == null ? null : platform.key(authorization);
    Workspace workspace = table.workspace(key);
    if (workspace == null && table.needsKey(route)) {
      answer(caller, id, 401, "unknown key, configuration " + table.configuration().version());
      return null;
    }
    CallerRequest request =
        new CallerRequest(
            id,
            head,
            body,
            route,
            demand(head, route),
            platform.size(head),
            workspace,
            table.configuration().version(),
            receivedNanos,
            receivedNanos
                + Math.min(route.timeoutMillis(), patienceMillis(head, route)) * NANOS_PER_MILLI);
    noteOffered(request, table.configuration());
    Forwarder forwarder = new Forwarder(this, request, caller);
    running.add(forwarder);
    served = true;
    budget(request.demand().service()).recordRequest(receivedNanos);
    figures.received(request.route().name());
    forwarder.start();
    return forwarder;
  }

  /** Callers that come back have been counted before. */
  private void noteOffered(CallerRequest request, Configuration configuration) {
    DispatchRequest demand = request.demand();
    ServiceSpec service = configuration.services().get(demand.service());
    EngineSpec engine = service == null ? null : service.engine();
    ModelSpec model = engine == null ? null : engine.model(demand.model());
    if (engine != null
        && model != null
        && demand.admissionClass() == DispatchRequest.AdmissionClass.FIRST) {
      double work = EngineTimes.workMillis(engine, model, request.size());
      offeredWork.record(model.name(), work, request.receivedNanos());
    }
  }

  /**
   * The work that callers ask of each model at this daemon.
   *
   * @return by model, how many groups it would keep busy
   */
  public Map<String, Double> offeredWork() {
    return offeredWork.busyGroups(System.nanoTime());
  }

  private void answer(CallerResponse caller, @Nullable String id, int status, String reason) {
    LOG.info("request={} status={} reason={}", id, status, reason);
    figures.ended("none", status, 0);
    List<Header> headers = new ArrayList<>();
    if (id != null) {
      headers.add(new BasicHeader(headers().requestId(), id));
    }
    if (status == 503) {
      headers.add(new BasicHeader(HttpHeaders.RETRY_AFTER, seconds(RETRY_AFTER_MILLIS)));
    }
    caller.whole(status, headers, new byte[0]);
  }

  private DispatchRequest demand(HttpRequest head, Route route) {
    String model = Headers.value(head, headers().model());
    boolean returning = returningCallers.isRetry(route.name(), patienceMillis(head, route));
    DispatchRequest.AdmissionClass claim =
        returning ? DispatchRequest.AdmissionClass.RETURNING : DispatchRequest.AdmissionClass.FIRST;
    return new DispatchRequest(service(route), model == null ? "" : model, claim);
  }

  /** How long the caller will wait; as long as its route allows when it does not say so. */
  private long patienceMillis(HttpRequest head, Route route) {
    String deadline = Headers.value(head, headers().deadline());
    if (deadline != null) {
      try {
        return Long.parseLong(deadline.trim());
      } catch (NumberFormatException e) {
        LOG.debug("A deadline can't be read and counts as absent: {}.", deadline);
      }
    }
    return route.timeoutMillis();
  }

  /** Spreads requests over the services of a route by their weights, evenly in turn. */
  private String service(Route route) {
    List<Route.Destination> destinations = route.destinations();
    if (destinations.size() == 1) {
      return destinations.get(0).service();
    }
    double total = 0;
    for (Route.Destination destination : destinations) {
      total += destination.weight();
    }
    splitTurn++;
    double golden = 0.618_033_988_75;
    double point = total * (splitTurn * golden - Math.floor(splitTurn * golden));
    for (Route.Destination destination : destinations) {
      point -= destination.weight();
      if (point < 0) {
        return destination.service();
      }
    }
    return destinations.get(destinations.size() - 1).service();
  }

  private RetryBudget budget(String service) {
    return budgets.computeIfAbsent(
        service,
        name ->
            new RetryBudget(
                bounds.retryRatio(),
                bounds.retrySlack(),
                bounds.retryWindowMillis() * NANOS_PER_MILLI));
  }

  boolean takeRepeat(String service) {
    boolean taken = budget(service).tryTake(daemons, System.nanoTime());
    figures.repeat(taken);
    return taken;
  }

  void forget(Forwarder forwarder) {
    running.remove(forwarder);
  }

  RequestLog log() {
    return log;
  }

  StreamMonitor streams() {
    return streams;
  }

  /**
   * What is known of requests that end the nodes that run them.
   *
   * @return the guard against their repeats
   */
  public RequestQuarantine quarantine() {
    return repeats;
  }

  /**
   * Gives up what is under way of a request that is barred from now on. It may be waiting at a node
   * that has not begun to run it: up to 0.8 s in a bad moment.
   */
  private void barred(Fingerprint fingerprint) {
    for (Forwarder forwarder : List.copyOf(running)) {
      if (forwarder.fingerprint().equals(fingerprint)) {
        forwarder.bar();
      }
    }
  }

  /**
   * Looks for heads that stand still, and takes their streams up elsewhere.
   *
   * @param peerSuspects heads that other daemons hold to be standing still
   */
  public void checkStreams(Set<String> peerSuspects) {
    RouteTable table = routes;
    if (table != null) {
      streams.look(running, table.configuration(), peerSuspects);
    }
  }
}
