package org.fawnvale.serving.core.limit;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import org.fawnvale.serving.core.model.AdvertisedLimit;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.model.NodeResponse;
import org.fawnvale.serving.core.peer.RendezvousOwners;

/**
 * Simulates daemons in front of one node that advertises a limit. Callers send to any daemon.
 * Daemons exchange limits and request permits with delays, may be killed, and may be partitioned.
 * The outcome is what the node receives.
 */
final class SharedLimitSimulation {

  private static final long MILLI = 1_000_000L;
  private static final long SECOND = 1_000 * MILLI;
  private static final long WINDOW_NANOS = 4 * SECOND;
  private static final long ANSWER_NANOS = 100 * MILLI;
  private static final long MESSAGE_NANOS = 150 * MILLI;
  private static final long TIMEOUT_NANOS = 500 * MILLI;
  private static final int DATA_CENTRES = 3;

  private final Scenario scenario;
  private final Strategy strategy;
  private final Random random;
  private final List<Daemon> daemons = new ArrayList<>();
  private final List<Long> arrivals = new ArrayList<>();
  private final Queue<Event> events =
      new PriorityQueue<>((first, second) -> Long.compare(first.at(), second.at()));
  private final Node node =
      new Node(
          NodeIncarnation.only("n1"),
          "s",
          new Endpoint("10.0.0.1", 1),
          "dc0",
          18,
          false,
          "",
          null,
          List.of(),
          null);
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
   */
  record Scenario(
      int daemons,
      double limit,
      double demand,
      int seconds,
      int killedAt,
      int partitionedAt,
      int partitionSeconds) {

    static Scenario steady(int daemons, double limit, double demand) {
      return new Scenario(daemons, limit, demand, 40, 0, 0, 0);
    }
  }

  /**
   * What the node received, without the first three seconds.
   *
   * @param worstWindow the maximum number of requests in four seconds
   * @param used the fraction of the limit that was used
   */
  record Outcome(int worstWindow, double used) {}

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
    int side;

    Daemon(int number) {
      self = new RendezvousOwners.Daemon("d" + number, "a" + number, "dc" + number % DATA_CENTRES);
      owners = new RendezvousOwners(self);
      limits = new SharedLimits(owners);
    }
  }

  private SharedLimitSimulation(Scenario scenario, Strategy strategy, long seed) {
    this.scenario = scenario;
    this.strategy = strategy;
    this.random = new Random(seed);
  }

  static Outcome run(Scenario scenario, Strategy strategy, long seed) {
    return new SharedLimitSimulation(scenario, strategy, seed).run();
  }

  private Outcome run() {
    for (int number = 0; number < scenario.daemons(); number++) {
      daemons.add(new Daemon(number));
    }
    updateReachable();
    schedule(60 * SECOND, this::arrive);
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
    return outcome(63 * SECOND, end);
  }

  private void schedule(long time, Runnable action) {
    events.add(new Event(time, action));
  }

  private Outcome outcome(long from, long end) {
    List<Long> counted = arrivals.stream().filter(at -> at >= from).toList();
    int worst = 0;
    int first = 0;
    for (int last = 0; last < counted.size(); last++) {
      while (counted.get(last) - counted.get(first) >= WINDOW_NANOS) {
        first++;
      }
      worst = Math.max(worst, last - first + 1);
    }
    double allowed = scenario.limit() * (end - from) / SECOND;
    return new Outcome(worst, counted.size() / allowed);
  }

  private void updateReachable() {
    int alive = (int) daemons.stream().filter(daemon -> daemon.alive).count();
    for (Daemon daemon : daemons) {
      List<RendezvousOwners.Daemon> others = new ArrayList<>();
      for (Daemon peer : daemons) {
        if (peer != daemon && peer.alive && peer.side == daemon.side) {
          others.add(peer.self);
        }
      }
      if (daemon.owners.updateReachable(others, Math.max(alive, scenario.daemons()), now)) {
        daemon.limits.ownersChanged(now);
      }
    }
  }

  private void killOwner() {
    String owner = daemons.get(0).limits.ownerOf(node).name();
    daemons.forEach(daemon -> daemon.alive &= !daemon.self.name().equals(owner));
    schedule(now + TIMEOUT_NANOS + MESSAGE_NANOS, this::updateReachable);
  }

  /** The two sides can't reach each other; both still reach the node. */
  private void setPartition(boolean partitioned) {
    for (int number = 0; number < daemons.size(); number++) {
      daemons.get(number).side = partitioned && number % DATA_CENTRES == 1 ? 1 : 0;
    }
    schedule(now + (partitioned ? TIMEOUT_NANOS : MESSAGE_NANOS), this::updateReachable);
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
    if (!daemon.alive) {
      return;
    }
    switch (strategy) {
      case INDEPENDENT ->
          sendIf(daemon, isUnknown(daemon) || daemon.own.tryAcquire(scenario.limit(), 1, now));
      case EQUAL_SHARES ->
          sendIf(
              daemon,
              isUnknown(daemon)
                  || daemon.own.tryAcquire(scenario.limit(), 1.0 / scenario.daemons(), now));
      default -> sendIfAdmitted(daemon);
    }
  }

  private boolean isUnknown(Daemon daemon) {
    return daemon.limits.knownLimits().perSecond(node.life()) == LimitUpdate.UNLIMITED;
  }

  private void sendIfAdmitted(Daemon daemon) {
    switch (daemon.limits.admission(node, now)) {
      case UNLIMITED, PERMITTED -> sendIf(daemon, daemon.limits.tryAcquire(node, now));
      case ASK_OWNER -> {
        if (strategy == Strategy.PERMITS) {
          requestPermit(daemon);
        }
      }
      case EXHAUSTED -> {
        // The request is rejected.
      }
    }
  }

  private void requestPermit(Daemon daemon) {
    String name = daemon.limits.ownerOf(node).name();
    Daemon owner = daemons.get(Integer.parseInt(name.substring(1)));
    LimitUpdate update = daemon.limits.updateFor(node.life(), now);
    long delay = (1 + random.nextInt(4)) * MILLI;
    if (!owner.alive || owner.side != daemon.side || update == null) {
      daemon.limits.permitDenied(node.life(), 300 * MILLI, now);
      return;
    }
    schedule(
        now + delay,
        () -> {
          owner.limits.merge(update, now);
          SharedLimits.Reply reply =
              owner.limits.requestPermit(node.life(), node.dataCentre(), now);
          schedule(now + delay, () -> receiveReply(daemon, reply));
        });
  }

  private void receiveReply(Daemon daemon, SharedLimits.Reply reply) {
    if (reply instanceof SharedLimits.Granted) {
      daemon.limits.permitGranted(node.life(), now);
      sendIf(daemon, daemon.limits.tryAcquire(node, now));
    } else {
      long wait = reply instanceof SharedLimits.Denied denied ? denied.nanos() : 300 * MILLI;
      daemon.limits.permitDenied(node.life(), wait, now);
    }
  }

  private void sendIf(Daemon daemon, boolean mayBeSent) {
    if (!mayBeSent) {
      return;
    }
    arrivals.add(now);
    int version = daemon.limits.knownLimits().version(node.life());
    NodeResponse response =
        new NodeResponse(200, false, false, 0, null, AdvertisedLimit.of(scenario.limit(), "named"));
    schedule(
        now + ANSWER_NANOS,
        () -> daemon.limits.recordResponse(node.life(), response, version, true, now));
  }
}
