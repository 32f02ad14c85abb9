package org.fawnvale.serving.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.peer.MessageRouting;
import org.junit.jupiter.api.Test;

/**
 * Guards against daemons of a large fleet that learn too late of a quarantined request. Three
 * daemons in different data centres each see one node end; messages between data centres pass
 * through relays, and datagrams are lost.
 */
class QuarantinePropagationTest {

  private static final long MILLI = 1_000_000L;
  private static final int TICK_MILLIS = 25;

  /** Ticks between two messages. */
  private static final int MESSAGE_TICKS = 6;

  private static final int DATA_CENTRES = 3;
  private static final Fingerprint REQUEST = new Fingerprint(1);
  private static final Fingerprint PART = new Fingerprint(-1);
  private static final int PARTS_BESIDE = 20;
  private static final int REQUESTS_BESIDE = 40;
  private static final String LEADER = "d00";

  private final List<Daemon> daemons = new ArrayList<>();
  private Random random;
  private long now;

  private static final class Daemon {
    final MessageRouting.Peer self;
    final MessageRouting routing;
    final Quarantine quarantine = new Quarantine();
    final PartQuarantine parts = new PartQuarantine();
    int ticks;
    int messages;

    Daemon(int number) {
      String name = String.format("d%02d", number);
      self = new MessageRouting.Peer(name, name, "dc" + number % DATA_CENTRES);
      routing = new MessageRouting(name, self.dataCentre());
      ticks = number;
      messages = number;
    }

    boolean takeUrgent() {
      boolean urgent = parts.takeUrgent();
      return quarantine.takeUrgent() || urgent;
    }
  }

  private void start(int count, long seed) {
    daemons.clear();
    random = new Random(seed);
    now = 0;
    for (int number = 0; number < count; number++) {
      daemons.add(new Daemon(number));
    }
  }

  private void send(Daemon from, boolean urgent, double lossRate) {
    List<MessageRouting.Peer> others = new ArrayList<>();
    daemons.stream().filter(daemon -> daemon != from).forEach(daemon -> others.add(daemon.self));
    from.messages++;
    boolean relays = MessageRouting.hasRelays(daemons.size()) && from.routing.isRelay(others);
    List<QuarantineRecord> records = from.quarantine.recordsToSend(relays, now);
    List<PartRecord> partRecords = from.parts.recordsToSend(relays, now);
    MessageRouting.SendContext context =
        new MessageRouting.SendContext(
            from.messages, LEADER.equals(from.self.name()), LEADER, urgent);
    Set<String> targets = from.routing.targets(others, context);
    for (Daemon to : daemons) {
      if (targets.contains(to.self.address()) && random.nextDouble() >= lossRate) {
        to.quarantine.mergeFromPeer(records, now);
        to.parts.merge(partRecords, now);
      }
    }
  }

  private long millisUntilAllQuarantine(double lossRate) {
    return millisUntilAll(daemon -> daemon.quarantine.isQuarantined(REQUEST, now), lossRate);
  }

  private long millisUntilAll(Predicate<Daemon> condition, double lossRate) {
    while (!daemons.stream().allMatch(condition)) {
      now += TICK_MILLIS * MILLI;
      for (Daemon daemon : daemons) {
        boolean urgent = daemon.takeUrgent();
        daemon.ticks++;
        if (urgent || daemon.ticks % MESSAGE_TICKS == 0) {
          send(daemon, urgent, lossRate);
        }
      }
      assertThat(now).as("all refuse it in time").isLessThan(10_000 * MILLI);
    }
    return now / MILLI;
  }

  private long longestMillis(int count, double lossRate) {
    long longestMillis = 0;
    for (int run = 0; run < 50; run++) {
      start(count, run);
      for (int failure = 0; failure < Quarantine.MAX_FAILURES; failure++) {
        Daemon witness = daemons.get(count - 1 - failure);
        witness.quarantine.recordFailure(REQUEST, NodeIncarnation.only("n" + failure), now);
      }
      longestMillis = Math.max(longestMillis, millisUntilAllQuarantine(lossRate));
    }
    return longestMillis;
  }

  /** Each of the last crashes is seen by another daemon, beside parts that crash nothing. */
  private long longestMillisForPart(int count, double lossRate) {
    long longestMillis = 0;
    for (int run = 0; run < 20; run++) {
      start(count, run);
      for (int crash = 0; crash < PartQuarantine.MIN_CRASHES; crash++) {
        PartQuarantine witness = daemons.get(count - 1 - crash).parts;
        NodeIncarnation node = NodeIncarnation.only("n" + crash);
        for (int beside = 0; beside < PARTS_BESIDE; beside++) {
          Fingerprint sound = new Fingerprint(1 + crash * PARTS_BESIDE + beside);
          witness.recordCrash(List.of(sound), node, now);
        }
        witness.recordCrash(List.of(PART), node, now);
      }
      longestMillis =
          Math.max(
              longestMillis,
              millisUntilAll(
                  daemon -> !daemon.parts.barredAmong(List.of(PART), now).isEmpty(), lossRate));
    }
    return longestMillis;
  }

  /** Callers allow 3 s from the fifth crash; the third bars a part. */
  @Test
  void allDaemonsBarACrashingPartInTime() {
    assertThat(longestMillisForPart(9, 0.1)).isLessThanOrEqualTo(3_000);
    assertThat(longestMillisForPart(78, 0.1)).isLessThanOrEqualTo(3_000);
  }

  @Test
  void allDaemonsOfLargeFleetQuarantineInTime() {
    assertThat(longestMillis(78, 0)).isLessThanOrEqualTo(1_000);
    assertThat(longestMillis(78, 0.1)).isLessThanOrEqualTo(3_000);
  }

  /** Each crash breaks more requests than a message has room for. */
  @Test
  void allDaemonsQuarantineARequestThatCrashedBesideManyOthers() {
    for (int run = 0; run < 20; run++) {
      start(9, run);
      for (int failure = 0; failure < Quarantine.MAX_FAILURES; failure++) {
        Quarantine witness = daemons.get(failure).quarantine;
        NodeIncarnation node = NodeIncarnation.only("n" + failure);
        for (int beside = 0; beside < REQUESTS_BESIDE; beside++) {
          long number = 2 + failure * REQUESTS_BESIDE + beside;
          witness.recordFailure(new Fingerprint(number), node, now);
        }
        witness.recordFailure(REQUEST, node, now);
      }
      assertThat(millisUntilAllQuarantine(0.1)).isLessThanOrEqualTo(3_000);
    }
  }

  @Test
  void allDaemonsOfSmallFleetQuarantineInTime() {
    assertThat(longestMillis(9, 0)).isLessThanOrEqualTo(100);
    assertThat(longestMillis(9, 0.1)).isLessThanOrEqualTo(1_000);
  }
}
