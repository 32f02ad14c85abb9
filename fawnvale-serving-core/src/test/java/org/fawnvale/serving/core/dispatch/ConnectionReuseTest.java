package org.fawnvale.serving.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.junit.jupiter.api.Test;

/**
 * How often a daemon can reuse an idle connection when many daemons send to many heads. Runs in
 * simulated time: 19 daemons of a data centre send 5.6 requests per second each to 14 heads.
 */
class ConnectionReuseTest {

  private static final DispatchRequest FIRST =
      new DispatchRequest("engines", "large", DispatchRequest.AdmissionClass.FIRST);
  private static final int DAEMONS = 19;
  private static final int HEADS = 14;
  private static final int SLOTS = 15;
  private static final double REQUESTS_PER_SECOND = 5.6;
  private static final double ANSWER_SECONDS = 0.9;
  private static final double IDLE_SECONDS = 3;
  private static final double MESSAGE_SECONDS = 0.3;
  private static final int REQUESTS = 20_000;

  private final Random random = new Random(7);
  private final List<Daemon> daemons = new ArrayList<>();
  private final Queue<Answer> answers =
      new PriorityQueue<>((one, other) -> Double.compare(one.at(), other.at()));
  private final Map<String, Integer> inFlight = new HashMap<>();
  private double now;
  private int opened;
  private double sumOfLoads;

  private record Answer(double at, Daemon from, Node head) {}

  private static final class Daemon {
    final Dispatcher dispatcher =
        new Dispatcher(
            "here",
            new UpstreamGate(
                new SharedLimits(
                    new RendezvousOwners(new RendezvousOwners.Daemon("d", "127.0.0.1", "a")))),
            () -> 0);
    final Map<Endpoint, List<Double>> idleSince = new HashMap<>();
  }

  private static Node head(int number) {
    return new Node(
        NodeIncarnation.only("h" + number),
        "engines",
        new Endpoint("10.0.0.1", 1 + number),
        "here",
        SLOTS,
        false,
        "domain",
        "large",
        List.of(),
        new Membership("g", 1, 0, MemberState.OPEN));
  }

  private boolean hasIdleConnection(Daemon daemon, Endpoint endpoint) {
    List<Double> since = daemon.idleSince.computeIfAbsent(endpoint, any -> new ArrayList<>());
    since.removeIf(at -> now - at > IDLE_SECONDS);
    return !since.isEmpty();
  }

  private void simulate(boolean prefersConnections) {
    List<Node> heads = new ArrayList<>();
    for (int number = 0; number < HEADS; number++) {
      heads.add(head(number));
    }
    for (int number = 0; number < DAEMONS; number++) {
      Daemon daemon = new Daemon();
      daemon.dispatcher.setUpstreams(heads);
      daemon.dispatcher.setDaemonCount(DAEMONS);
      if (prefersConnections) {
        daemon.dispatcher.setConnected(endpoint -> hasIdleConnection(daemon, endpoint));
      }
      daemons.add(daemon);
    }
    double nextMessage = 0;
    for (int request = 0; request < REQUESTS; request++) {
      now += -Math.log(1 - random.nextDouble()) / (DAEMONS * REQUESTS_PER_SECOND);
      while (!answers.isEmpty() && answers.peek().at() <= now) {
        end(answers.poll());
      }
      if (now >= nextMessage) {
        nextMessage = now + MESSAGE_SECONDS;
        daemons.forEach(this::reportLoad);
      }
      send(daemons.get(random.nextInt(DAEMONS)));
    }
  }

  private void reportLoad(Daemon daemon) {
    Map<String, Integer> others = new HashMap<>(inFlight);
    daemon
        .dispatcher
        .states()
        .forEach((id, state) -> others.merge(id, -state.inFlight(), Integer::sum));
    daemon.dispatcher.setPeersInFlight(others);
  }

  private void send(Daemon daemon) {
    Node head = ((Choice.Send) daemon.dispatcher.choose(FIRST, Set.of())).node();
    if (hasIdleConnection(daemon, head.endpoint())) {
      daemon.idleSince.get(head.endpoint()).remove(0);
    } else {
      opened++;
    }
    sumOfLoads += inFlight.getOrDefault(head.id(), 0) / (double) SLOTS;
    inFlight.merge(head.id(), 1, Integer::sum);
    daemon.dispatcher.state(head.id()).requestSent((long) (now * 1e9));
    double seconds = ANSWER_SECONDS * (0.5 + random.nextDouble());
    answers.add(new Answer(now + seconds, daemon, head));
  }

  private void end(Answer answer) {
    inFlight.merge(answer.head().id(), -1, Integer::sum);
    answer.from().dispatcher.state(answer.head().id()).requestEnded(false, false);
    answer
        .from()
        .idleSince
        .computeIfAbsent(answer.head().endpoint(), any -> new ArrayList<>())
        .add(answer.at());
  }

  @Test
  void withoutPreferenceFourInTenRequestsOpenAConnection() {
    simulate(false);
    assertThat(opened / (double) REQUESTS).isBetween(0.35, 0.45);
    assertThat(sumOfLoads / REQUESTS).isBetween(0.38, 0.43);
  }

  @Test
  void preferringIdleConnectionsHalvesNewOnesAtTheSameLoad() {
    simulate(true);
    assertThat(opened / (double) REQUESTS).isLessThan(0.22);
    assertThat(sumOfLoads / REQUESTS).isBetween(0.38, 0.43);
  }
}
