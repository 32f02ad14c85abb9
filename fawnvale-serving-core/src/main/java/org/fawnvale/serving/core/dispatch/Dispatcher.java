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
import org.fawnvale.serving.core.admission.ForecastTarget;
import org.fawnvale.serving.core.admission.HeadForecast;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.IncarnationTracker;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.pace.PaceView;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the upstream of a request among those that serve, and keeps what this daemon has observed
 * of each. Not thread-safe.
 */
public final class Dispatcher {

  /** Added to the load of an upstream in another data centre. */
  private static final double FOREIGN_DATA_CENTRE_COST = 0.15;

  /** Multiplied by the recent share of failed requests and added to the load. */
  private static final double FAILURE_COST = 2.0;

  /**
   * Added for an upstream that other daemons suspect. It exceeds every admissible load, so that
   * such an upstream is the last resort.
   */
  private static final double SUSPICION_COST = 2.0;

  /**
   * Added for an upstream to which no idle connection exists: a new connection costs a round trip
   * and processing time. It is less than one request in flight at a head of 15 slots (0.067), so
   * that load takes precedence.
   */
  private static final double CONNECT_COST = 0.05;

  private static final String NO_MODEL = "";

  /**
   * The smallest sample: the better of two random upstreams. It keeps daemons from all sending to
   * an idle upstream between two peer messages.
   */
  private static final int MIN_SAMPLE = 2;

  /**
   * How many times all daemons together sample each upstream when each of them sends one request.
   */
  private static final int SAMPLES_PER_UPSTREAM = 3;

  private final String dataCentre;
  private final Map<String, UpstreamState> states = new HashMap<>();
  private final Map<Key, List<Node>> serving = new HashMap<>();
  private final IncarnationTracker incarnations = new IncarnationTracker();
  private Map<String, Integer> peersInFlight = Map.of();
  private Predicate<String> reachable = dataCentre -> true;
  private Predicate<Endpoint> connected = endpoint -> false;
  private Set<String> reportedSuspects = Set.of();
  private Set<String> reportedRejecting = Set.of();
  private final Random random;
  private final UpstreamGate gate;
  private final LongSupplier monotonicNanos;
  private int daemonCount = 1;
  private HeadForecast forecast = new HeadForecast();
  private PaceView paces = PaceView.AS_PUBLISHED;

  private record Key(String service, String model) {}

  /**
   * Creates a dispatcher.
   *
   * @param dataCentre the data centre whose upstreams are preferred
   * @param gate decides which upstreams accept requests
   * @param monotonicNanos the monotonic clock, in nanoseconds
   */
  public Dispatcher(String dataCentre, UpstreamGate gate, LongSupplier monotonicNanos) {
    this(dataCentre, new Random(), gate, monotonicNanos);
  }

  /**
   * Creates a dispatcher with a given source of randomness.
   *
   * @param dataCentre the data centre whose upstreams are preferred
   * @param random draws the sampled upstreams
   * @param gate decides which upstreams accept requests
   * @param monotonicNanos the monotonic clock, in nanoseconds
   */
  Dispatcher(String dataCentre, Random random, UpstreamGate gate, LongSupplier monotonicNanos) {
    this.dataCentre = dataCentre;
    this.random = random;
    this.gate = gate;
    this.monotonicNanos = monotonicNanos;
  }

  /**
   * Replaces the upstreams that serve: heads of open groups, and nodes of plain services. Discards
   * what was observed of earlier incarnations.
   *
   * @param nodes the upstreams
   */
  public void setUpstreams(Collection<Node> nodes) {
    serving.clear();
    states.keySet().removeAll(incarnations.update(nodes));
    for (Node node : nodes) {
      String model = node.model() == null ? NO_MODEL : node.model();
      serving.computeIfAbsent(new Key(node.service(), model), key -> new ArrayList<>()).add(node);
    }
  }

  /**
   * Replaces the numbers of requests that the other daemons have in flight.
   *
   * @param inFlight requests by node id
   */
  public void setPeersInFlight(Map<String, Integer> inFlight) {
    peersInFlight = inFlight;
  }

  /**
   * Sets which data centres can be reached.
   *
   * @param test true for a data centre that can be reached
   */
  public void setReachable(Predicate<String> test) {
    reachable = test;
  }

  /**
   * Sets where an idle connection can be reused.
   *
   * @param test true for the address of an upstream with such a connection
   */
  public void setConnected(Predicate<Endpoint> test) {
    connected = test;
  }

  /**
   * Tells whether an upstream's data centre can be reached.
   *
   * @param node the upstream
   * @return true when it can be reached
   */
  public boolean isReachable(Node node) {
    return reachable.test(node.dataCentre());
  }

  /**
   * Tells whether an upstream is in this daemon's data centre, so that no partition between data
   * centres separates them.
   *
   * @param node the upstream
   * @return true when it is in the same data centre
   */
  public boolean isLocal(Node node) {
    return node.dataCentre().equals(dataCentre);
  }

  /**
   * Sets how many daemons send to the same upstreams.
   *
   * @param count their number, this one included
   */
  public void setDaemonCount(int count) {
    daemonCount = Math.max(1, count);
  }

  /**
   * Replaces the upstreams that other daemons suspect of having stalled.
   *
   * @param nodeIds their ids
   */
  public void setReportedSuspects(Set<String> nodeIds) {
    reportedSuspects = nodeIds;
  }

  /**
   * Replaces the upstreams that reject requests of other daemons, or have asked them for a
   * Retry-After pause. The dispatcher chooses them last, so that each daemon need not find out by
   * rejected requests of its own.
   *
   * @param nodeIds their ids
   */
  public void setReportedRejecting(Set<String> nodeIds) {
    reportedRejecting = nodeIds;
  }

  /**
   * Returns the upstreams that repeatedly reject requests of this daemon, or have asked it for a
   * Retry-After pause.
   *
   * @return their ids
   */
  public List<String> rejecting() {
    long now = monotonicNanos.getAsLong();
    List<String> rejecting = new ArrayList<>();
    for (List<Node> nodes : serving.values()) {
      for (Node node : nodes) {
        UpstreamState state = states.get(node.id());
        boolean rejects = state != null && state.isRejecting(now);
        if (rejects || gate.isPaused(node.life(), now)) {
          rejecting.add(node.id());
        }
      }
    }
    return rejecting;
  }

  /**
   * Returns what this daemon has observed of an upstream.
   *
   * @return its state, created when it is new
   */
  public UpstreamState state(String nodeId) {
    return states.computeIfAbsent(nodeId, id -> new UpstreamState());
  }

  /**
   * Returns what this daemon has observed of all upstreams.
   *
   * @return the states by node id
   */
  public Map<String, UpstreamState> states() {
    return states;
  }

  /**
   * Discards the states of upstreams that are gone and have nothing in flight.
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
   * Chooses an upstream. Upstreams that reject requests, and those for which another daemon has to
   * permit the request first, are used only when no other has room.
   *
   * @param excluded ids of upstreams that the request must not be sent to again
   * @return the choice
   */
  public Choice choose(DispatchRequest request, Set<String> excluded) {
    long now = monotonicNanos.getAsLong();
    List<Node> candidates = candidates(request);
    List<Node> usable = new ArrayList<>();
    List<Node> accepting = new ArrayList<>();
    for (Node node : candidates) {
      UpstreamState state = state(node.id());
      boolean eligible = !excluded.contains(node.id()) && !state.isSuspect();
      SharedLimits.Admission room = gate.limits().admission(node, now);
      boolean hasRoom = room != SharedLimits.Admission.EXHAUSTED;
      if (eligible && hasRoom && gate.acceptsRequests(node.life(), now)) {
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
    Choice choice = choose(request, accepting);
    boolean sameAgain = request.target() != null && accepting.size() == usable.size();
    return choice instanceof Choice.Send || sameAgain ? choice : choose(request, usable);
  }

  private Choice refusal(List<Node> candidates, long now) {
    long retryAfterNanos = gate.nanosUntilAvailable(candidates, now);
    if (retryAfterNanos == UpstreamGate.NOW) {
      return new Choice.Refuse("no upstream serves", retryAfterNanos);
    }
    boolean paused = candidates.stream().anyMatch(node -> gate.isPaused(node.life(), now));
    return new Choice.Refuse(
        paused ? "every upstream rests or was tried" : "every upstream is at its limit",
        retryAfterNanos);
  }

  private Choice choose(DispatchRequest request, List<Node> usable) {
    ForecastTarget target = request.target();
    if (target != null) {
      return chooseByForecast(request, target, usable);
    }
    Node best = usable.isEmpty() ? null : cheapest(sample(usable));
    if (best != null && load(best) >= request.maxLoad()) {
      best = cheapest(usable);
    }
    if (best == null || load(best) >= request.maxLoad()) {
      return new Choice.Refuse("every upstream is full", UpstreamGate.NOW);
    }
    return send(best);
  }

  private Choice.Send send(Node node) {
    boolean needsPermit =
        gate.limits().admission(node, monotonicNanos.getAsLong())
            == SharedLimits.Admission.ASK_OWNER;
    return new Choice.Send(node, load(node), needsPermit);
  }

  /**
   * Chooses by predicted times instead of requests in flight. A first attempt is refused only if
   * every upstream is forecast to be late; a returning caller only if every upstream is at the old
   * bound or, while less urgent work is refused, has no room.
   */
  private Choice chooseByForecast(
      DispatchRequest request, ForecastTarget target, List<Node> usable) {
    boolean mayBeLate = request.admissionClass() == DispatchRequest.AdmissionClass.RETURNING;
    Node best = usable.isEmpty() ? null : bestByForecast(sample(usable), target, mayBeLate);
    if (best == null) {
      best = bestByForecast(usable, target, mayBeLate);
    }
    if (best == null) {
      return new Choice.Refuse(
          mayBeLate ? "every upstream is full" : Choice.Refuse.NOT_IN_TIME, UpstreamGate.NOW);
    }
    return send(best);
  }

  private @Nullable Node bestByForecast(
      List<Node> nodes, ForecastTarget target, boolean mayBeLate) {
    long now = monotonicNanos.getAsLong();
    Node best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    for (Node node : nodes) {
      double load = load(node);
      if (load >= DispatchRequest.AdmissionClass.RETURNING.maxLoad()) {
        continue;
      }
      HeadForecast.Prediction prediction = predict(node, target);
      double predicted = target.cost(prediction);
      boolean late = mayBeLate ? predicted > target.limit() : target.isMissed(prediction, now);
      if (!late) {
        double cost = (target.fullestFirst() ? -predicted : predicted) + cost(node) - load;
        if (cost < bestCost) {
          best = node;
          bestCost = cost;
        }
      }
    }
    return best;
  }

  /**
   * Returns the upstreams that a request may be sent to as far as data centres can be reached.
   *
   * @param service the service
   * @param model the model; empty for a plain service
   * @return the upstreams, whether or not they have room
   */
  public List<Node> reachableUpstreams(String service, String model) {
    return candidates(new DispatchRequest(service, model, DispatchRequest.AdmissionClass.FIRST));
  }

  /**
   * Predicts the times of a request at an upstream.
   *
   * @param node the upstream, a head
   * @param target the request
   * @return the prediction
   */
  public HeadForecast.Prediction predict(Node node, ForecastTarget target) {
    UpstreamState state = state(node.id());
    HeadForecast.HeadLoad load =
        new HeadForecast.HeadLoad(
            state.streaming(),
            state.inFlight() - state.streaming(),
            state.waitingPromptTokens(),
            peersInFlight.getOrDefault(node.id(), 0));
    return forecast.predict(
        target.engine(), target.model(), load, target.size(), paces.of(node.id()));
  }

  /**
   * Sets what predicts the times of requests with a {@link DispatchRequest#target}.
   *
   * @param headForecast the forecast
   * @param paceView the observed pace of heads
   */
  public void setForecast(HeadForecast headForecast, PaceView paceView) {
    forecast = headForecast;
    paces = paceView;
  }

  /**
   * Draws some upstreams of this data centre and some of the others at random. An upstream that has
   * just begun to serve looks idle to all daemons; without sampling all of them would send to it at
   * once, before the next peer messages report its load.
   */
  private List<Node> sample(List<Node> usable) {
    List<Node> near = new ArrayList<>();
    List<Node> far = new ArrayList<>();
    for (Node node : usable) {
      List<Node> side = node.dataCentre().equals(dataCentre) ? near : far;
      side.add(node);
    }
    List<Node> sample = new ArrayList<>(draw(near));
    sample.addAll(draw(far));
    return sample;
  }

  private List<Node> draw(List<Node> nodes) {
    int wanted = Math.max(MIN_SAMPLE, SAMPLES_PER_UPSTREAM * nodes.size() / daemonCount);
    if (nodes.size() <= wanted) {
      return nodes;
    }
    Collections.shuffle(nodes, random);
    preferConnected(nodes, wanted);
    return nodes.subList(0, wanted);
  }

  /**
   * Moves upstreams with an idle connection to the front of the list, from which the sample is
   * taken, but keeps the first upstream, which is random. Each daemon thus reuses its connections
   * to a few of many heads, and the random upstream may still be a head with less load.
   */
  private void preferConnected(List<Node> nodes, int wanted) {
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

  /** Returns the upstreams that can be reached, or all of them when none can. */
  private List<Node> candidates(DispatchRequest request) {
    List<Node> all = serving.getOrDefault(new Key(request.service(), request.model()), List.of());
    List<Node> reachableNodes =
        all.stream().filter(node -> reachable.test(node.dataCentre())).toList();
    return reachableNodes.isEmpty() ? all : reachableNodes;
  }

  /**
   * Estimates how full an upstream is.
   *
   * @param node the upstream
   * @return the requests of all daemons in flight relative to its slots
   */
  public double load(Node node) {
    int own = state(node.id()).inFlight();
    int others = peersInFlight.getOrDefault(node.id(), 0);
    return (own + others) / (double) Math.max(1, node.slots());
  }

  private double cost(Node node) {
    double foreign = node.dataCentre().equals(dataCentre) ? 0 : FOREIGN_DATA_CENTRE_COST;
    double suspected = reportedSuspects.contains(node.id()) ? SUSPICION_COST : 0;
    double connecting = connected.test(node.endpoint()) ? 0 : CONNECT_COST;
    return load(node)
        + foreign
        + suspected
        + connecting
        + FAILURE_COST * state(node.id()).failureShare();
  }
}
