package org.fawnvale.serving.core.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.function.DoubleUnaryOperator;
import java.util.function.LongSupplier;
import java.util.function.LongUnaryOperator;
import org.fawnvale.serving.core.demand.EngineTimes;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.model.NodeResponse;
import org.fawnvale.serving.core.model.RequestSize;
import org.fawnvale.serving.core.peer.RendezvousOwners;

/**
 * Simulates callers of streams, many daemons with a dispatcher each, and the heads of one model,
 * whose times follow the published performance parameters. Daemons learn of each other's requests
 * only by periodic messages. Reports what share of the callers is answered in time.
 */
final class LoadSimulation {

  private static final int DATA_CENTRES = 3;
  private static final double MESSAGE_SECONDS = 0.3;
  private static final double MESSAGE_DELAY_SECONDS = 0.15;
  private static final double WARM_UP_SECONDS = 2;
  private static final double DRAIN_SECONDS = 8;
  private static final int EVENT_TOKENS = 5;
  private static final int MAX_REJECTIONS = 3;

  private final Load load;
  private final RejectionPhase phase;
  private final RejectionHandling handling;
  private final ReturnPolicy returns;
  private final Random random;
  private final List<Daemon> daemons = new ArrayList<>();
  private final Map<String, Head> heads = new HashMap<>();
  private final Queue<Event> events =
      new PriorityQueue<>((one, other) -> Double.compare(one.at(), other.at()));
  private final double reportAgeSeconds;
  private double now;
  private int offered;
  private int inTime;
  private int late;
  private int lost;
  private int refused;

  /**
   * The simulated load.
   *
   * @param engine the engines
   * @param model the model
   * @param daemons the number of daemons
   * @param heads the number of heads that serve the model
   * @param rate requests per second at a time in seconds
   * @param seconds how long callers send requests
   * @param firstMillis the least time to a first event at an idle head, in milliseconds
   * @param targetMillis the target time to a first event, in milliseconds
   * @param deadlineMillis how long a caller waits, in milliseconds
   */
  record Load(
      EngineSpec engine,
      ModelSpec model,
      int daemons,
      int heads,
      DoubleUnaryOperator rate,
      double seconds,
      double firstMillis,
      double targetMillis,
      long deadlineMillis) {}

  /**
   * What callers got, as shares of all callers.
   *
   * @param inTime answered, with the first event in time since the first attempt
   * @param late answered late
   * @param lost not answered
   * @param refused refusals, including those of callers that were served later
   */
  record Outcome(double inTime, double late, double lost, double refused) {}

  /**
   * A phase in which some heads reject all requests.
   *
   * @param from when it begins, in seconds
   * @param until when it ends, in seconds
   * @param heads the number of rejecting heads
   * @param retryAfterMillis the Retry-After pause that they ask each daemon for, in milliseconds; 0
   *     for none
   */
  record RejectionPhase(double from, double until, int heads, long retryAfterMillis) {

    static final RejectionPhase NONE = new RejectionPhase(0, 0, 0, 0);
  }

  /**
   * How daemons handle rejections.
   *
   * @param backsOff whether a daemon uses a rejecting head last for a while
   * @param reports whether daemons report rejecting heads to each other
   */
  record RejectionHandling(boolean backsOff, boolean reports) {

    static final RejectionHandling FULL = new RejectionHandling(true, true);
  }

  /** Decides when a refused caller returns. */
  @FunctionalInterface
  interface ReturnPolicy {

    /**
     * Returns the time until one caller returns.
     *
     * @param remainingMillis how much longer it would wait, in milliseconds
     * @param pauseMillis how long until the first Retry-After pause ends, in milliseconds
     * @return the time from now, in milliseconds
     */
    long millis(long remainingMillis, long pauseMillis);
  }

  private record Event(double at, Runnable action) {}

  private static final class Daemon {
    final UpstreamGate gate =
        new UpstreamGate(
            new SharedLimits(
                new RendezvousOwners(new RendezvousOwners.Daemon("d", "127.0.0.1", "a"))));
    final Dispatcher dispatcher;

    Daemon(String dataCentre, Random random, LongSupplier steadyNanos) {
      dispatcher = new Dispatcher(dataCentre, random, gate, steadyNanos);
    }
  }

  private static final class Caller {
    double askedAt;
    double sentAt;
    RequestSize size = RequestSize.UNKNOWN;
    boolean isRetry;
    double tokensToPrefill;
    int tokensToDecode;
    double firstAt;
    Daemon daemon;
  }

  private static final class Head {
    final Node node;
    final int number;
    final Deque<Caller> waiting = new ArrayDeque<>();
    final List<Caller> prefilling = new ArrayList<>();
    final List<Caller> decoding = new ArrayList<>();
    boolean busy;

    Head(Node node, int number) {
      this.node = node;
      this.number = number;
    }

    int requests() {
      return waiting.size() + prefilling.size() + decoding.size();
    }
  }

  private LoadSimulation(
      Load load,
      RejectionPhase phase,
      RejectionHandling handling,
      ReturnPolicy returns,
      double reportAgeSeconds,
      long seed) {
    this.load = load;
    this.reportAgeSeconds = reportAgeSeconds;
    this.phase = phase;
    this.handling = handling;
    this.returns = returns;
    this.random = new Random(seed);
  }

  /**
   * Simulates a load before heads that accept requests.
   *
   * @param load the load
   * @param returnMillis when a refused caller returns, by its remaining time in milliseconds
   * @param seed the seed of all random draws
   * @return what callers got
   */
  static Outcome simulate(Load load, LongUnaryOperator returnMillis, long seed) {
    ReturnPolicy returns =
        (remainingMillis, pauseMillis) -> returnMillis.applyAsLong(remainingMillis);
    return simulate(load, RejectionPhase.NONE, RejectionHandling.FULL, returns, seed);
  }

  /**
   * Simulates a load before heads of which some reject requests for a while.
   *
   * @param load the load
   * @param phase when which heads reject requests
   * @param handling how daemons handle rejections
   * @param returns when a refused caller returns
   * @param seed the seed of all random draws
   * @return what callers got
   */
  static Outcome simulate(
      Load load,
      RejectionPhase phase,
      RejectionHandling handling,
      ReturnPolicy returns,
      long seed) {
    return new LoadSimulation(load, phase, handling, returns, 0, seed).run();
  }

  /**
   * Simulates a load with daemons that allow for the age of reports.
   *
   * @param load the load
   * @param returns when a refused caller returns
   * @param reportAgeSeconds the age that daemons assume, in seconds; 0 if they don't allow for it
   * @param seed the seed of all random draws
   * @return what callers got
   */
  static Outcome simulate(Load load, ReturnPolicy returns, double reportAgeSeconds, long seed) {
    return new LoadSimulation(
            load, RejectionPhase.NONE, RejectionHandling.FULL, returns, reportAgeSeconds, seed)
        .run();
  }

  private Outcome run() {
    List<Node> nodes = new ArrayList<>();
    for (int number = 0; number < load.heads(); number++) {
      Node node = head(number);
      nodes.add(node);
      heads.put(node.id(), new Head(node, number));
    }
    for (int number = 0; number < load.daemons(); number++) {
      Daemon daemon = new Daemon("dc" + number % DATA_CENTRES, random, this::nowNanos);
      daemon.dispatcher.setUpstreams(nodes);
      daemon.dispatcher.setDaemonCount(load.daemons());
      daemon.dispatcher.setReportAge((long) (reportAgeSeconds * 1e9));
      daemons.add(daemon);
    }
    at(0, this::startCaller);
    at(0, this::exchangeMessages);
    while (!events.isEmpty() && now < load.seconds() + DRAIN_SECONDS) {
      Event event = events.poll();
      now = event.at();
      event.action().run();
    }
    double all = Math.max(1, offered);
    return new Outcome(inTime / all, late / all, lost / all, refused / all);
  }

  private Node head(int number) {
    return new Node(
        NodeIncarnation.only("h" + number),
        "engines",
        new Endpoint("10.0.0.1", 1 + number),
        "dc" + number % DATA_CENTRES,
        load.engine().slots(),
        false,
        "domain",
        load.model().name(),
        List.of(),
        new Membership("g", 1, 0, MemberState.OPEN));
  }

  private void at(double time, Runnable action) {
    events.add(new Event(time, action));
  }

  private boolean counts(Caller caller) {
    return caller.askedAt >= WARM_UP_SECONDS;
  }

  private void startCaller() {
    if (now >= load.seconds()) {
      return;
    }
    at(now - Math.log(1 - random.nextDouble()) / load.rate().applyAsDouble(now), this::startCaller);
    Caller caller = new Caller();
    caller.askedAt = now;
    caller.size = new RequestSize(prompt(), answer());
    offered += counts(caller) ? 1 : 0;
    arrive(caller);
  }

  /** Draws the length of a prompt; long prompts are rare. */
  private int prompt() {
    return (int) Math.min(2_380, 40 + logNormal(674, 0.89));
  }

  private int answer() {
    return EVENT_TOKENS * (int) Math.max(1, Math.min(57, logNormal(23.2, 0.7)));
  }

  private double logNormal(double mean, double spread) {
    double variance = Math.log(1 + spread * spread);
    return Math.exp(Math.log(mean) - variance / 2 + Math.sqrt(variance) * random.nextGaussian());
  }

  private void arrive(Caller caller) {
    caller.daemon = daemons.get(random.nextInt(daemons.size()));
    DispatchRequest.AdmissionClass admissionClass =
        caller.isRetry
            ? DispatchRequest.AdmissionClass.RETURNING
            : DispatchRequest.AdmissionClass.FIRST;
    DispatchRequest request = new DispatchRequest("engines", load.model().name(), admissionClass);
    Set<String> tried = new HashSet<>();
    Choice choice = caller.daemon.dispatcher.choose(request, tried);
    while (choice instanceof Choice.Send send && tried.size() <= MAX_REJECTIONS) {
      Head head = heads.get(send.node().id());
      if (!rejects(head)) {
        begin(caller, head);
        return;
      }
      tried.add(send.node().id());
      recordRejection(caller.daemon, head);
      choice = caller.daemon.dispatcher.choose(request, tried);
    }
    long retryAfterNanos = choice instanceof Choice.Refuse refuse ? refuse.retryAfterNanos() : 0;
    refused += counts(caller) ? 1 : 0;
    if (caller.isRetry) {
      lost += counts(caller) ? 1 : 0;
      return;
    }
    caller.isRetry = true;
    long remaining = load.deadlineMillis();
    at(now + returns.millis(remaining, retryAfterNanos / 1_000_000) / 1e3, () -> arrive(caller));
  }

  private long nowNanos() {
    return (long) (now * 1e9);
  }

  private boolean rejects(Head head) {
    boolean isRejecting = head.number < phase.heads();
    return isRejecting && now >= phase.from() && now < phase.until();
  }

  private void recordRejection(Daemon daemon, Head head) {
    if (handling.backsOff()) {
      daemon.dispatcher.state(head.node.id()).requestRejected(nowNanos());
    }
    NodeResponse response =
        new NodeResponse(503, true, false, phase.retryAfterMillis(), null, null);
    daemon.gate.recordResponse(head.node.life(), response, nowNanos());
  }

  private void begin(Caller caller, Head head) {
    caller.daemon.dispatcher.state(head.node.id()).requestSent(nowNanos());
    caller.daemon.dispatcher.state(head.node.id()).requestAccepted();
    caller.sentAt = now;
    caller.tokensToPrefill = caller.size.promptTokens();
    caller.tokensToDecode = caller.size.answerTokens();
    head.waiting.add(caller);
    if (!head.busy) {
      pass(head);
    }
  }

  /**
   * Starts one pass: prompts are prefilled up to the chunk limits, and each decoding request gets
   * an event.
   */
  private void pass(Head head) {
    EngineSpec engine = load.engine();
    while (!head.waiting.isEmpty()
        && head.prefilling.size() + head.decoding.size() < engine.slots()) {
      head.prefilling.add(head.waiting.poll());
    }
    head.busy = head.requests() > 0;
    if (!head.busy) {
      return;
    }
    double room = (double) engine.chunk() * engine.stride();
    double prefilled = 0;
    for (Caller caller : head.prefilling) {
      double part = Math.min(caller.tokensToPrefill, room - prefilled);
      caller.tokensToPrefill -= part;
      prefilled += part;
    }
    List<Caller> sequences = List.copyOf(head.decoding);
    double millis = prefilled * 1e3 / engine.readTokensPerSecond() * load.model().pace();
    if (!sequences.isEmpty()) {
      millis += EngineTimes.passMillis(engine, load.model(), sequences.size());
    }
    at(now + millis / 1e3, () -> passEnds(head, sequences));
  }

  private void passEnds(Head head, List<Caller> sequences) {
    for (Iterator<Caller> each = head.prefilling.iterator(); each.hasNext(); ) {
      Caller caller = each.next();
      if (caller.tokensToPrefill <= 0) {
        each.remove();
        caller.firstAt = now + load.firstMillis() / 1e3;
        head.decoding.add(caller);
        decode(caller, head);
      }
    }
    sequences.forEach(caller -> decode(caller, head));
    pass(head);
  }

  private void decode(Caller caller, Head head) {
    caller.tokensToDecode -= load.engine().stride();
    if (caller.tokensToDecode > 0) {
      return;
    }
    head.decoding.remove(caller);
    caller.daemon.dispatcher.state(head.node.id()).requestEnded(true, false);
    caller.daemon.dispatcher.recordDuration(head.node, (long) ((now - caller.sentAt) * 1e9));
    if (!counts(caller)) {
      return;
    }
    double firstMillis = (caller.firstAt - caller.askedAt) * 1e3;
    if (firstMillis <= load.targetMillis()) {
      inTime++;
    } else if ((now - caller.askedAt) * 1e3 <= load.deadlineMillis()) {
      late++;
    } else {
      lost++;
    }
  }

  /** Reports the requests of all daemons to each daemon, with a random delay. */
  private void exchangeMessages() {
    at(now + MESSAGE_SECONDS, this::exchangeMessages);
    Set<String> refusing = new HashSet<>();
    if (handling.reports()) {
      daemons.forEach(daemon -> refusing.addAll(daemon.dispatcher.rejecting()));
    }
    for (Daemon daemon : daemons) {
      Map<String, Integer> others = new HashMap<>();
      heads.forEach(
          (id, head) -> others.put(id, head.requests() - daemon.dispatcher.state(id).inFlight()));
      double delay = MESSAGE_DELAY_SECONDS * random.nextDouble();
      at(
          now + delay,
          () -> {
            daemon.dispatcher.setPeersInFlight(others);
            daemon.dispatcher.setReportedRejecting(refusing);
          });
    }
  }
}
