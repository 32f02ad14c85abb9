package org.fawnvale.serving.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.IncarnationTracker;
import org.fawnvale.serving.core.model.Node;

/** Chooses the upstream of a request among those that serve, and keeps what was seen of each. */
public final class Dispatcher {

  private static final double FOREIGN_DATA_CENTRE_COST = 0.15;
  private static final double FAILURE_COST = 2.0;

  /** More than any load that is let in: an upstream that others suspect is the last resort. */
  private static final double SUSPICION_COST = 2.0;

  /**
   * What an upstream without a rested connection costs more: less than one request in flight at a
   * head of 15 slots (0.067), so that load goes first. A new connection takes a millisecond of the
   * upstream and a round trip.
   */
  private static final double CONNECT_COST = 0.05;

  private static final String ANY_MODEL = "";

  /**
   * With the better of two at random, an empty upstream is sent a few requests in a note's time.
   */
  private static final int LEAST_SAMPLE = 2;

  /** How often all daemons together look at an upstream for each request of theirs. */
  private static final int SAMPLES_IN_ALL = 3;

  private final String dataCentre;
  private final Map<String, UpstreamState> states = new HashMap<>();
  private final Map<Key, List<Node>> serving = new HashMap<>();
  private final IncarnationTracker incarnations = new IncarnationTracker();
  private Map<String, Integer> peersInFlight = Map.of();
  private Predicate<String> reachable = anywhere -> true;
  private Predicate<Endpoint> connected = nowhere -> false;
  private Set<String> reportedSuspects = Set.of();
  private Set<String> reportedRejecting = Set.of();
  private final Random random;
  private final UpstreamGate gate;
  private final LongSupplier steadyNanos;
  private int daemonCount = 1;

  private record Key(String service, String model) {}

  /**
   * Creates a dispatcher.
   *
   * @param dataCentre the data centre whose upstreams are preferred
   * @param gate tells which upstreams may be sent requests
   * @param steadyNanos the steady time, in nanoseconds
   */
  public Dispatcher(String dataCentre, UpstreamGate gate, LongSupplier steadyNanos) {
    this(dataCentre, new Random(), gate, steadyNanos);
  }

  /**
   * Creates a dispatcher whose draws are known.
   *
   * @param dataCentre the data centre whose upstreams are preferred
   * @param random draws the upstreams that are looked at
   * @param gate tells which upstreams may be sent requests
   * @param steadyNanos the steady time, in nanoseconds
   */
  Dispatcher(String dataCentre, Random random, UpstreamGate gate, LongSupplier steadyNanos) {
    this.dataCentre = dataCentre;
    this.random = random;
    this.gate = gate;
    this.steadyNanos = steadyNanos;
  }

  /**
   * Replaces the upstreams that serve: heads of open groups, and nodes of plain services. What was
   * seen of a former life of one is forgotten.
   *
   * @param nodes the upstreams
   */
  public void setUpstreams(Collection<Node> nodes) {
    serving.clear();
    states.keySet().removeAll(incarnations.update(nodes));
    for (Node node : nodes) {
      String model = node.model() == null ? ANY_MODEL : node.model();
      serving.computeIfAbsent(new Key(node.service(), model), key -> new ArrayList<>()).add(node);
    }
  }

  /**
   * Replaces what the other daemons have in flight.
   *
   * @param inFlight requests by node id
   */
  public void setPeersInFlight(Map<String, Integer> inFlight) {
    peersInFlight = inFlight;
  }

  /**
   * Tells which data centres can be reached.
   *
   * @param test true for a data centre in sight
   */
  public void setReachable(Predicate<String> test) {
    reachable = test;
  }

  /**
   * Tells where a connection rests that can be used again.
   *
   * @param test true for an upstream's address with such a connection
   */
  public void setConnected(Predicate<Endpoint> test) {
    connected = test;
  }

  /**
   * Tells whether an upstream's data centre can be reached.
   *
   * @param node the upstream
   * @return true when it is in sight
   */
  public boolean isReachable(Node node) {
    return reachable.test(node.dataCentre());
  }

  /**
   * Tells whether an upstream is of this daemon's data centre.
   *
   * @param node the upstream
   * @return true when no cut between data centres parts them
   */
  public boolean isLocal(Node node) {
    return node.dataCentre().equals(dataCentre);
  }

  /**
   * Tells how many daemons send to the same upstreams.
   *
   * @param count their number, this one included
   */
  public void setDaemonCount(int count) {
    daemonCount = Math.max(1, count);
  }

  /**
   * Replaces the upstreams that other daemons hold to be standing still.
   *
   * @param nodeIds their ids
   */
  public void setReportedSuspects(Set<String> nodeIds) {
    reportedSuspects = nodeIds;
  }

  /**
   * Replaces the upstreams that turn requests of other daemons away, or rest for them. They are
   * asked last: each of 78 daemons that sent two requests a second had to find out by itself, so
   * that 3,113 of 7,918 tries were refused on a day on which 0.4 of the heads turned all away.
   *
   * @param nodeIds their ids
   */
  public void setReportedRejecting(Set<String> nodeIds) {
    reportedRejecting = nodeIds;
  }

  /**
   * Upstreams that turn requests of this daemon away again and again, or rest for it.
   *
   * @return their ids
   */
  public List<String> rejecting() {
    long now = steadyNanos.getAsLong();
    List<String> refusing = new ArrayList<>();
    for (List<Node> nodes : serving.values()) {
      for (Node node : nodes) {
        UpstreamState state = states.get(node.id());
        boolean refuses = state != null && state.isRejecting(now);
        if (refuses || gate.isPaused(node.incarnation(), now)) {
          refusing.add(node.id());
        }
      }
    }
    return refusing;
  }

  /**
   * What was seen of an upstream.
   *
   * @param nodeId its id
   * @return its state, created when it is new
   */
  public UpstreamState state(String nodeId) {
    return states.computeIfAbsent(nodeId, id -> new UpstreamState());
  }

  /**
   * What was seen of all upstreams.
   *
   * @return the states by node id
   */
  public Map<String, UpstreamState> states() {
    return states;
  }

  /**
   * Forgets upstreams that are gone and have nothing in flight.
   *
   * @param present the ids that are still listed
   */
  public void retain(Set<String> present) {
    states
        .entrySet()
        .removeIf(entry -> !present.contains(entry.getKey()) && entry.getValue().inFlight() <= 0);
    incarnations.retain(present);
  }

  /**
   * Chooses an upstream. One whose limit another daemon spends is asked for last: each request
   * there costs a question, and an upstream in need is spared where others serve.
   *
   * @param demand what the request asks for
   * @param excluded upstreams that the request must not go to again
   * @return the choice
   */
  public Choice choose(DispatchRequest demand, Set<String> excluded) {
    long now = steadyNanos.getAsLong();
    List<Node> candidates = candidates(demand);
    List<Node> usable = new ArrayList<>();
    List<Node> accepting = new ArrayList<>();
    for (Node node : candidates) {
      UpstreamState state = state(node.id());
      boolean mayGo = !excluded.contains(node.id()) && !state.isSuspect();
      SharedLimits.Admission room = gate.limits().admission(node, now);
      boolean hasRoom = room != SharedLimits.Admission.EXHAUSTED;
      if (mayGo && hasRoom && gate.acceptsRequests(node.incarnation(), now)) {
        usable.add(node);
        boolean accepts = !state.isBackedOff(now) && !reportedRejecting.contains(node.id());
        if (accepts && room != SharedLimits.Admission.ASK_OWNER) {
          accepting.add(node);
        }
      }
    }
    if (usable.isEmpty()) {
      return refusal(candidates, now);
    }
    Choice choice = choose(demand, accepting);
    return choice instanceof Choice.Send ? choice : choose(demand, usable);
  }

  private Choice refusal(List<Node> candidates, long now) {
    long retryAfterNanos = gate.nanosUntilAvailable(candidates, now);
    if (retryAfterNanos == UpstreamGate.NOW) {
      return new Choice.Refuse("no upstream serves", retryAfterNanos);
    }
    boolean rests = candidates.stream().anyMatch(node -> gate.isPaused(node.incarnation(), now));
    return new Choice.Refuse(
        rests ? "every upstream rests or was tried" : "every upstream is at its limit",
        retryAfterNanos);
  }

  private Choice choose(DispatchRequest demand, List<Node> usable) {
    Node best = usable.isEmpty() ? null : cheapest(sample(usable));
    if (best != null && load(best) >= demand.maxLoad()) {
      best = cheapest(usable);
    }
    if (best == null || load(best) >= demand.maxLoad()) {
      return new Choice.Refuse("every upstream is full", UpstreamGate.NOW);
    }
    boolean needsPermit =
        gate.limits().admission(best, steadyNanos.getAsLong()) == SharedLimits.Admission.ASK_OWNER;
    return new Choice.Send(best, load(best), needsPermit);
  }

  /**
   * Some upstreams of the own data centre and some of the others, at random. All daemons see an
   * upstream that has just begun to serve as empty; if each chose the emptiest, all would send to
   * it at once, before the next notes tell of it.
   */
  private List<Node> sample(List<Node> usable) {
    List<Node> near = new ArrayList<>();
    List<Node> far = new ArrayList<>();
    for (Node node : usable) {
      List<Node> side = node.dataCentre().equals(dataCentre) ? near : far;
      side.add(node);
    }
    List<Node> sample = new ArrayList<>(some(near));
    sample.addAll(some(far));
    return sample;
  }

  private List<Node> some(List<Node> nodes) {
    int wanted = Math.max(LEAST_SAMPLE, SAMPLES_IN_ALL * nodes.size() / daemonCount);
    if (nodes.size() <= wanted) {
      return nodes;
    }
    Collections.shuffle(nodes, random);
    bringConnectedForward(nodes, wanted);
    return nodes.subList(0, wanted);
  }

  /**
   * Of the sample all but one are upstreams with a rested connection, as far as there are any. So
   * each daemon keeps to a part of many heads while the one at random still finds the emptier ones:
   * with 19 daemons before 14 heads, each sending 5.6 requests a second, connections that may rest
   * for 3 s are opened for 0.20 of the requests instead of 0.40, at the same mean load of 0.40
   * (ConnectionReuseTest).
   */
  private void bringConnectedForward(List<Node> nodes, int wanted) {
    int place = 1;
    for (int index = 1; index < nodes.size() && place < wanted; index++) {
      if (connected.test(nodes.get(index).endpoint())) {
        Collections.swap(nodes, place, index);
        place++;
      }
    }
  }

  private Node cheapest(List<Node> nodes) {
    return Collections.min(nodes, Comparator.comparingDouble(this::cost));
  }

  /** Upstreams that can be reached, or all of them when none can. */
  private List<Node> candidates(DispatchRequest demand) {
    List<Node> all = serving.getOrDefault(new Key(demand.service(), demand.model()), List.of());
    List<Node> reached = all.stream().filter(node -> reachable.test(node.dataCentre())).toList();
    return reached.isEmpty() ? all : reached;
  }

  /**
   * Estimates how full an upstream is.
   *
   * @param node the upstream
   * @return requests in flight of all daemons relative to its slots
   */
  public double load(Node node) {
    int own = state(node.id()).inFlight();
    int others = peersInFlight.getOrDefault(node.id(), 0);
    return (own + others) / (double) Math.max(1, node.slots());
  }

  private double cost(Node node) {
    double foreign = node.dataCentre().equals(dataCentre) ? 0 : FOREIGN_DATA_CENTRE_COST;
    double suspicion = reportedSuspects.contains(node.id()) ? SUSPICION_COST : 0;
    double connecting = connected.test(node.endpoint()) ? 0 : CONNECT_COST;
    return load(node)
        + foreign
        + suspicion
        + connecting
        + FAILURE_COST * state(node.id()).failureShare();
  }
}
