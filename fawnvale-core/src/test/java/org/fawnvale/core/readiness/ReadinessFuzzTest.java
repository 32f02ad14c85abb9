package org.fawnvale.core.readiness;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.fawnvale.core.model.NodeReport;
import org.fawnvale.core.model.Replica;

/**
 * A replica may serve only if each member was truly a ready member within the freshness limit:
 * members that die, return and change, probers and gateways that freeze, beats that are late.
 */
class ReadinessFuzzTest {

  private static final long FRESH = 1000;
  private static final List<String> NODES = List.of("a", "b", "c");
  private static final Replica REPLICA = new Replica("r", "role", "m", "1", 7, NODES, false);

  /** What happens next. */
  enum Kind {
    /** Time passes. */
    PASS,
    /** A node becomes a ready member, or stops being one. */
    TURN,
    /** A prober probes all nodes. */
    PROBE,
    /** A prober sends what it found, and a beat. */
    BEAT,
    /** The gateway sends its stamp to a prober. */
    STAMP,
    /** The oldest message to the gateway arrives. */
    ARRIVE,
    /** The oldest message to a prober arrives. */
    ARRIVE_STAMP
  }

  /** One step. */
  record Step(Kind kind, int prober, int node, long millis) {}

  /** A prober whose clock has an offset of its own. */
  private static final class Prober {
    private final String name;
    private final long offset;
    private final PeerTimestampLog stamps = new PeerTimestampLog();
    private final Deque<Long> stampsOnTheWay = new ArrayDeque<>();
    private final Deque<Runnable> toGateway = new ArrayDeque<>();
    private final Map<String, NodeReport> found = new HashMap<>();
    private long probedAt;
    private long version;

    Prober(String name, long offset) {
      this.name = name;
      this.offset = offset;
    }

    void beat(ReadinessTable table) {
      version++;
      long sentVersion = version;
      List<NodeReport> reports = new ArrayList<>(found.values());
      long echo = stamps.newestAt(probedAt);
      toGateway.add(() -> table.setReports(name, sentVersion, reports));
      if (echo != 0) {
        toGateway.add(() -> table.renewReports(name, sentVersion, echo, new int[0]));
      }
    }
  }

  @Property(tries = 1500, seed = "20261202")
  void noMemberWasAwayForLongerThanTheLimit(@ForAll("steps") List<Step> steps) {
    ReadinessTable table = ReadinessTable.create(FRESH);
    List<Prober> probers = List.of(new Prober("p", 5_000), new Prober("q", -3_000));
    Map<String, Long> lastReady = new HashMap<>();
    Map<String, Boolean> ready = new HashMap<>();
    long now = 1_000_000;
    NODES.forEach(node -> ready.put(node, true));
    for (Step step : steps) {
      Prober prober = probers.get(step.prober());
      String node = NODES.get(step.node());
      switch (step.kind()) {
        case PASS -> now += step.millis();
        case TURN -> {
          noteReady(ready, lastReady, now);
          ready.merge(node, true, (before, x) -> !before);
        }
        case PROBE -> probe(prober, ready, now);
        case BEAT -> prober.beat(table);
        case STAMP -> prober.stampsOnTheWay.add(now);
        case ARRIVE -> run(prober.toGateway.poll());
        default -> {
          Long stamp = prober.stampsOnTheWay.poll();
          if (stamp != null) {
            prober.stamps.add(stamp, now + prober.offset);
          }
        }
      }
      noteReady(ready, lastReady, now);
      if (table.mayServe(REPLICA, now)) {
        for (String member : NODES) {
          assertThat(now - lastReady.getOrDefault(member, Long.MIN_VALUE / 2))
              .as("member %s at %d", member, now)
              .isLessThanOrEqualTo(FRESH);
        }
      }
    }
  }

  private static void run(Runnable message) {
    if (message != null) {
      message.run();
    }
  }

  private static void noteReady(Map<String, Boolean> ready, Map<String, Long> lastReady, long now) {
    ready.forEach(
        (node, is) -> {
          if (is) {
            lastReady.put(node, now);
          }
        });
  }

  private static void probe(Prober prober, Map<String, Boolean> ready, long now) {
    prober.found.clear();
    prober.probedAt = now + prober.offset;
    ready.forEach(
        (node, is) -> {
          if (is) {
            prober.found.put(
                node, new NodeReport(node, "1", "r", 7, "1", "m@1", NodeReport.State.READY, 0, 0));
          }
        });
  }

  @Provide
  Arbitrary<List<Step>> steps() {
    Arbitrary<Kind> kind =
        Arbitraries.frequency(
            Tuple.of(3, Kind.PASS),
            Tuple.of(1, Kind.TURN),
            Tuple.of(3, Kind.PROBE),
            Tuple.of(4, Kind.BEAT),
            Tuple.of(3, Kind.STAMP),
            Tuple.of(8, Kind.ARRIVE),
            Tuple.of(4, Kind.ARRIVE_STAMP));
    return Combinators.combine(
            kind,
            Arbitraries.integers().between(0, 1),
            Arbitraries.integers().between(0, 2),
            Arbitraries.longs().between(1, 700))
        .as(Step::new)
        .list()
        .ofMinSize(30)
        .ofMaxSize(150);
  }
}
