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
 * Plays a load in simulated time: callers of streams before many daemons, each with a dispatcher of
 * its own, before the heads of one model that work by the engines' published arithmetic. Daemons
 * hear of each other's requests by notes only. Tells what callers get.
 */
final class LoadSimulation {

  private static final int DATA_CENTRES = 3;
  private static final double NOTE_SECONDS = 0.3;
  private static final double NOTE_DELAY_SECONDS = 0.15;
  private static final double WARM_UP_SECONDS = 2;
  private static final double LEFT_SECONDS = 8;
  private static final int EVENT_TOKENS = 5;
  private static final int MOST_REJECTIONS = 3;

  private final Load load;
  private final Turning turning;
  private final Ways ways;
  private final Returns returns;
  private final Random random;
  private final List<Daemon> daemons = new ArrayList<>();
  private final Map<String, Head> heads = new HashMap<>();
  private final Queue<Due> dues =
      new PriorityQueue<>((one, other) -> Double.compare(one.at(), other.at()));
  private double now;
  private int offered;
  private int inTime;
  private int late;
  private int lost;
  private int refused;

  /**
   * What is played.
   *
   * @param engine the engines
   * @param model the model
   * @param daemons daemons before the heads
   * @param heads heads that serve the model
   * @param rate requests a second at a time in seconds
   * @param seconds how long callers ask
   * @param firstMillis the least time of a first event at an idle head
   * @param targetMillis the time of a first event that is in time
   * @param deadlineMillis how long a caller waits
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
   * What callers get, as shares of those that asked.
   *
   * @param inTime answered, the first event in time from the first try on
   * @param late answered late
   * @param lost not answered
   * @param refused refusals, also of callers that were served later
   */
  record Outcome(double inTime, double late, double lost, double refused) {}

  /**
   * Heads that turn all requests away for a while.
   *
   * @param from when they begin, in seconds
   * @param until when they end, in seconds
   * @param heads how many of them
   * @param restMillis the rest that they ask each daemon for, in milliseconds; 0 for none
   */
  record Turning(double from, double until, int heads, long restMillis) {

    static final Turning NONE = new Turning(0, 0, 0, 0);
  }

  /**
   * What daemons make of being turned away.
   *
   * @param backsOff whether they ask others first for a while
   * @param tells whether they tell each other
   */
  record Ways(boolean backsOff, boolean tells) {

    static final Ways AS_BUILT = new Ways(true, true);
  }

  /** Tells a refused caller when to come back. */
  @FunctionalInterface
  interface Returns {

    /**
     * Decides for one caller.
     *
     * @param leftMillis how much longer it would wait, in milliseconds
     * @param restMillis how long until the first head that rests may be asked, in milliseconds
     * @return the time from now, in milliseconds
     */
    long millis(long leftMillis, long restMillis);
  }

  private record Due(double at, Runnable what) {}

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
    RequestSize size = RequestSize.UNKNOWN;
    boolean returns;
    double tokensToRead;
    int tokensToWrite;
    double firstAt;
    Daemon daemon;
  }

  private static final class Head {
    final Node node;
    final int number;
    final Deque<Caller> waiting = new ArrayDeque<>();
    final List<Caller> reading = new ArrayList<>();
    final List<Caller> writing = new ArrayList<>();
    boolean works;

    Head(Node node, int number) {
      this.node = node;
      this.number = number;
    }

    int requests() {
      return waiting.size() + reading.size() + writing.size();
    }
  }

  private LoadSimulation(Load load, Turning turning, Ways ways, Returns returns, long seed) {
    this.load = load;
    this.turning = turning;
    this.ways = ways;
    this.returns = returns;
    this.random = new Random(seed);
  }

  /**
   * Plays a load.
   *
   * @param load the load
   * @param returnMillis when a refused caller comes back, by the time that remains to it
   * @param seed of the draws
   * @return what callers got
   */
  static Outcome play(Load load, LongUnaryOperator returnMillis, long seed) {
    Returns returns = (leftMillis, restMillis) -> returnMillis.applyAsLong(leftMillis);
    return play(load, Turning.NONE, Ways.AS_BUILT, returns, seed);
  }

  /**
   * Plays a load before heads some of which turn requests away.
   *
   * @param load the load
   * @param turning the heads that turn away
   * @param ways what daemons make of it
   * @param returns when a refused caller comes back
   * @param seed of the draws
   * @return what callers got
   */
  static Outcome play(Load load, Turning turning, Ways ways, Returns returns, long seed) {
    return new LoadSimulation(load, turning, ways, returns, seed).run();
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
      daemons.add(daemon);
    }
    at(0, this::ask);
    at(0, this::tell);
    while (!dues.isEmpty() && now < load.seconds() + LEFT_SECONDS) {
      Due due = dues.poll();
      now = due.at();
      due.what().run();
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

  private void at(double time, Runnable what) {
    dues.add(new Due(time, what));
  }

  private boolean counts(Caller caller) {
    return caller.askedAt >= WARM_UP_SECONDS;
  }

  private void ask() {
    if (now >= load.seconds()) {
      return;
    }
    at(now - Math.log(1 - random.nextDouble()) / load.rate().applyAsDouble(now), this::ask);
    Caller caller = new Caller();
    caller.askedAt = now;
    caller.size = new RequestSize(prompt(), answer());
    offered += counts(caller) ? 1 : 0;
    arrive(caller);
  }

  /** Sizes as callers send them: long ones are rare. */
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
    DispatchRequest.AdmissionClass claim =
        caller.returns
            ? DispatchRequest.AdmissionClass.RETURNING
            : DispatchRequest.AdmissionClass.FIRST;
    DispatchRequest demand = new DispatchRequest("engines", load.model().name(), claim);
    Set<String> tried = new HashSet<>();
    Choice choice = caller.daemon.dispatcher.choose(demand, tried);
    while (choice instanceof Choice.Send send && tried.size() <= MOST_REJECTIONS) {
      Head head = heads.get(send.node().id());
      if (!turnsAway(head)) {
        begin(caller, head);
        return;
      }
      tried.add(send.node().id());
      hearRefusal(caller.daemon, head);
      choice = caller.daemon.dispatcher.choose(demand, tried);
    }
    long retryAfterNanos = choice instanceof Choice.Refuse refuse ? refuse.retryAfterNanos() : 0;
    refused += counts(caller) ? 1 : 0;
    if (caller.returns) {
      lost += counts(caller) ? 1 : 0;
      return;
    }
    caller.returns = true;
    long left = load.deadlineMillis();
    at(now + returns.millis(left, retryAfterNanos / 1_000_000) / 1e3, () -> arrive(caller));
  }

  private long nowNanos() {
    return (long) (now * 1e9);
  }

  private boolean turnsAway(Head head) {
    boolean oneOfThem = head.number < turning.heads();
    return oneOfThem && now >= turning.from() && now < turning.until();
  }

  private void hearRefusal(Daemon daemon, Head head) {
    if (ways.backsOff()) {
      daemon.dispatcher.state(head.node.id()).requestRejected(nowNanos());
    }
    NodeResponse said = new NodeResponse(503, true, false, turning.restMillis(), null, null);
    daemon.gate.recordResponse(head.node.incarnation(), said, nowNanos());
  }

  private void begin(Caller caller, Head head) {
    caller.daemon.dispatcher.state(head.node.id()).requestSent(nowNanos());
    caller.daemon.dispatcher.state(head.node.id()).requestAccepted();
    caller.tokensToRead = caller.size.promptTokens();
    caller.tokensToWrite = caller.size.answerTokens();
    head.waiting.add(caller);
    if (!head.works) {
      pass(head);
    }
  }

  /** One pass: prompts are read as far as chunks allow, and each writer gets an event. */
  private void pass(Head head) {
    EngineSpec engine = load.engine();
    while (!head.waiting.isEmpty() && head.reading.size() + head.writing.size() < engine.slots()) {
      head.reading.add(head.waiting.poll());
    }
    head.works = head.requests() > 0;
    if (!head.works) {
      return;
    }
    double room = (double) engine.chunk() * engine.stride();
    double read = 0;
    for (Caller caller : head.reading) {
      double part = Math.min(caller.tokensToRead, room - read);
      caller.tokensToRead -= part;
      read += part;
    }
    List<Caller> writers = List.copyOf(head.writing);
    double millis = read * 1e3 / engine.prefillTokensPerSecond() * load.model().timeFactor();
    if (!writers.isEmpty()) {
      millis += EngineTimes.passMillis(engine, load.model(), writers.size());
    }
    at(now + millis / 1e3, () -> passEnds(head, writers));
  }

  private void passEnds(Head head, List<Caller> writers) {
    for (Iterator<Caller> each = head.reading.iterator(); each.hasNext(); ) {
      Caller caller = each.next();
      if (caller.tokensToRead <= 0) {
        each.remove();
        caller.firstAt = now + load.firstMillis() / 1e3;
        head.writing.add(caller);
        write(caller, head);
      }
    }
    writers.forEach(caller -> write(caller, head));
    pass(head);
  }

  private void write(Caller caller, Head head) {
    caller.tokensToWrite -= load.engine().stride();
    if (caller.tokensToWrite > 0) {
      return;
    }
    head.writing.remove(caller);
    caller.daemon.dispatcher.state(head.node.id()).requestEnded(true, false);
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

  /** Notes tell what all others have in flight, a moment ago. */
  private void tell() {
    at(now + NOTE_SECONDS, this::tell);
    Set<String> refusing = new HashSet<>();
    if (ways.tells()) {
      daemons.forEach(daemon -> refusing.addAll(daemon.dispatcher.rejecting()));
    }
    for (Daemon daemon : daemons) {
      Map<String, Integer> others = new HashMap<>();
      heads.forEach(
          (id, head) -> others.put(id, head.requests() - daemon.dispatcher.state(id).inFlight()));
      double delay = NOTE_DELAY_SECONDS * random.nextDouble();
      at(
          now + delay,
          () -> {
            daemon.dispatcher.setPeersInFlight(others);
            daemon.dispatcher.setReportedRejecting(refusing);
          });
    }
  }
}
