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
import java.util.function.LongUnaryOperator;
import org.fawnvale.serving.core.demand.EngineTimes;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeLife;
import org.fawnvale.serving.core.model.RequestSize;

/**
 * Plays a load in simulated time: callers of streams before many daemons, each with a dispatcher of
 * its own, before the heads of one model that work by the engines' published arithmetic. Daemons
 * hear of each other's requests by notes only. Tells what callers get.
 */
final class LoadPlay {

  private static final int DATA_CENTRES = 3;
  private static final double NOTE_SECONDS = 0.3;
  private static final double NOTE_DELAY_SECONDS = 0.15;
  private static final double WARM_UP_SECONDS = 2;
  private static final double LEFT_SECONDS = 8;
  private static final int EVENT_TOKENS = 5;

  private final Load load;
  private final LongUnaryOperator returnMillis;
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

  private record Due(double at, Runnable what) {}

  private static final class Daemon {
    final Dispatcher dispatcher;

    Daemon(String dataCentre, Random random) {
      dispatcher = new Dispatcher(dataCentre, random, new UpstreamGate(), () -> 0);
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
    final Deque<Caller> waiting = new ArrayDeque<>();
    final List<Caller> reading = new ArrayList<>();
    final List<Caller> writing = new ArrayList<>();
    boolean works;

    Head(Node node) {
      this.node = node;
    }

    int requests() {
      return waiting.size() + reading.size() + writing.size();
    }
  }

  private LoadPlay(Load load, LongUnaryOperator returnMillis, long seed) {
    this.load = load;
    this.returnMillis = returnMillis;
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
    return new LoadPlay(load, returnMillis, seed).run();
  }

  private Outcome run() {
    List<Node> nodes = new ArrayList<>();
    for (int number = 0; number < load.heads(); number++) {
      Node node = head(number);
      nodes.add(node);
      heads.put(node.id(), new Head(node));
    }
    for (int number = 0; number < load.daemons(); number++) {
      Daemon daemon = new Daemon("dc" + number % DATA_CENTRES, random);
      daemon.dispatcher.serve(nodes);
      daemon.dispatcher.daemons(load.daemons());
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
        NodeLife.only("h" + number),
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
    Demand.Claim claim = caller.returns ? Demand.Claim.RETURNING : Demand.Claim.FIRST;
    Demand demand = new Demand("engines", load.model().name(), claim);
    Choice choice = caller.daemon.dispatcher.choose(demand, Set.of());
    if (choice instanceof Choice.Send send) {
      begin(caller, heads.get(send.node().id()));
      return;
    }
    refused += counts(caller) ? 1 : 0;
    if (caller.returns) {
      lost += counts(caller) ? 1 : 0;
      return;
    }
    caller.returns = true;
    long left = load.deadlineMillis();
    at(now + returnMillis.applyAsLong(left) / 1e3, () -> arrive(caller));
  }

  private void begin(Caller caller, Head head) {
    caller.daemon.dispatcher.state(head.node.id()).sent((long) (now * 1e9));
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
    double millis = read * 1e3 / engine.readTokensPerSecond() * load.model().pace();
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
    caller.daemon.dispatcher.state(head.node.id()).ended(true, false);
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
    for (Daemon daemon : daemons) {
      Map<String, Integer> others = new HashMap<>();
      heads.forEach(
          (id, head) -> others.put(id, head.requests() - daemon.dispatcher.state(id).inFlight()));
      double delay = NOTE_DELAY_SECONDS * random.nextDouble();
      at(now + delay, () -> daemon.dispatcher.peersInFlight(others));
    }
  }
}
