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
 * Guards against a replica that may serve although a member has not been ready within the freshness
 * limit, with failing and returning members, paused processes and delayed heartbeats.
 */
class ReadinessFuzzTest {

  private static final long FRESH = 1000;
  private static final List<String> NODES = List.of("a", "b", "c");
  private static final Replica REPLICA = new Replica("r", "role", "m", "1", 7, NODES, false);

  /** The kind of a step. */
  enum Kind {
    /** Time passes. */
    ADVANCE,
    /** A node becomes ready, or stops being ready. */
    TOGGLE_READY,
    /** A prober probes all nodes. */
    PROBE,
    /** A prober sends its reports and a heartbeat. */
    HEARTBEAT,
    /** The gateway sends its timestamp to a prober. */
    SEND_TIMESTAMP,
    /** The oldest message to the gateway arrives. */
    DELIVER,
    /** The oldest message to a prober arrives. */
    DELIVER_TIMESTAMP
  }

  /** One step. */
  record Step(Kind kind, int prober, int node, long millis) {}

  /** A prober whose clock differs from the gateway's clock by a constant offset. */
  private static final class Prober {
    private final String name;
    private final long offset;
    private final PeerTimestampLog timestamps = new PeerTimestampLog();
    private final Deque<Long> timestampsInFlight = new ArrayDeque<>();
    private final Deque<Runnable> toGateway = new ArrayDeque<>();
    private final Map<String, NodeReport> probeResults = new HashMap<>();
    private long probedAt;
    private long version;

    Prober(String name, long offset) {
      this.name = name;
      this.offset = offset;
    }

    void sendHeartbeat(ReadinessTable table) {
      version++;
      long sentVersion = version;
      List<NodeReport> reports = new ArrayList<>(probeResults.values());
      long echo = timestamps.newestAt(probedAt);
      toGateway.add(() -> table.setReports(name, sentVersion, reports));
      if (echo != 0) {
        toGateway.add(() -> table.renewReports(name, sentVersion, echo, new int[0]));
      }
    }
  }

  @Property(tries = 1500, seed = "20261202")
  void aReplicaServesOnlyIfItsMembersWereReadyWithinTheLimit(@ForAll("steps") List<Step> steps) {
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
        case ADVANCE -> now += step.millis();
        case TOGGLE_READY -> {
          recordReady(ready, lastReady, now);
          ready.merge(node, true, (before, x) -> !before);
        }
        case PROBE -> probe(prober, ready, now);
        case HEARTBEAT -> prober.sendHeartbeat(table);
        case SEND_TIMESTAMP -> prober.timestampsInFlight.add(now);
        case DELIVER -> run(prober.toGateway.poll());
        default -> {
          Long timestamp = prober.timestampsInFlight.poll();
          if (timestamp != null) {
            prober.timestamps.add(timestamp, now + prober.offset);
          }
        }
      }
      recordReady(ready, lastReady, now);
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

  private static void recordReady(
      Map<String, Boolean> ready, Map<String, Long> lastReady, long now) {
    ready.forEach(
        (node, isReady) -> {
          if (isReady) {
            lastReady.put(node, now);
          }
        });
  }

  private static void probe(Prober prober, Map<String, Boolean> ready, long now) {
    prober.probeResults.clear();
    prober.probedAt = now + prober.offset;
    ready.forEach(
        (node, isReady) -> {
          if (isReady) {
            prober.probeResults.put(
                node, new NodeReport(node, "1", "r", 7, "1", "m@1", NodeReport.State.READY, 0, 0));
          }
        });
  }

  @Provide
  Arbitrary<List<Step>> steps() {
    Arbitrary<Kind> kind =
        Arbitraries.frequency(
            Tuple.of(3, Kind.ADVANCE),
            Tuple.of(1, Kind.TOGGLE_READY),
            Tuple.of(3, Kind.PROBE),
            Tuple.of(4, Kind.HEARTBEAT),
            Tuple.of(3, Kind.SEND_TIMESTAMP),
            Tuple.of(8, Kind.DELIVER),
            Tuple.of(4, Kind.DELIVER_TIMESTAMP));
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
