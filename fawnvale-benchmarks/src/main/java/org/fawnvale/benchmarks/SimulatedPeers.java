package org.fawnvale.benchmarks;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.fawnvale.serving.core.limit.LimitUpdate;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.Policy;
import org.fawnvale.serving.core.model.Settings;
import org.fawnvale.serving.core.peer.DaemonState;
import org.fawnvale.serving.core.peer.EvacuationState;
import org.fawnvale.serving.core.peer.LeaderEligibility;
import org.fawnvale.serving.core.peer.PathReport;
import org.fawnvale.serving.core.quarantine.CrashRecords;
import org.fawnvale.serving.core.watch.CopyPositions;
import org.fawnvale.serving.peer.Peers;

/**
 * Many daemons that only exchange peer messages, all in this process. They have callers and never
 * lead.
 */
final class SimulatedPeers implements AutoCloseable {

  private static final int MESSAGE_MILLIS = 150;
  private static final int REQUESTS_IN_FLIGHT = 2;

  /** The load of one daemon's callers with one model and urgency, at most, in groups kept busy. */
  private static final double GROUPS_OFFERED = 0.1;

  private static final int URGENCIES = 10;

  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
  private final Random random = new Random(1);
  private final List<Peers> all = new ArrayList<>();
  private final List<String> models;
  private final List<String> nodes;
  private final boolean admitsByUrgency;

  /**
   * Creates an empty fleet.
   *
   * @param models the models that callers name
   * @param nodes ids of the nodes to which requests are in flight
   * @param admitsByUrgency whether messages contain the load by urgency
   */
  SimulatedPeers(List<String> models, List<String> nodes, boolean admitsByUrgency) {
    this.models = models;
    this.nodes = nodes;
    this.admitsByUrgency = admitsByUrgency;
  }

  /** The state of daemons without quarantined requests, limits and evacuations. */
  private static final class NoSharedState implements Peers.SharedState {

    @Override
    public CrashRecords records(boolean asRelay) {
      return CrashRecords.NONE;
    }

    @Override
    public List<LimitUpdate> limits(boolean asRelay) {
      return List.of();
    }

    @Override
    public EvacuationState evacuations() {
      return EvacuationState.UNKNOWN;
    }

    @Override
    public void receive(EvacuationState state) {
      // Daemons without upstreams do not need it.
    }

    @Override
    public void receive(CrashRecords records, List<LimitUpdate> limits) {
      // As above.
    }
  }

  /** Starts a daemon that finds the others by the address of a seed. */
  void start(String name, String dataCentre, String address, String seed, int port)
      throws IOException {
    Endpoint unused = new Endpoint(address, port);
    Settings settings =
        new Settings(
            name,
            address,
            dataCentre,
            unused,
            unused,
            unused,
            port,
            List.of(seed),
            unused,
            new Settings.Bounds(0, 0, 0, 0, 0, 0, 0),
            Settings.CallerBuffers.DEFAULT,
            Settings.Waiting.OFF,
            Policy.DEFAULT,
            true);
    Object lock = new Object();
    long incarnation = System.currentTimeMillis();
    Peers peers =
        Peers.open(settings, lock, incarnation, (from, near, positions) -> {}, new NoSharedState());
    peers.listen();
    all.add(peers);
    int delay = random.nextInt(MESSAGE_MILLIS);
    timer.scheduleAtFixedRate(
        () -> send(peers, lock), delay, MESSAGE_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void send(Peers peers, Object lock) {
    Map<String, Integer> inFlight = new HashMap<>();
    for (int request = 0; request < REQUESTS_IN_FLIGHT; request++) {
      inFlight.merge(nodes.get(random.nextInt(nodes.size())), 1, Integer::sum);
    }
    Map<String, Double> work = new HashMap<>();
    Map<String, List<Double>> byUrgency = new HashMap<>();
    for (String model : models) {
      double offered = random.nextDouble() * GROUPS_OFFERED;
      work.put(model, offered);
      List<Double> urgencies = new ArrayList<>();
      for (int urgency = 0; urgency < URGENCIES; urgency++) {
        urgencies.add(urgency == 1 ? offered : 0);
      }
      byUrgency.put(model, urgencies);
    }
    synchronized (lock) {
      peers.decide(LeaderEligibility.INELIGIBLE);
      peers.send(
          new DaemonState(
              LeaderEligibility.INELIGIBLE,
              true,
              false,
              PathReport.SOUND,
              inFlight,
              work,
              admitsByUrgency ? byUrgency : Map.of(),
              Map.of(),
              List.of(),
              List.of(),
              List.of(),
              List.of()),
          CopyPositions.NONE,
          false);
    }
  }

  @Override
  public void close() {
    timer.shutdownNow();
    all.forEach(Peers::stop);
  }
}
