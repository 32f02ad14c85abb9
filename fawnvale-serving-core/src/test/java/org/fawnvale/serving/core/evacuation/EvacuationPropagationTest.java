package org.fawnvale.serving.core.evacuation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import org.fawnvale.serving.core.peer.EvacuationState;
import org.fawnvale.serving.core.peer.MessageRouting;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePosition;
import org.junit.jupiter.api.Test;

/**
 * Guards against daemons that learn too late of an evacuation when a third of the messages between
 * daemons is lost and messages take up to 100 ms.
 */
class EvacuationPropagationTest {

  private static final int TICK_MILLIS = 25;
  private static final int MESSAGE_TICKS = 6;
  private static final int DATA_CENTRES = 3;
  private static final int MAX_DELAY_MILLIS = 100;
  private static final int RUNS = 30;
  private static final double LOSS_RATE = 1.0 / 3;
  private static final String LEADER = "d000";
  private static final EvacuationState BEFORE = state(7);
  private static final EvacuationState EVACUATED = state(8, "dc1");

  /** The bound of the operators, and the own target of a second. */
  private static final long BOUND_MILLIS = 5_000;

  private static final long TARGET_MILLIS = 1_000;

  private record Message(long arrivalMillis, Daemon to, EvacuationState state) {}

  private static final class Daemon {
    final MessageRouting.Peer self;
    final MessageRouting routing;
    final Evacuations evacuations = Evacuations.unknown();
    int ticks;
    int messages;

    Daemon(int number, int phase) {
      String name = String.format(Locale.ROOT, "d%03d", number);
      self = new MessageRouting.Peer(name, name, "dc" + number % DATA_CENTRES);
      routing = new MessageRouting(name, self.dataCentre());
      ticks = phase;
      messages = phase;
      evacuations.receive(BEFORE);
    }
  }

  private final List<Daemon> daemons = new ArrayList<>();
  private final Queue<Message> underWay =
      new PriorityQueue<>(Comparator.comparingLong(Message::arrivalMillis));
  private Random random = new Random(0);
  private long nowMillis;

  private static EvacuationState state(long revision, String... dataCentres) {
    return new EvacuationState(new StorePosition(new StoreEra(1), revision), Set.of(dataCentres));
  }

  private void send(Daemon from, boolean urgent) {
    List<MessageRouting.Peer> others = new ArrayList<>();
    daemons.stream().filter(daemon -> daemon != from).forEach(daemon -> others.add(daemon.self));
    from.messages++;
    boolean leads = LEADER.equals(from.self.name());
    Set<String> targets =
        from.routing.targets(
            others, new MessageRouting.SendContext(from.messages, leads, LEADER, urgent));
    for (Daemon to : daemons) {
      if (targets.contains(to.self.address()) && random.nextDouble() >= LOSS_RATE) {
        long arrival = nowMillis + random.nextInt(MAX_DELAY_MILLIS);
        underWay.add(new Message(arrival, to, from.evacuations.state()));
      }
    }
  }

  /**
   * Runs a fleet in which some daemons read the evacuation from the store at the start.
   *
   * @return the time until all daemons know it, in milliseconds
   */
  private long millisUntilAllKnow(int count, int watchers, long seed) {
    random = new Random(seed);
    daemons.clear();
    underWay.clear();
    nowMillis = 0;
    for (int number = 0; number < count; number++) {
      daemons.add(new Daemon(number, random.nextInt(MESSAGE_TICKS)));
    }
    for (Daemon watcher : daemons.subList(count - watchers, count)) {
      watcher.evacuations.receive(EVACUATED);
      send(watcher, true);
    }
    while (!daemons.stream().allMatch(daemon -> daemon.evacuations.isEvacuated("dc1"))) {
      nowMillis += TICK_MILLIS;
      while (!underWay.isEmpty() && underWay.peek().arrivalMillis() <= nowMillis) {
        Message message = underWay.remove();
        message.to().evacuations.receive(message.state());
      }
      for (Daemon daemon : daemons) {
        daemon.ticks++;
        if (daemon.ticks % MESSAGE_TICKS == 0) {
          send(daemon, false);
        }
      }
      assertThat(nowMillis).as("all know it in time").isLessThan(BOUND_MILLIS);
    }
    return nowMillis;
  }

  /** Returns the times of all runs, sorted. */
  private List<Long> times(int count, int watchers) {
    List<Long> times = new ArrayList<>();
    for (int run = 0; run < RUNS; run++) {
      times.add(millisUntilAllKnow(count, watchers, run));
    }
    Collections.sort(times);
    return times;
  }

  @Test
  void allDaemonsKnowWithinTheTargetWhenOneOfEachDataCentreReadsTheStore() {
    for (int count : new int[] {9, 83, 300}) {
      List<Long> times = times(count, DATA_CENTRES);
      assertThat(times.get(RUNS - 1)).as("%s daemons", count).isLessThanOrEqualTo(TARGET_MILLIS);
    }
  }

  @Test
  void allDaemonsKnowWithinTheBoundWhenTheStoreAnswersOnlyOne() {
    for (int count : new int[] {9, 83, 300}) {
      List<Long> times = times(count, 1);
      assertThat(times.get(RUNS - 1)).as("%s daemons", count).isLessThan(BOUND_MILLIS / 2);
    }
  }
}
