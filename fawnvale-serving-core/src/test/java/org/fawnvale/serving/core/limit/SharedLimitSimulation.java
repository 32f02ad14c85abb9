package org.fawnvale.serving.core.limit;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.fawnvale.serving.core.model.AdvertisedLimit;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.model.NodeResponse;
import org.fawnvale.serving.core.model.ServiceSpec;
import org.fawnvale.serving.core.peer.RendezvousOwners;

/**
 * Simulates daemons in front of one node that advertises a limit, or in front of the nodes of a
 * data centre that come back cold at once. Callers send to any daemon. Daemons exchange limits and
 * request permits with delays, may be killed, and may be partitioned. The outcome is what a node
 * receives.
 */
final class SharedLimitSimulation {

  private static final long MILLI = 1_000_000L;
  private static final long SECOND = 1_000 * MILLI;
  private static final long ANSWER_NANOS = 100 * MILLI;
  private static final long MESSAGE_NANOS = 150 * MILLI;
  private static final long TIMEOUT_NANOS = 500 * MILLI;
  private static final String SERVICE = "s";
  private static final int DATA_CENTRES = 3;
  private static final int SLOTS = 18;
  private static final int MAX_PERMIT_REQUESTS = 3;
  private static final int COLD_MILLIS = 20_000;

  /** Of the messages between daemons, one of this number is lost when nodes come back cold. */
  private static final int LOST_ONE_OF = 3;

  private final Scenario scenario;
  private final Strategy strategy;
  private final Random random;
  private final List<Daemon> daemons = new ArrayList<>();
  private final Map<Node, List<Long>> arrivals = new LinkedHashMap<>();
  private final Queue<Event> events =
      new PriorityQueue<>((first, second) -> Long.compare(first.at(), second.at()));
  private final List<Node> nodes;
  private long now;

  /**
   * What to simulate.
   *
   * @param daemons number of daemons
   * @param limit requests per second that the node accepts
   * @param demand requests per second that callers send, spread over all daemons
   * @param seconds duration
   * @param killedAt when the owner of the limit is killed, in seconds; 0 for never
   * @param partitionedAt when a third of the daemons is partitioned from the others, in seconds; 0
   *     for never
   * @param partitionSeconds duration of the partition, in seconds
   * @param coldNodes how many nodes come back cold; 0 for one node that advertises the limit. Their
   *     news and those of daemons take 150 to 600 ms, and a third of all messages is lost
   * @param startsTogether whether the daemons start when the nodes come back and know no peers yet
   */
  record Scenario(
      int daemons,
      double limit,
      double demand,
      int seconds,
      int killedAt,
      int partitionedAt,
      int partitionSeconds,
      int coldNodes,
      boolean startsTogether) {

    Scenario(
        int daemons,
        double limit,
        double demand,
        int seconds,
        int killedAt,
        int partitionedAt,
        int partitionSeconds) {
      this(daemons, limit, demand, seconds, killedAt, partitionedAt, partitionSeconds, 0, false);
    }

    /** Nodes that come back cold, with ten callers for each of their slots who ask every second. */
    static Scenario coldDataCentre(
        int daemons, int nodes, int killedAt, int partitionedAt, boolean startsTogether) {
      return new Scenario(
          daemons,
          COLD_PER_SECOND,
          10.0 * SLOTS * nodes,
          COLD_MILLIS / 1_000,
          killedAt,
          partitionedAt,
          5,
          nodes,
          startsTogether);
    }

    private long windowNanos() {
      return coldNodes > 0 ? SECOND : 4 * SECOND;
    }

    /** The start of the simulation is not judged for an advertised limit, but for cold nodes. */
    private int skippedSeconds() {
      return coldNodes > 0 ? 0 : 3;
    }

    static Scenario steady(int daemons, double limit, double demand) {
      return new Scenario(daemons, limit, demand, 40, 0, 0, 0);
    }
  }

  /**
   * What the nodes received; of a node that advertises a limit, without the first three seconds.
   *
   * @param worstWindow the maximum number of requests of a node in four seconds; in one second when
   *     nodes come back cold
   * @param used the fraction of the limits that was used
   */
  record Outcome(int worstWindow, double used) {}

  /** The requests per second that a cold node accepts. */
  static final double COLD_PER_SECOND = 15;

  /** How the daemons enforce the limit. */
  enum Strategy {
    /** Each daemon applies the whole limit on its own. */
    INDEPENDENT,
    /** Each daemon applies an equal share, with a burst of two requests. */
    EQUAL_SHARES,
    /** The owner uses the limit; the other daemons send nothing. */
    OWNER_ONLY,
    /** The owner uses the limit and grants permits to the other daemons. */
    PERMITS
  }

  private record Event(long at, Runnable action) {}

  private static final class Daemon {
    final RendezvousOwners.Daemon self;
    final RendezvousOwners owners;
    final SharedLimits limits;
    final TokenBucket own = new TokenBucket(0);
    boolean alive = true;
    boolean knowsNodes;
    int seen;
    int side;
    Set<Daemon> missing = new HashSet<>();

    Daemon(int number, boolean starts, long nowNanos) {
      self = new RendezvousOwners.Daemon("d" + number, "a" + number, "dc" + number % DATA_CENTRES);
      owners = starts ? new RendezvousOwners(self, nowNanos) : new RendezvousOwners(self);
      limits = new SharedLimits(owners);
    }
  }

  private SharedLimitSimulation(Scenario scenario, Strategy strategy, long seed) {
    this.scenario = scenario;
    this.strategy = strategy;
    this.random = new Random(seed);
    this.nodes =
        IntStream.range(0, Math.max(1, scenario.coldNodes())).mapToObj(this::node).toList();
    nodes.forEach(node -> arrivals.put(node, new ArrayList<>()));
  }

  private Node node(int number) {
    return new Node(
        NodeIncarnation.only("n" + (number + 1)),
        SERVICE,
        new Endpoint("10.0.0.1", 1),
        "dc0",
        SLOTS,
        false,
        "",
        null,
        List.of(),
        null,
        scenario.coldNodes() > 0 ? COLD_MILLIS : 0);
  }

  static Outcome run(Scenario scenario, Strategy strategy, long seed) {
    return new SharedLimitSimulation(scenario, strategy, seed).run();
  }

  private Outcome run() {
    for (int number = 0; number < scenario.daemons(); number++) {
      daemons.add(new Daemon(number, scenario.startsTogether(), 60 * SECOND));
    }
    now = 60 * SECOND;
    daemons.forEach(daemon -> daemon.knowsNodes = scenario.coldNodes() == 0);
    if (scenario.startsTogether()) {
      startDaemons();
    } else {
      now = 0;
      updateReachable();
    }
    schedule(60 * SECOND, this::arrive);
    if (scenario.coldNodes() > 0) {
      daemons.forEach(daemon -> schedule(60 * SECOND + listNanos(), () -> learnNodes(daemon)));
      schedule(60 * SECOND, this::loseSight);
    }
    schedule(60 * SECOND, this::exchange);
    if (scenario.killedAt() > 0) {
      schedule((60 + scenario.killedAt()) * SECOND, this::killOwner);
    }
    if (scenario.partitionedAt() > 0) {
      schedule((60 + scenario.partitionedAt()) * SECOND, () -> setPartition(true));
      schedule(
          (60 + scenario.partitionedAt() + scenario.partitionSeconds()) * SECOND,
          () -> setPartition(false));
    }
    long end = (60 + scenario.seconds()) * SECOND;
    while (!events.isEmpty() && events.peek().at() < end) {
      Event event = events.poll();
      now = event.at();
      event.action().run();
    }
    return outcome((60 + scenario.skippedSeconds()) * SECOND, end);
  }

  /** The time until news arrives of which each message takes 150 to 600 ms or is lost. */
  private long newsNanos() {
    long delay = (150 + random.nextInt(450)) * MILLI;
    while (random.nextInt(LOST_ONE_OF) == 0) {
      delay += MESSAGE_NANOS;
    }
    return delay;
  }

  /** A daemon that starts lists the nodes itself, and may know them before it hears any peer. */
  private long listNanos() {
    return scenario.startsTogether() ? random.nextInt(150) * MILLI : newsNanos();
  }

  private void learnNodes(Daemon daemon) {
    daemon.knowsNodes = true;
    ServiceSpec.ColdStart start = new ServiceSpec.ColdStart(COLD_MILLIS, COLD_PER_SECOND);
    ServiceSpec service = new ServiceSpec(SERVICE, 50, null, start);
    daemon.limits.coldPeriods().update(nodes, Map.of(SERVICE, service), now);
  }

  /** Each daemon knows itself only and learns of the others one by one. */
  private void startDaemons() {
    for (Daemon daemon : daemons) {
      daemon.missing.addAll(daemons);
      updateReachable(daemon);
      daemons.forEach(
          peer ->
              schedule(
                  now + newsNanos(),
                  () -> {
                    daemon.missing.remove(peer);
                    updateReachable(daemon);
                  }));
    }
  }

  /** From time to time a daemon misses all messages of another one for a while. */
  private void loseSight() {
    schedule(now + 100 * MILLI, this::loseSight);
    Daemon daemon = daemons.get(random.nextInt(daemons.size()));
    Daemon peer = daemons.get(random.nextInt(daemons.size()));
    if (daemon.missing.add(peer)) {
      updateReachable(daemon);
      schedule(
          now + newsNanos(),
          () -> {
            daemon.missing.remove(peer);
            updateReachable(daemon);
          });
    }
  }

  private void schedule(long time, Runnable action) {
    events.add(new Event(time, action));
  }

  private Outcome outcome(long from, long end) {
    int worst = 0;
    int total = 0;
    for (List<Long> atNode : arrivals.values()) {
      List<Long> counted = atNode.stream().filter(at -> at >= from && at < end).sorted().toList();
      total += counted.size();
      int first = 0;
      for (int last = 0; last < counted.size(); last++) {
        while (counted.get(last) - counted.get(first) >= scenario.windowNanos()) {
          first++;
        }
        worst = Math.max(worst, last - first + 1);
      }
    }
    double allowed = nodes.size() * scenario.limit() * (end - from) / SECOND;
    return new Outcome(worst, total / allowed);
  }

  private void updateReachable() {
    daemons.forEach(this::updateReachable);
  }

  private void updateReachable(Daemon daemon) {
    List<RendezvousOwners.Daemon> others = new ArrayList<>();
    for (Daemon peer : daemons) {
      boolean reachable = peer != daemon && peer.alive && peer.side == daemon.side;
      if (reachable && !daemon.missing.contains(peer)) {
        others.add(peer.self);
      }
    }
    daemon.seen = Math.max(daemon.seen, others.size() + 1);
    if (daemon.owners.updateReachable(others, daemon.seen, now)) {
      daemon.limits.ownersChanged(now);
    }
  }

  /** All daemons notice a change at once; when nodes come back cold, each at its own time. */
  private void noticeAfter(long nanos) {
    if (scenario.coldNodes() == 0) {
      schedule(now + nanos, this::updateReachable);
    } else {
      daemons.forEach(daemon -> schedule(now + nanos + newsNanos(), () -> updateReachable(daemon)));
    }
  }

  private void killOwner() {
    String owner = daemons.get(0).limits.ownerOf(nodes.get(0)).name();
    daemons.forEach(daemon -> daemon.alive &= !daemon.self.name().equals(owner));
    noticeAfter(TIMEOUT_NANOS + MESSAGE_NANOS);
  }

  /** The two sides can't reach each other; both still reach the nodes. */
  private void setPartition(boolean partitioned) {
    for (int number = 0; number < daemons.size(); number++) {
      daemons.get(number).side = partitioned && number % DATA_CENTRES == 1 ? 1 : 0;
    }
    noticeAfter(partitioned ? TIMEOUT_NANOS : MESSAGE_NANOS);
  }

  /** Sends the limits of each daemon to the others, on average in one of ten rounds. */
  private void exchange() {
    schedule(now + MESSAGE_NANOS, this::exchange);
    Set<Daemon> alive = new HashSet<>(daemons);
    alive.removeIf(daemon -> !daemon.alive);
    for (Daemon from : alive) {
      List<LimitUpdate> updates = from.limits.updatesToSend(false, now);
      if (!updates.isEmpty() && random.nextInt(10) == 0) {
        alive.stream().filter(to -> to.side == from.side).forEach(to -> deliver(to, updates));
      }
    }
  }

  private void deliver(Daemon to, List<LimitUpdate> updates) {
    updates.forEach(update -> to.limits.merge(update, now));
  }

  private void arrive() {
    schedule(
        now + (long) (-Math.log(1 - random.nextDouble()) / scenario.demand() * SECOND),
        this::arrive);
    Daemon daemon = daemons.get(random.nextInt(daemons.size()));
    if (!daemon.alive || !daemon.knowsNodes) {
      return;
    }
    Node node = nodes.get(0);
    switch (strategy) {
      case INDEPENDENT ->
          sendIf(
              daemon,
              node,
              isUnknown(daemon, node) || daemon.own.tryAcquire(scenario.limit(), 1, now));
      case EQUAL_SHARES ->
          sendIf(
              daemon,
              node,
              isUnknown(daemon, node)
                  || daemon.own.tryAcquire(scenario.limit(), 1.0 / scenario.daemons(), now));
      default -> sendToOneOf(daemon, nodes, 0);
    }
  }

  private static boolean isUnknown(Daemon daemon, Node node) {
    return daemon.limits.knownLimits().perSecond(node.life()) == LimitUpdate.UNLIMITED;
  }

  /** Tries random nodes that have room, until one takes the request or none is left. */
  private void sendToOneOf(Daemon daemon, List<Node> candidates, int permitRequests) {
    List<Node> usable =
        candidates.stream()
            .filter(node -> daemon.limits.admission(node, now) != SharedLimits.Admission.EXHAUSTED)
            .toList();
    if (usable.isEmpty()) {
      return;
    }
    Node node = usable.get(random.nextInt(usable.size()));
    switch (daemon.limits.admission(node, now)) {
      case UNLIMITED, PERMITTED -> sendIf(daemon, node, daemon.limits.tryAcquire(node, now));
      case ASK_OWNER -> {
        if (strategy == Strategy.PERMITS && permitRequests < MAX_PERMIT_REQUESTS) {
          List<Node> others = usable.stream().filter(other -> other != node).toList();
          requestPermit(daemon, node, () -> sendToOneOf(daemon, others, permitRequests + 1));
        }
      }
      case EXHAUSTED -> {
        // The request is rejected.
      }
    }
  }

  private boolean isLost() {
    return scenario.coldNodes() > 0 && random.nextInt(LOST_ONE_OF) == 0;
  }

  private void requestPermit(Daemon daemon, Node node, Runnable onDenied) {
    String name = daemon.limits.ownerOf(node).name();
    Daemon owner = daemons.get(Integer.parseInt(name.substring(1)));
    LimitUpdate known = daemon.limits.updateFor(node.life(), now);
    LimitUpdate update = known == null ? LimitUpdate.nothingKnown(node.life()) : known;
    long coldMillis = daemon.limits.coldPeriods().remainingMillis(node.life(), now);
    long delay = (1 + random.nextInt(4)) * MILLI;
    if (!owner.alive || owner.side != daemon.side || isLost()) {
      onReply(daemon, node, new SharedLimits.NotOwned(), onDenied);
      return;
    }
    schedule(
        now + delay,
        () -> {
          owner.limits.merge(update, now);
          owner
              .limits
              .coldPeriods()
              .extend(node.life(), node.service(), coldMillis, ColdPeriods.Source.PEER, now);
          SharedLimits.Reply reply =
              owner.limits.requestPermit(node.life(), node.dataCentre(), now);
          SharedLimits.Reply received = isLost() ? new SharedLimits.NotOwned() : reply;
          schedule(now + delay, () -> onReply(daemon, node, received, onDenied));
        });
  }

  private void onReply(Daemon daemon, Node node, SharedLimits.Reply reply, Runnable onDenied) {
    if (reply instanceof SharedLimits.Granted) {
      daemon.limits.permitGranted(node.life(), now);
      sendIf(daemon, node, daemon.limits.tryAcquire(node, now));
    } else {
      long wait = reply instanceof SharedLimits.Denied denied ? denied.nanos() : 300 * MILLI;
      daemon.limits.permitDenied(node.life(), wait, now);
      onDenied.run();
    }
  }

  private void sendIf(Daemon daemon, Node node, boolean mayBeSent) {
    if (!mayBeSent) {
      return;
    }
    if (scenario.coldNodes() > 0) {
      long travel = random.nextInt(40) * MILLI;
      schedule(now + travel, () -> arrivals.get(node).add(now));
      return;
    }
    arrivals.get(node).add(now);
    int version = daemon.limits.knownLimits().version(node.life());
    NodeResponse response =
        new NodeResponse(200, false, false, 0, null, AdvertisedLimit.of(scenario.limit(), "named"));
    schedule(
        now + ANSWER_NANOS,
        () -> daemon.limits.recordResponse(node.life(), response, version, true, now));
  }
}
