package org.fawnvale.daemon.gateway;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.fawnvale.core.limits.RetryBudget;
import org.fawnvale.core.model.Bundle;
import org.fawnvale.core.model.Workspace;
import org.fawnvale.core.result.Problem;
import org.fawnvale.core.routing.Prefix;
import org.fawnvale.core.routing.Router;
import org.fawnvale.daemon.Context;
import org.fawnvale.daemon.state.FleetState;

/**
 * Runs validated requests on an upstream of this data centre, or forwards them to another data
 * centre when no upstream here can take them.
 */
public final class Gateway {

  /** Header with the request's id, sent to upstreams and to callers. */
  public static final String REQUEST_ID_HEADER = "Fawnvale-Request-Id";

  static final String CHAT_PATH = "/v1/chat/completions";
  static final String SERVICES_PATH = "/services/";

  private static final double RETRY_SHARE = 0.1;
  private static final double RETRY_RESERVE = 10;

  private final SharedComponents shared;
  private final FleetState state;
  private final RoutingTable routing;
  private final Router router;
  private final Context context;
  private final SpillRoute spillRoute;
  private final Map<String, Pool> pools = new ConcurrentHashMap<>();
  private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();

  /** Forwards requests to other data centres. */
  @FunctionalInterface
  public interface SpillRoute {

    /**
     * Forwards a request to another data centre.
     *
     * @return the answer, or empty when no other data centre ran the request
     */
    Optional<Answer> send(CallerRequest request);
  }

  Gateway(
      Context context,
      SharedComponents shared,
      FleetState state,
      RoutingTable routing,
      Router router,
      SpillRoute spillRoute) {
    this.context = context;
    this.shared = shared;
    this.state = state;
    this.routing = routing;
    this.router = router;
    this.spillRoute = spillRoute;
  }

  /** The pool and the upstream path of a request. */
  private record Route(String poolKey, String upstreamPath, Prefix prefix) {}

  /** Returns the error answer if the request cannot be routed, otherwise empty. */
  Optional<Answer> check(CallerRequest request) {
    Object routeOrAnswer = route(request);
    return routeOrAnswer instanceof Answer answer ? Optional.of(answer) : Optional.empty();
  }

  /** Runs a request and returns its answer; a streamed answer is still to be copied. */
  Answer run(CallerRequest request) {
    Object routeOrAnswer = route(request);
    if (routeOrAnswer instanceof Answer answer) {
      return answer;
    }
    return run(request, (Route) routeOrAnswer);
  }

  private Answer run(CallerRequest request, Route route) {
    Pool pool = pools.computeIfAbsent(route.poolKey(), this::pool);
    double share =
        state.view().bundle().workspace(request.workspace()).map(Workspace::share).orElse(1.0);
    Pool.TargetRequest targetRequest =
        new Pool.TargetRequest(
            request.workspace() + "/" + request.requestClass().label(),
            share * request.requestClass().weight(),
            route.prefix(),
            request.deadline(),
            Set.of());
    AdmissionResult admission = pool.await(targetRequest);
    if (admission instanceof AdmissionResult.Granted granted) {
      shared
          .metrics()
          .recordQueueTime(request.workspace(), request.requestClass(), granted.waitedNanos());
      RetryBudget budget =
          budgets.computeIfAbsent(
              request.workspace(), name -> RetryBudget.create(RETRY_SHARE, RETRY_RESERVE));
      return new Exchange(shared, request, pool, targetRequest, route.upstreamPath(), budget)
          .run(granted.target());
    }
    return spillOrRefuse(request, (AdmissionResult.Denied) admission);
  }

  private Answer spillOrRefuse(CallerRequest request, AdmissionResult.Denied denied) {
    if (!request.forwarded() && !request.deadline().hasPassed()) {
      Optional<Answer> answer = spillRoute.send(request);
      if (answer.isPresent()) {
        return answer.get();
      }
    }
    String reason = denied.notRun().reason();
    long retryAfter = denied.notRun().retryAfterSeconds();
    return denied.overloaded()
        ? ErrorAnswers.overloaded(reason, retryAfter)
        : ErrorAnswers.unavailable(reason, retryAfter);
  }

  private Pool pool(String key) {
    return new Pool(
        () -> routing.targets(key),
        shared::mayServe,
        router,
        context.nanoClock(),
        context.settings().limits().waitingPerWorkspace());
  }

  /** Admits queued requests of all pools while targets have capacity; called periodically. */
  void dispatch() {
    pools.values().forEach(Pool::dispatch);
  }

  /** Returns whether any target in this data centre is ready. */
  boolean hasReadyTarget() {
    return routing.all().stream().anyMatch(shared::mayServe);
  }

  int queuedCount() {
    return pools.values().stream().mapToInt(Pool::queuedCount).sum();
  }

  private Object route(CallerRequest request) {
    Bundle bundle = state.view().bundle();
    if (bundle == null) {
      return ErrorAnswers.unavailable("No bundle is active yet.", 1);
    }
    Optional<Workspace> workspace = bundle.workspace(request.workspace());
    if (workspace.isEmpty()) {
      return ErrorAnswers.forbidden(
          "The workspace " + request.workspace() + " is not in the active bundle.");
    }
    return request.path().startsWith(SERVICES_PATH)
        ? serviceRoute(request, bundle, workspace.get())
        : chatRoute(request, bundle, workspace.get());
  }

  private static Object chatRoute(CallerRequest request, Bundle bundle, Workspace workspace) {
    return ChatInput.parse(request.body())
        .fold(
            input -> {
              if (bundle.model(input.model()).isEmpty()) {
                return ErrorAnswers.notFound("There is no model " + input.model() + ".");
              }
              if (!workspace.models().contains(input.model())) {
                return ErrorAnswers.forbidden(
                    "The workspace may not call the model " + input.model() + ".");
              }
              String key = RoutingTable.modelKey(input.model());
              return new Route(key, CHAT_PATH, input.prefix());
            },
            Gateway::badInput);
  }

  private static Answer badInput(Problem problem) {
    return ErrorAnswers.badInput("bad_" + problem.key(), problem.message(), problem.remedy());
  }

  private static Object serviceRoute(CallerRequest request, Bundle bundle, Workspace workspace) {
    String rest = request.path().substring(SERVICES_PATH.length());
    int slash = rest.indexOf('/');
    String name = slash < 0 ? rest : rest.substring(0, slash);
    if (bundle.service(name).isEmpty()) {
      return ErrorAnswers.notFound("There is no plain service " + name + ".");
    }
    if (!workspace.services().contains(name)) {
      return ErrorAnswers.forbidden("The workspace may not call the service " + name + ".");
    }
    String path = slash < 0 ? "/" : rest.substring(slash);
    return new Route(RoutingTable.serviceKey(name), path, Prefix.of(""));
  }
}
