package org.fawnvale.serving.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.admission.AdmissionLevel;
import org.fawnvale.serving.core.admission.ForecastTarget;
import org.fawnvale.serving.core.admission.HeadForecast;
import org.fawnvale.serving.core.admission.PlainAdmission;
import org.fawnvale.serving.core.admission.RankedServices;
import org.fawnvale.serving.core.admission.RefusalTimes;
import org.fawnvale.serving.core.admission.ReturningCallers;
import org.fawnvale.serving.core.admission.UrgencyAdmission;
import org.fawnvale.serving.core.demand.EngineTimes;
import org.fawnvale.serving.core.dispatch.DispatchRequest;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.RequestSize;
import org.fawnvale.serving.core.model.Route;
import org.fawnvale.serving.core.model.RouteKind;
import org.fawnvale.serving.core.model.ServiceSpec;
import org.fawnvale.serving.core.model.Workspace;
import org.fawnvale.serving.core.pace.PaceView;
import org.jspecify.annotations.Nullable;

/**
 * Admits requests to engines by their predicted times and, if that is on, by urgency. Without
 * urgency no work is counted, so no level refuses anything. Callers hold the lock.
 */
public final class AdmissionControl {

  /** The reason of a refusal because more urgent work, or that of others, goes first. */
  static final String LESS_URGENT = "more urgent work goes first";

  private static final Logger LOG = LogManager.getLogger("admission");

  /** How long a level has to admit everything before that is logged; it may vary around it. */
  private static final long QUIET_NANOS = 1_000_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Dispatcher dispatcher;
  private final GatewayMetrics metrics;
  private final PaceView paces;
  private final boolean refusesByUrgency;
  private final HeadForecast forecast = new HeadForecast();
  private final UrgencyAdmission urgencies = new UrgencyAdmission(ReturningCallers.OLD_BOUND);

  private final PlainAdmission plainServices = new PlainAdmission();
  private final RefusalTimes refusalTimes = new RefusalTimes();

  private Set<String> ranked = Set.of();
  private @Nullable Configuration rankedIn;

  /** The bursts of models of which not all requests are admitted. */
  private final Map<String, Burst> bursts = new HashMap<>();

  /** When requests of a model were first and last refused by urgency, in monotonic time. */
  private record Burst(long firstNanos, long lastNanos) {}

  /**
   * Creates the control and lets the dispatcher use its forecast.
   *
   * @param dispatcher chooses upstreams
   * @param paces the observed pace of heads
   * @param refusesByUrgency whether less urgent first attempts are refused while more work is
   *     offered than the groups do in time
   * @param metrics receives predicted and observed times
   */
  public AdmissionControl(
      Dispatcher dispatcher, PaceView paces, boolean refusesByUrgency, GatewayMetrics metrics) {
    this.dispatcher = dispatcher;
    this.paces = paces;
    this.refusesByUrgency = refusesByUrgency;
    this.metrics = metrics;
    dispatcher.setForecast(forecast, paces);
  }

  /**
   * Adds by when events are expected, if the request names a model and its route has a target.
   *
   * @param demand the request
   * @param configuration the configuration in force
   * @param route its route
   * @param size the size that it declares
   * @param urgency 0, the most urgent, to 9
   * @param receivedNanos when it was received, by {@link System#nanoTime}
   * @return the request, unchanged if it is not placed by forecast
   */
  DispatchRequest withTarget(
      DispatchRequest demand,
      Configuration configuration,
      Route route,
      RequestSize size,
      int urgency,
      long receivedNanos) {
    boolean isRankedService = isRanked(demand, configuration);
    ServiceSpec service = configuration.services().get(demand.service());
    EngineSpec engine = service == null ? null : service.engine();
    ModelSpec model = engine == null ? null : engine.model(demand.model());
    boolean hasTarget = route.kind() == RouteKind.STREAMING && route.targetMillis() > 0;
    if (engine == null || model == null || !hasTarget || !isRankedService) {
      return demand;
    }
    return demand.withTarget(
        new ForecastTarget(
            engine,
            model,
            size,
            receivedNanos,
            route.targetMillis(),
            route.gapMillis(),
            urgencies.limit(model.name(), urgency, isReturning(demand)),
            urgencies.refusesLate(model.name())));
  }

  private boolean isRanked(DispatchRequest demand, Configuration configuration) {
    if (configuration != rankedIn) {
      rankedIn = configuration;
      ranked = RankedServices.of(configuration);
    }
    return ranked.contains(demand.service());
  }

  private static boolean isReturning(DispatchRequest demand) {
    return demand.admissionClass() == DispatchRequest.AdmissionClass.RETURNING;
  }

  /**
   * Counts a request and decides whether its urgency and its workspace admit it.
   *
   * @param urgency 0, the most urgent, to 9
   * @return true if an upstream may be chosen for it
   */
  boolean admits(CallerRequest request, int urgency) {
    if (!refusesByUrgency) {
      return true;
    }
    DispatchRequest demand = request.demand();
    ForecastTarget target = demand.target();
    if (target == null) {
      boolean plain =
          demand.model().isEmpty()
              && request.route().targetMillis() > 0
              && ranked.contains(demand.service());
      return !plain
          || isReturning(demand)
          || plainServices.admit(
              demand.service(), urgency, leastLoad(demand.service()), request.receivedNanos());
    }
    Workspace workspace = request.workspace();
    UrgencyAdmission.Asked asked =
        new UrgencyAdmission.Asked(
            target.model().name(),
            urgency,
            workspace == null ? "" : workspace.name(),
            EngineTimes.workMillis(target.engine(), target.model(), target.size()),
            isReturning(demand));
    return urgencies.admit(asked, request.receivedNanos());
  }

  /** Returns the load of the least loaded upstream of a plain service; 0 if there is none. */
  private double leastLoad(String service) {
    return dispatcher.reachableUpstreams(service, "").stream()
        .mapToDouble(dispatcher::load)
        .min()
        .orElse(0);
  }

  /**
   * Computes the levels anew.
   *
   * @param service the service whose upstreams form groups
   * @param others the load of the callers of all other daemons, by model and urgency
   */
  void update(String service, Map<String, List<Double>> others) {
    long now = System.nanoTime();
    urgencies.update(others, model -> capacity(service, model), now);
    for (String model : urgencies.models()) {
      metrics.admissionLevel(model, () -> urgencies.level(model));
      logChange(model, urgencies.level(model), now);
    }
  }

  private AdmissionLevel.Capacity capacity(String service, String model) {
    double groups = 0;
    double load = 0;
    List<Node> heads = dispatcher.reachableUpstreams(service, model);
    for (Node head : heads) {
      groups += 1 / paces.of(head.id());
      load += dispatcher.load(head);
    }
    return new AdmissionLevel.Capacity(groups, load / Math.max(1, heads.size()));
  }

  /** Logs when a level starts to refuse, and when it has refused nothing for a second. */
  private void logChange(String model, double level, long now) {
    boolean cuts = level < AdmissionLevel.ALL;
    Burst burst = bursts.get(model);
    if (cuts) {
      bursts.put(model, new Burst(burst == null ? now : burst.firstNanos(), now));
    }
    if (cuts && burst == null) {
      LOG.info("model={} level={} outcome=refuses_by_urgency", model, level);
    } else if (!cuts && burst != null && now - burst.lastNanos() > QUIET_NANOS) {
      bursts.remove(model);
      LOG.info("model={} outcome=admits_all", model);
    }
  }

  /** Tells whether not all requests for the model of a request are admitted. */
  boolean isCutting(DispatchRequest demand) {
    return demand.target() != null && urgencies.level(demand.model()) < AdmissionLevel.ALL;
  }

  /**
   * Returns the Retry-After of a request that is refused while not all are admitted.
   *
   * @param urgency 0, the most urgent, to 9
   * @param remainingMillis how much longer its caller waits, in milliseconds
   * @return the time from now, in milliseconds
   */
  int retryAfterMillis(DispatchRequest demand, int urgency, long remainingMillis) {
    Burst burst = bursts.get(demand.model());
    long millis = burst == null ? 0 : (System.nanoTime() - burst.firstNanos()) / NANOS_PER_MILLI;
    return refusalTimes.nextMillis(
        remainingMillis, millis, urgency, urgencies.level(demand.model()));
  }

  /**
   * Counts a refusal.
   *
   * @param urgency 0, the most urgent, to 9
   * @param reason why the request was refused
   */
  void refused(int urgency, String reason) {
    if (LESS_URGENT.equals(reason)) {
      metrics.admissionRefused(urgency, "level");
    } else {
      metrics.admissionRefused(urgency, Dispatcher.NOT_IN_TIME.equals(reason) ? "late" : "other");
    }
  }

  /** Returns the load of this daemon's callers by model and urgency, in groups kept busy. */
  Map<String, List<Double>> offered() {
    return urgencies.offered(System.nanoTime());
  }

  /**
   * Predicts the times of a request that is sent to a head now.
   *
   * @return follows the request; null if it is not placed by forecast
   */
  @Nullable ForecastedRequest sent(DispatchRequest demand, Node node) {
    ForecastTarget target = demand.target();
    if (target == null) {
      return null;
    }
    return new ForecastedRequest(
        forecast,
        dispatcher.predict(node, target),
        target,
        dispatcher.state(node.id()),
        metrics,
        System.nanoTime());
  }
}
