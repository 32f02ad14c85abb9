package org.fawnvale.serving.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
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

  /** Why a request is refused for which every upstream has too many requests in flight. */
  public static final String FULL = "every upstream is full";

  /** Why a request is refused whose first event would be late at every upstream. */
  public static final String NOT_IN_TIME = "no upstream answers in time";

  /** Why a request is refused that only upstreams of evacuated data centres could serve. */
  public static final String EVACUATED = "data centre evacuated";

  /** How often a request is placed before it is refused. */
  private static final int MAX_PLACEMENTS = 3;

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

  private static final String EVERY_UPSTREAM_COLD = "every upstream is cold";
  private static final String EVERY_UPSTREAM_AT_LIMIT = "every upstream is at its limit";

  /** Why a request is refused before the evacuated data centres are known. */
  private static final String EVACUATIONS_UNKNOWN = "evacuations not known yet";

  private final String dataCentre;
  private final Map<String, UpstreamState> states = new HashMap<>();
  private final ServingUpstreams serving = new ServingUpstreams();
  private final IncarnationTracker incarnations = new IncarnationTracker();
  private Map<String, Integer> peersInFlight = Map.of();
  private Predicate<String> reachable = dataCentre -> true;
  private Predicate<Endpoint> connected = endpoint -> false;
  private Set<String> reportedSuspects = Set.of();
  private Set<String> reportedRejecting = Set.of();
  private PaceView paces = PaceView.NORMAL;
  private final RequestDurations durations = new RequestDurations();
  private final Random random;
  private final UpstreamSample sample;
  private final UpstreamGate gate;
  private final LongSupplier monotonicNanos;
  private int daemonCount = 1;
  private HeadForecast forecast = new HeadForecast();
  private PaceView forecastPaces = PaceView.NORMAL;

  /** The mean age of other daemons' reports, in nanoseconds; 0 to choose among samples. */
  private long reportAgeNanos;

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
    this.sample = new UpstreamSample(dataCentre, random);
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
    serving.replace(nodes);
    states.keySet().removeAll(incarnations.update(nodes));
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
   * Makes the dispatcher allow for the age of what other daemons have reported, see {@link
   * StaleLoadPlacement}. Otherwise it chooses the better one of a few random upstreams.
   *
   * @param ageNanos the mean age of the reports, in nanoseconds; 0 not to allow for it
   */
  public void setReportAge(long ageNanos) {
    reportAgeNanos = ageNanos;
  }

  /**
   * Records how long a request was in flight at an upstream. Only for requests that have run:
   * rejected ones would make the mean too short.
   *
   * @param node the upstream
   * @param nanos the time from the request to the end of its response, in nanoseconds
   */
  public void recordDuration(Node node, long nanos) {
    durations.record(ServingUpstreams.modelOf(node), nanos);
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
   * rejected requests of its own: 78 daemons that did had 3,113 of 7,918 attempts rejected while
   * 0.4 of the heads rejected everything.
   *
   * @param nodeIds their ids
   */
  public void setReportedRejecting(Set<String> nodeIds) {
    reportedRejecting = nodeIds;
  }

  /**
   * Sets the observed pace of heads. Slow heads are chosen last.
   *
   * @param view the pace by node id
   */
  public void setPaces(PaceView view) {
    paces = view;
  }

  /**
   * Tells whether an upstream is a slow head.
   *
   * @param node the upstream
   * @return true when its pace is {@link PaceView#SLOW} or more
   */
  public boolean isSlow(Node node) {
    return paces.isSlow(node.id());
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
    for (List<Node> nodes : serving.all()) {
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
   * Chooses an upstream, never one of an evacuated data centre. Upstreams that reject requests,
   * cold ones, and those for which another daemon has to permit the request first, are used only
   * when no other has room. A permit costs a call to the owner of the limit, and a node that
   * advertises a limit is spared while others serve.
   *
   * @param excluded ids of upstreams that the request must not be sent to again
   * @return the choice
   */
  public Choice choose(DispatchRequest request, Set<String> excluded) {
    List<Node> all = serving.of(request.service(), request.model());
    List<Node> candidates = candidates(all);
    if (candidates.isEmpty() && !all.isEmpty()) {
      boolean known = gate.evacuations().isKnown();
      return new Choice.Refuse(known ? EVACUATED : EVACUATIONS_UNKNOWN, UpstreamGate.NOW);
    }
    return choose(request, candidates, excluded);
  }

  /**
   * Returns what this daemon has observed of the other upstreams of an upstream's service.
   *
   * @param upstream the upstream
   * @return the states by node id
   */
  public Map<String, UpstreamState> statesBeside(Node upstream) {
    Map<String, UpstreamState> others = new HashMap<>();
    serving.besides(upstream).forEach(node -> others.put(node.id(), state(node.id())));
    return others;
  }

  /**
   * Tells whether an upstream serves, so that requests may be sent there.
   *
   * @param node the upstream
   * @return false once its group is being dissolved
   */
  public boolean serves(Node node) {
    return serving.contains(node);
  }

  /**
   * Tells whether an upstream serves as it did when a request was sent there: streams of a group
   * that was dissolved stand still, whatever the head does in its next group.
   *
   * @param node the upstream as it was then
   * @return false once it is another incarnation, or its group is being dissolved
   */
  public boolean servesGroupOf(Node node) {
    return serving.containsGroup(node);
  }

  /**
   * Tells whether upstreams serve a request, but this daemon suspects all of them. Another daemon
   * may reach them.
   *
   * @return false also if no upstream serves the request
   */
  public boolean suspectsAll(DispatchRequest request) {
    List<Node> all = serving.of(request.service(), request.model());
    return !all.isEmpty() && all.stream().allMatch(node -> state(node.id()).isSuspect());
  }

  /** Chooses a paused upstream only if no other takes the request: its answer will be late. */
  private Choice choose(DispatchRequest request, List<Node> candidates, Set<String> excluded) {
    List<Node> paused = new ArrayList<>();
    List<Node> running = new ArrayList<>(candidates.size());
    for (Node node : candidates) {
      List<Node> side = state(node.id()).isPaused() ? paused : running;
      side.add(node);
    }
    Choice choice = chooseAmong(request, running, excluded);
    if (choice instanceof Choice.Send || paused.isEmpty()) {
      return choice;
    }
    Choice late = chooseAmong(request, paused, excluded);
    return late instanceof Choice.Send || running.isEmpty() ? late : choice;
  }

  private Choice chooseAmong(DispatchRequest request, List<Node> candidates, Set<String> excluded) {
    long now = monotonicNanos.getAsLong();
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
        accepts &= !isCold(node, now);
        if (accepts && room != SharedLimits.Admission.ASK_OWNER) {
          accepting.add(node);
        }
      }
    }
    if (usable.isEmpty()) {
      return refusal(candidates, now);
    }
    Choice choice = chooseByPace(request, accepting, usable);
    if (choice instanceof Choice.Send || !request.maySendLate()) {
      return choice;
    }
    Choice late = chooseByPace(request.asLate(), accepting, usable);
    return late instanceof Choice.Send ? late : choice;
  }

  private Choice chooseByPace(DispatchRequest request, List<Node> accepting, List<Node> usable) {
    Choice choice = chooseByPace(request, accepting);
    boolean sameAgain = request.target() != null && accepting.size() == usable.size();
    return choice instanceof Choice.Send || sameAgain ? choice : chooseByPace(request, usable);
  }

  private Choice refusal(List<Node> candidates, long now) {
    long retryAfterNanos = gate.nanosUntilAvailable(candidates, now);
    if (retryAfterNanos == UpstreamGate.NOW) {
      return new Choice.Refuse("no upstream serves", retryAfterNanos);
    }
    if (candidates.stream().anyMatch(node -> gate.isPaused(node.life(), now))) {
      return new Choice.Refuse("every upstream rests or was tried", retryAfterNanos);
    }
    boolean cold = candidates.stream().anyMatch(node -> isCold(node, now));
    return new Choice.Refuse(cold ? EVERY_UPSTREAM_COLD : EVERY_UPSTREAM_AT_LIMIT, retryAfterNanos);
  }

  private boolean isCold(Node node, long nowNanos) {
    return gate.limits().coldPeriods().isCold(node.life(), nowNanos);
  }

  /**
   * Returns why a request is refused when permits for an upstream were denied.
   *
   * @param node the upstream of the last permit request
   * @return the reason, as in the log
   */
  public String reasonOfDenial(Node node) {
    return isCold(node, monotonicNanos.getAsLong()) ? EVERY_UPSTREAM_COLD : EVERY_UPSTREAM_AT_LIMIT;
  }

  /**
   * Chooses a slow head only when no other has room. Without a forecast, full heads are left out
   * where paces differ, since a full head may cost less than one that is slower and has room.
   */
  private Choice chooseByPace(DispatchRequest request, List<Node> usable) {
    boolean uniform = true;
    for (Node node : usable) {
      uniform &= paces.of(node.id()) <= 1;
    }
    if (uniform) {
      return choose(request, usable);
    }
    List<Node> normal = new ArrayList<>(usable.size());
    List<Node> slow = new ArrayList<>();
    for (Node node : usable) {
      if (request.target() != null || load(node) < request.maxLoad()) {
        List<Node> side = isSlow(node) ? slow : normal;
        side.add(node);
      }
    }
    Choice choice = choose(request, normal.isEmpty() ? slow : normal);
    boolean useSlow = choice instanceof Choice.Refuse && !normal.isEmpty() && !slow.isEmpty();
    return useSlow ? choose(request, slow) : choice;
  }

  private Choice choose(DispatchRequest request, List<Node> usable) {
    ForecastTarget target = request.target();
    if (target != null) {
      return chooseByForecast(request, target, usable);
    }
    Node best = usable.isEmpty() ? null : pick(request, usable);
    if (best != null && load(best) >= request.maxLoad()) {
      best = cheapest(usable);
    }
    if (best != null && load(best) >= request.maxLoad()) {
      best = null;
    }
    return best == null ? new Choice.Refuse(FULL, UpstreamGate.NOW) : send(best);
  }

  private Node pick(DispatchRequest request, List<Node> usable) {
    return reportAgeNanos > 0
        ? place(request, usable)
        : cheapest(sample.draw(usable, daemonCount, connected));
  }

  private Choice.Send send(Node node) {
    boolean needsPermit =
        gate.limits().admission(node, monotonicNanos.getAsLong())
            == SharedLimits.Admission.ASK_OWNER;
    return new Choice.Send(node, load(node), needsPermit);
  }

  /**
   * Chooses by predicted times instead of requests in flight. A first attempt is refused if every
   * upstream is forecast to be late, and a late one if every upstream is at its slots; a returning
   * caller only if every upstream is at the old bound.
   */
  private Choice chooseByForecast(
      DispatchRequest request, ForecastTarget target, List<Node> usable) {
    boolean mayBeLate = request.admissionClass() != DispatchRequest.AdmissionClass.FIRST;
    Node best = null;
    if (reportAgeNanos > 0) {
      best = placeByForecast(request, target, usable);
    } else if (!usable.isEmpty()) {
      best = bestByForecast(request, target, sample.draw(usable, daemonCount, connected));
      best = best == null ? bestByForecast(request, target, usable) : best;
    }
    if (best == null) {
      return new Choice.Refuse(mayBeLate ? FULL : NOT_IN_TIME, UpstreamGate.NOW);
    }
    return send(best);
  }

  /**
   * Places a request and then checks the forecast for its upstream. Upstreams that are forecast to
   * be late are not left out beforehand: in a burst, all daemons would send to the few that still
   * look in time. A first attempt is placed {@value #MAX_PLACEMENTS} times before it is refused,
   * since one forecast may be wrong.
   */
  private @Nullable Node placeByForecast(
      DispatchRequest request, ForecastTarget target, List<Node> usable) {
    List<Node> open = new ArrayList<>(usable);
    open.removeIf(node -> load(node) >= request.maxForecastLoad());
    for (int draw = 0; draw < MAX_PLACEMENTS && !open.isEmpty(); draw++) {
      Node placed = place(request, open);
      if (isAdmitted(request, target, placed, predict(placed, target))) {
        return placed;
      }
      open.remove(placed);
    }
    return null;
  }

  private @Nullable Node bestByForecast(
      DispatchRequest request, ForecastTarget target, List<Node> nodes) {
    Node best = null;
    double bestCost = Double.POSITIVE_INFINITY;
    for (Node node : nodes) {
      HeadForecast.Prediction prediction = predict(node, target);
      double load = load(node);
      double cost = target.cost(prediction) + cost(node, load) - load;
      if (cost < bestCost && isAdmitted(request, target, node, prediction)) {
        best = node;
        bestCost = cost;
      }
    }
    return best;
  }

  private boolean isAdmitted(
      DispatchRequest request,
      ForecastTarget target,
      Node node,
      HeadForecast.Prediction prediction) {
    boolean hasRoom = load(node) < request.maxForecastLoad();
    boolean mayBeLate = request.admissionClass() != DispatchRequest.AdmissionClass.FIRST;
    boolean inTime =
        mayBeLate
            ? target.cost(prediction) <= target.limit()
            : !target.isMissed(prediction, monotonicNanos.getAsLong());
    return hasRoom && inTime;
  }

  /**
   * Estimates how many requests for a model end soon for each daemon that sends to it.
   *
   * @param request a request for the model
   * @param nanos how soon, in nanoseconds
   * @return the number of requests of all daemons, divided by the number of daemons
   */
  public double endingRequests(DispatchRequest request, long nanos) {
    int inFlight = 0;
    for (Node node : reachableUpstreams(request.service(), request.model())) {
      inFlight += state(node.id()).inFlight() + othersInFlight(node);
    }
    return inFlight * durations.turnover(request.model(), nanos) / daemonCount;
  }

  /**
   * Returns the upstreams that a request may be sent to as far as data centres can be reached and
   * are not evacuated.
   *
   * @param service the service
   * @param model the model; empty for a plain service
   * @return the upstreams, whether or not they have room
   */
  public List<Node> reachableUpstreams(String service, String model) {
    return candidates(serving.of(service, model));
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
        target.engine(), target.model(), load, target.size(), forecastPaces.of(node.id()));
  }

  /**
   * Sets what predicts the times of requests with a {@link DispatchRequest#target}.
   *
   * @param headForecast the forecast
   * @param paceView the observed pace of heads, which the forecast allows for
   */
  public void setForecast(HeadForecast headForecast, PaceView paceView) {
    forecast = headForecast;
    forecastPaces = paceView;
  }

  /**
   * Places a request with allowance for the requests that other daemons have sent and completed
   * since their reports. The number of requests in flight is taken to be steady over that time.
   */
  private Node place(DispatchRequest request, List<Node> usable) {
    double turnover = durations.turnover(request.model(), reportAgeNanos);
    double[] loads = new double[usable.size()];
    double arriving = 0;
    int slots = 1;
    for (int index = 0; index < loads.length; index++) {
      Node node = usable.get(index);
      double ended = turnover * othersInFlight(node) / Math.max(1, node.slots());
      loads[index] = cost(node) - ended;
      arriving += ended;
      slots = Math.max(slots, node.slots());
    }
    double atLeastThisOne = 1.0 / slots;
    int chosen =
        StaleLoadPlacement.choose(loads, Math.max(atLeastThisOne, arriving), random.nextDouble());
    return usable.get(chosen);
  }

  private Node cheapest(List<Node> nodes) {
    Node cheapest = nodes.get(0);
    double lowest = cost(cheapest);
    for (int index = 1; index < nodes.size(); index++) {
      double cost = cost(nodes.get(index));
      if (cost < lowest) {
        cheapest = nodes.get(index);
        lowest = cost;
      }
    }
    return cheapest;
  }

  /**
   * Returns the upstreams outside evacuated data centres that can be reached, or all of those
   * outside when none can.
   */
  private List<Node> candidates(List<Node> all) {
    List<Node> allowed = gate.evacuations().isAnyEvacuated() ? withoutEvacuated(all) : all;
    List<Node> reachableNodes = new ArrayList<>(allowed.size());
    for (Node node : allowed) {
      if (reachable.test(node.dataCentre())) {
        reachableNodes.add(node);
      }
    }
    return reachableNodes.isEmpty() ? allowed : reachableNodes;
  }

  private List<Node> withoutEvacuated(List<Node> nodes) {
    return nodes.stream()
        .filter(node -> !gate.evacuations().isEvacuated(node.dataCentre()))
        .toList();
  }

  /**
   * Estimates how full an upstream is.
   *
   * @param node the upstream
   * @return the requests of all daemons in flight relative to its slots
   */
  public double load(Node node) {
    int own = state(node.id()).inFlight();
    return (own + othersInFlight(node)) / (double) Math.max(1, node.slots());
  }

  private int othersInFlight(Node node) {
    return peersInFlight.getOrDefault(node.id(), 0);
  }

  /** The load times the pace; the request to be placed is included where the pace is not 1. */
  private double pacedLoad(Node node, double load) {
    double slowdown = paces.of(node.id()) - 1;
    return load + slowdown * (load + 1.0 / Math.max(1, node.slots()));
  }

  private double cost(Node node) {
    return cost(node, load(node));
  }

  private double cost(Node node, double load) {
    double foreign = node.dataCentre().equals(dataCentre) ? 0 : FOREIGN_DATA_CENTRE_COST;
    boolean isSuspected = !reportedSuspects.isEmpty() && reportedSuspects.contains(node.id());
    double suspected = isSuspected ? SUSPICION_COST : 0;
    double connecting = connected.test(node.endpoint()) ? 0 : CONNECT_COST;
    return pacedLoad(node, load)
        + foreign
        + suspected
        + connecting
        + FAILURE_COST * state(node.id()).failureShare();
  }
}
