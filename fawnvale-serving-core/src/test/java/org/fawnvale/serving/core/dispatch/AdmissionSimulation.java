package org.fawnvale.serving.core.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.function.DoubleUnaryOperator;
import org.fawnvale.serving.core.admission.AdmissionLevel;
import org.fawnvale.serving.core.admission.ForecastTarget;
import org.fawnvale.serving.core.admission.HeadForecast;
import org.fawnvale.serving.core.admission.RefusalTimes;
import org.fawnvale.serving.core.admission.ReturningCallers;
import org.fawnvale.serving.core.admission.UrgencyAdmission;
import org.fawnvale.serving.core.admission.Waiting;
import org.fawnvale.serving.core.admission.WaitingQueue;
import org.fawnvale.serving.core.demand.EngineTimes;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.model.RequestSize;
import org.fawnvale.serving.core.pace.PaceView;
import org.fawnvale.serving.core.peer.MessageRouting;
import org.fawnvale.serving.core.peer.RendezvousOwners;

/**
 * Simulates callers of several urgencies and workspaces, many daemons and the heads of one model.
 * Daemons learn of each other's requests and offered work 150 to 600 ms late, and a third of the
 * messages is lost.
 */
final class AdmissionSimulation {

  private static final int DATA_CENTRES = 3;
  private static final double MESSAGE_SECONDS = 0.15;
  private static final double MIN_DELAY_SECONDS = 0.15;
  private static final double DELAY_SPREAD_SECONDS = 0.45;
  private static final double LOST_MESSAGES = 1 / 3.0;
  private static final double TICK_SECONDS = 0.1;
  private static final double QUEUE_SECONDS = 0.025;

  /** As in deploy/settings.json. */
  private static final double WAIT_SECONDS = 0.25;

  private static final int MAX_WAITING = 256;
  private static final double WARM_UP_SECONDS = 1;
  private static final double DRAIN_SECONDS = 10;
  private static final double LATE_VALUE = 0.2;
  static final ModelSpec MODEL = new ModelSpec("small", 4, 0.5, 0.6, 12_000, 1_100);

  /** Which rule decides. */
  enum Rule {
    PRESENT,
    FORECAST,
    FULL,
    FULL_WITH_QUEUE,
    FULL_WITH_FEWER_RETURNING
  }

  /**
   * Callers of one kind.
   *
   * @param urgency their urgency
   * @param workspace their workspace
   * @param rate requests per second at a time in seconds
   * @param tail the spread of the sizes of prompts relative to their mean
   */
  record Kind(int urgency, String workspace, DoubleUnaryOperator rate, double tail) {}

  /**
   * The simulated fleet.
   *
   * @param daemons the number of daemons
   * @param heads the number of heads
   * @param seconds how long callers send requests
   * @param publishedError the published times relative to the real ones
   * @param slowHeads the number of heads that are slow from second 4 to 7
   * @param countFromStart whether callers from the first second on count; otherwise a warm-up is
   *     left out
   */
  record Fleet(
      int daemons,
      int heads,
      double seconds,
      double publishedError,
      int slowHeads,
      boolean countFromStart) {}

  /** What callers of one group got. */
  static final class Tally {
    int offered;
    int inTime;
    int late;
    int lost;
    double offeredWork;
    double inTimeWork;

    double value() {
      return inTime + LATE_VALUE * late;
    }

    double share() {
      return inTime / (double) Math.max(1, offered);
    }

    /** The share of callers that got a whole answer, in time or late. */
    double answeredShare() {
      return (inTime + late) / (double) Math.max(1, offered);
    }

    double workShare() {
      return inTimeWork / Math.max(1e-9, offeredWork);
    }

    @Override
    public String toString() {
      return String.format(
          "offered=%d inTime=%.3f late=%.3f lost=%.3f",
          offered, share(), late / (double) offered, lost / (double) offered);
    }
  }

  /** The outcome by urgency, by workspace and for prompts of over 2,000 tokens. */
  static final class Outcome {
    final Tally all = new Tally();
    final Tally large = new Tally();
    final Map<Integer, Tally> byUrgency = new HashMap<>();
    final Map<String, Tally> byWorkspace = new HashMap<>();

    List<Tally> of(Caller caller) {
      List<Tally> tallies = new ArrayList<>(List.of(all));
      tallies.add(byUrgency.computeIfAbsent(caller.kind.urgency(), key -> new Tally()));
      tallies.add(byWorkspace.computeIfAbsent(caller.kind.workspace(), key -> new Tally()));
      if (caller.size.promptTokens() > 2_000) {
        tallies.add(large);
      }
      return tallies;
    }

    @Override
    public String toString() {
      return String.format(
          "value=%.3f %s urgencies=%s large=%s", all.value() / all.offered, all, byUrgency, large);
    }
  }

  private record Event(double at, long sequence, Runnable action) {}

  private static final class Daemon {
    final Dispatcher dispatcher;
    final HeadForecast forecast = new HeadForecast();
    final UrgencyAdmission admission;
    final RetryAfterPolicy returns = new RetryAfterPolicy();
    final RefusalTimes refusals = new RefusalTimes();
    final WaitingQueue<Caller> queue = new WaitingQueue<>(MAX_WAITING);
    double cutSince = -1;
    Map<String, List<Double>> others = Map.of();

    Daemon(Dispatcher dispatcher, ReturningCallers returningCallers) {
      this.dispatcher = dispatcher;
      this.admission = new UrgencyAdmission(returningCallers);
    }
  }

  static final class Caller {
    Kind kind;
    double askedAt;
    double deadline;
    RequestSize size;
    boolean isRetry;
    double tokensToPrefill;
    int tokensToDecode;
    double sentAt;
    double firstAt;
    double lastAt;
    double longestPause;
    HeadForecast.Prediction prediction;
    Daemon daemon;
    DispatchRequest request;
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

  static final int TARGET_MILLIS = 300;
  static final int GAP_MILLIS = 200;
  static final long DEADLINE_MILLIS = 6_000;

  private final Fleet fleet;
  private final Rule rule;
  private final EngineSpec real = engine(1);
  private final EngineSpec published;
  private final List<Kind> kinds;
  private final Random arrivals;
  private final Random random;
  private final List<Daemon> daemons = new ArrayList<>();
  private final Map<String, Head> heads = new HashMap<>();
  private final Queue<Event> events =
      new PriorityQueue<>(
          (one, other) ->
              one.at() == other.at()
                  ? Long.compare(one.sequence(), other.sequence())
                  : Double.compare(one.at(), other.at()));
  private final Outcome outcome = new Outcome();
  private long sequence;
  private double now;

  private AdmissionSimulation(Fleet fleet, Rule rule, List<Kind> kinds, long seed) {
    this.fleet = fleet;
    this.rule = rule;
    this.kinds = kinds;
    this.published = engine(fleet.publishedError());
    this.arrivals = new Random(seed);
    this.random = new Random(seed + 1_000);
  }

  /** Engines whose published times are wrong by a factor. */
  static EngineSpec engine(double factor) {
    return new EngineSpec(
        24,
        1_000_000,
        5,
        2_048,
        List.of(MODEL),
        6.07 * factor,
        0.341 * factor,
        0,
        46_000 / factor,
        0,
        14,
        21,
        300,
        new RequestSize(841, 111));
  }

  static Outcome simulate(Fleet fleet, Rule rule, List<Kind> kinds, long seed) {
    return new AdmissionSimulation(fleet, rule, kinds, seed).run();
  }

  private Outcome run() {
    List<Node> nodes = new ArrayList<>();
    for (int number = 0; number < fleet.heads(); number++) {
      Node node = head(number);
      nodes.add(node);
      heads.put(node.id(), new Head(node, number));
    }
    for (int number = 0; number < fleet.daemons(); number++) {
      UpstreamGate gate =
          new UpstreamGate(
              new SharedLimits(
                  new RendezvousOwners(new RendezvousOwners.Daemon("d", "127.0.0.1", "a"))));
      Daemon daemon =
          new Daemon(
              new Dispatcher("dc" + number % DATA_CENTRES, random, gate, this::nowNanos),
              rule == Rule.FULL_WITH_FEWER_RETURNING
                  ? ReturningCallers.ROOM_UNLESS_WHOLE
                  : ReturningCallers.OLD_BOUND);
      daemon.dispatcher.setUpstreams(nodes);
      daemon.dispatcher.setDaemonCount(fleet.daemons());
      daemon.dispatcher.setForecast(daemon.forecast, pace());
      if (rule != Rule.PRESENT) {
        daemon.dispatcher.setPaces(pace());
      }
      if (rule != Rule.PRESENT && MessageRouting.hasRelays(fleet.daemons())) {
        daemon.dispatcher.setReportAge(MessageRouting.RELAYED_AGE_NANOS);
      }
      daemons.add(daemon);
    }
    for (Kind kind : kinds) {
      at(0, () -> startCaller(kind, new Random(arrivals.nextLong()), false));
    }
    at(0, this::exchangeMessages);
    at(0, this::tick);
    if (rule == Rule.FULL_WITH_QUEUE) {
      at(0, this::serveQueues);
    }
    while (!events.isEmpty() && now < fleet.seconds() + DRAIN_SECONDS) {
      Event event = events.poll();
      now = event.at();
      event.action().run();
    }
    return outcome;
  }

  private Node head(int number) {
    return new Node(
        NodeIncarnation.only("h" + number),
        "engines",
        new Endpoint("10.0.0.1", 1 + number),
        "dc" + number % DATA_CENTRES,
        real.slots(),
        false,
        "domain",
        MODEL.name(),
        List.of(),
        new Membership("g", 1, 0, MemberState.OPEN));
  }

  private PaceView pace() {
    return nodeId -> paceOf(heads.get(nodeId));
  }

  private double paceOf(Head head) {
    return head.number < fleet.slowHeads() && now >= 4 && now < 7 ? 6 : 1;
  }

  private void at(double time, Runnable action) {
    events.add(new Event(time, sequence++, action));
  }

  private long nowNanos() {
    return (long) (now * 1e9);
  }

  private void startCaller(Kind kind, Random draws, boolean begun) {
    if (now >= fleet.seconds()) {
      return;
    }
    double rate = kind.rate().applyAsDouble(now);
    double wait = rate > 0 ? -Math.log(1 - draws.nextDouble()) / rate : 0.05;
    at(now + Math.min(wait, 0.25), () -> startCaller(kind, draws, wait <= 0.25 && rate > 0));
    if (!begun) {
      return;
    }
    Caller caller = new Caller();
    caller.kind = kind;
    caller.askedAt = now;
    caller.deadline = now + DEADLINE_MILLIS / 1e3;
    caller.size = new RequestSize(prompt(kind, draws), answer(draws));
    if (counts(caller)) {
      outcome
          .of(caller)
          .forEach(
              tally -> {
                tally.offered++;
                tally.offeredWork += work(caller);
              });
    }
    arrive(caller);
  }

  private boolean counts(Caller caller) {
    return fleet.countFromStart() || caller.askedAt >= WARM_UP_SECONDS;
  }

  private static int prompt(Kind kind, Random draws) {
    return (int) Math.min(7_000, 40 + logNormal(800, kind.tail(), draws));
  }

  private static int answer(Random draws) {
    return 5 * (int) Math.max(1, Math.min(57, logNormal(23.2, 0.7, draws)));
  }

  private static double logNormal(double mean, double spread, Random draws) {
    double variance = Math.log(1 + spread * spread);
    return Math.exp(Math.log(mean) - variance / 2 + Math.sqrt(variance) * draws.nextGaussian());
  }

  private double work(Caller caller) {
    return EngineTimes.workMillis(published, MODEL, caller.size);
  }

  private void arrive(Caller caller) {
    Daemon daemon = daemons.get(random.nextInt(daemons.size()));
    caller.daemon = daemon;
    DispatchRequest request =
        new DispatchRequest(
            "engines",
            MODEL.name(),
            caller.isRetry
                ? DispatchRequest.AdmissionClass.RETURNING
                : DispatchRequest.AdmissionClass.FIRST);
    ForecastTarget target =
        new ForecastTarget(
            published,
            MODEL,
            caller.size,
            nowNanos(),
            TARGET_MILLIS,
            GAP_MILLIS,
            limit(daemon, caller),
            rule == Rule.FORECAST || daemon.admission.refusesLate(MODEL.name()));
    if (rule != Rule.PRESENT) {
      request = request.withTarget(target);
    }
    if (rule != Rule.PRESENT) {
      UrgencyAdmission.Asked asked =
          new UrgencyAdmission.Asked(
              MODEL.name(),
              caller.kind.urgency(),
              caller.kind.workspace(),
              work(caller),
              caller.isRetry);
      if (!daemon.admission.admit(asked, nowNanos()) && rule != Rule.FORECAST) {
        refuse(caller);
        return;
      }
    }
    if (!(caller.isRetry && isAnyBefore(daemon)) && send(caller, request)) {
      return;
    }
    if (!waits(caller, request)) {
      refuse(caller);
    }
  }

  private boolean send(Caller caller, DispatchRequest request) {
    Dispatcher dispatcher = caller.daemon.dispatcher;
    Choice choice = dispatcher.choose(request, Set.of());
    if (choice instanceof Choice.Send send) {
      if (request.target() != null) {
        caller.prediction = dispatcher.predict(send.node(), request.target());
      }
      begin(caller, heads.get(send.node().id()));
    }
    return choice instanceof Choice.Send;
  }

  /** Lets a returning caller wait if it will probably find a place, as the daemon does. */
  private boolean waits(Caller caller, DispatchRequest request) {
    double seconds = Math.min(WAIT_SECONDS, (caller.deadline - now) / 2);
    if (rule != Rule.FULL_WITH_QUEUE || !caller.isRetry || seconds <= 0) {
      return false;
    }
    double places =
        Math.max(1, caller.daemon.dispatcher.endingRequests(request, (long) (seconds * 1e9)));
    long until = (long) ((now + seconds) * 1e9);
    long deadline = (long) (caller.deadline * 1e9);
    caller.request = request;
    return caller.daemon.queue.offer(
        new Waiting<>(caller, MODEL.name(), caller.kind.urgency(), deadline, until), places);
  }

  private boolean isAnyBefore(Daemon daemon) {
    Caller first = daemon.queue.first(MODEL.name());
    while (first != null && send(first, first.request)) {
      daemon.queue.remove(first);
      first = daemon.queue.first(MODEL.name());
    }
    return first != null;
  }

  private void serveQueues() {
    at(now + QUEUE_SECONDS, this::serveQueues);
    for (Daemon daemon : daemons) {
      isAnyBefore(daemon);
      daemon.queue.expire(nowNanos()).forEach(this::refuse);
    }
  }

  private double limit(Daemon daemon, Caller caller) {
    if (rule == Rule.FORECAST) {
      return caller.isRetry ? ForecastTarget.ANY_HEAD : ForecastTarget.USUAL_LIMIT;
    }
    return daemon.admission.limit(MODEL.name(), caller.kind.urgency(), caller.isRetry);
  }

  private void refuse(Caller caller) {
    long remaining = (long) ((caller.deadline - now) * 1e3);
    if (caller.isRetry) {
      if (counts(caller)) {
        outcome.of(caller).forEach(tally -> tally.lost++);
      }
      return;
    }
    caller.isRetry = true;
    at(now + returnMillis(caller, remaining) / 1e3, () -> arrive(caller));
  }

  private int returnMillis(Caller caller, long remaining) {
    Daemon daemon = caller.daemon;
    double level = daemon.admission.level(MODEL.name());
    boolean byUrgency = rule != Rule.PRESENT && rule != Rule.FORECAST;
    if (!byUrgency || level >= AdmissionLevel.ALL) {
      return daemon.returns.nextMillis(remaining, 0);
    }
    long burst = daemon.cutSince < 0 ? 0 : (long) ((now - daemon.cutSince) * 1e3);
    return daemon.refusals.nextMillis(remaining, burst, caller.kind.urgency(), level);
  }

  private void begin(Caller caller, Head head) {
    UpstreamState state = caller.daemon.dispatcher.state(head.node.id());
    state.requestSent(nowNanos());
    state.promptSent(caller.size.promptTokens());
    caller.sentAt = now;
    caller.tokensToPrefill = caller.size.promptTokens();
    caller.tokensToDecode = caller.size.answerTokens();
    head.waiting.add(caller);
    if (!head.busy) {
      pass(head);
    }
  }

  private void pass(Head head) {
    while (!head.waiting.isEmpty()
        && head.prefilling.size() + head.decoding.size() < real.slots()) {
      head.prefilling.add(head.waiting.poll());
    }
    head.busy = head.requests() > 0;
    if (!head.busy) {
      return;
    }
    double room = (double) real.chunk() * real.stride();
    double prefilled = 0;
    for (Caller caller : head.prefilling) {
      double part = Math.min(caller.tokensToPrefill, room - prefilled);
      caller.tokensToPrefill -= part;
      prefilled += part;
    }
    List<Caller> sequences = List.copyOf(head.decoding);
    double millis = prefilled * 1e3 / real.readTokensPerSecond() * MODEL.pace();
    if (!sequences.isEmpty()) {
      millis += EngineTimes.passMillis(real, MODEL, sequences.size());
    }
    at(now + millis * paceOf(head) / 1e3, () -> passEnds(head, sequences));
  }

  private void passEnds(Head head, List<Caller> sequences) {
    for (Iterator<Caller> each = head.prefilling.iterator(); each.hasNext(); ) {
      Caller caller = each.next();
      if (caller.tokensToPrefill <= 0) {
        each.remove();
        head.decoding.add(caller);
      }
    }
    sequences.forEach(caller -> event(caller, head));
    pass(head);
  }

  private void event(Caller caller, Head head) {
    if (caller.firstAt == 0) {
      caller.firstAt = now;
      UpstreamState state = caller.daemon.dispatcher.state(head.node.id());
      state.responseStarted();
      state.promptAnswered(caller.size.promptTokens());
      if (caller.prediction != null) {
        caller.daemon.forecast.observe(
            MODEL.name(), caller.prediction, (now - caller.sentAt) * 1e3);
      }
    } else {
      caller.longestPause = Math.max(caller.longestPause, now - caller.lastAt);
    }
    caller.lastAt = now;
    caller.tokensToDecode -= real.stride();
    if (caller.tokensToDecode > 0) {
      return;
    }
    head.decoding.remove(caller);
    caller.daemon.dispatcher.state(head.node.id()).requestEnded(true, false);
    caller.daemon.dispatcher.recordDuration(head.node, (long) ((now - caller.sentAt) * 1e9));
    if (counts(caller)) {
      double first = (caller.firstAt - caller.askedAt) * 1e3;
      boolean inTime = first <= TARGET_MILLIS && caller.longestPause * 1e3 <= GAP_MILLIS;
      outcome.of(caller).forEach(tally -> count(tally, caller, inTime));
    }
  }

  private void count(Tally tally, Caller caller, boolean inTime) {
    if (inTime) {
      tally.inTime++;
      tally.inTimeWork += work(caller);
    } else if (now <= caller.deadline) {
      tally.late++;
    } else {
      tally.lost++;
    }
  }

  private void tick() {
    at(now + TICK_SECONDS, this::tick);
    double groups = 0;
    for (Head head : heads.values()) {
      groups += 1 / paceOf(head);
    }
    double capacity = groups;
    for (Daemon daemon : daemons) {
      daemon.admission.update(
          daemon.others, name -> new AdmissionLevel.Capacity(capacity, load(daemon)), nowNanos());
      boolean cuts = daemon.admission.level(MODEL.name()) < AdmissionLevel.ALL;
      daemon.cutSince = !cuts ? -1 : daemon.cutSince < 0 ? now : daemon.cutSince;
    }
  }

  private double load(Daemon daemon) {
    double sum = 0;
    for (Head head : heads.values()) {
      sum += daemon.dispatcher.load(head.node);
    }
    return sum / heads.size();
  }

  /** Reports what all daemons do to each of them, late, or not at all. */
  private void exchangeMessages() {
    at(now + MESSAGE_SECONDS, this::exchangeMessages);
    double[] total = new double[10];
    List<List<Double>> own = new ArrayList<>();
    for (Daemon daemon : daemons) {
      List<Double> work =
          daemon.admission.offered(nowNanos()).getOrDefault(MODEL.name(), List.of());
      own.add(work);
      for (int urgency = 0; urgency < work.size(); urgency++) {
        total[urgency] += work.get(urgency);
      }
    }
    for (int number = 0; number < daemons.size(); number++) {
      if (random.nextDouble() < LOST_MESSAGES) {
        continue;
      }
      Daemon daemon = daemons.get(number);
      Map<String, Integer> inFlight = new HashMap<>();
      heads.forEach(
          (id, head) -> inFlight.put(id, head.requests() - daemon.dispatcher.state(id).inFlight()));
      List<Double> others = new ArrayList<>();
      for (int urgency = 0; urgency < total.length; urgency++) {
        List<Double> mine = own.get(number);
        others.add(total[urgency] - (mine.isEmpty() ? 0 : mine.get(urgency)));
      }
      double delay = MIN_DELAY_SECONDS + DELAY_SPREAD_SECONDS * random.nextDouble();
      at(
          now + delay,
          () -> {
            daemon.dispatcher.setPeersInFlight(inFlight);
            daemon.others = Map.of(MODEL.name(), others);
          });
    }
  }
}
