package org.fawnvale.serving.gateway;

import java.util.Set;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.dispatch.CallerRetryDetector;
import org.fawnvale.serving.core.dispatch.DispatchRequest;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.Route;
import org.fawnvale.serving.core.model.Workspace;
import org.fawnvale.serving.core.route.RouteTable;
import org.fawnvale.serving.core.route.ServiceSplit;
import org.fawnvale.serving.spi.HeaderNames;
import org.fawnvale.serving.spi.Platform;
import org.jspecify.annotations.Nullable;

/**
 * Reads callers' requests: finds their route, workspace and demand, and when their callers stop
 * waiting. Callers of the methods hold the lock.
 */
final class RequestReader {

  private static final Logger LOG = LogManager.getLogger("gateway");
  private static final int MAX_RANK = 9;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final Platform platform;
  private final HeaderNames headers;
  private final ServiceSplit services = new ServiceSplit();
  private final CallerRetryDetector returningCallers = new CallerRetryDetector();
  private @Nullable AdmissionControl admission;

  /** What a caller has sent. */
  sealed interface Result {}

  /** A request that can be served as far as the configuration tells. */
  record Accepted(CallerRequest request) implements Result {}

  /**
   * A request that the configuration does not allow.
   *
   * @param status the status of the response
   * @param reason the reason, for the caller and the log
   */
  record Rejected(int status, String reason) implements Result {}

  RequestReader(Platform platform) {
    this.platform = platform;
    this.headers = platform.headers();
  }

  /** Sets what gives requests a target time; it is off before. */
  void setAdmission(AdmissionControl control) {
    admission = control;
  }

  /** Forgets what was learned of all other routes, which the configuration no longer has. */
  void retainRoutes(Set<String> names) {
    returningCallers.retainRoutes(names);
  }

  /**
   * Reads a request.
   *
   * @param table the routes of the configuration in force
   * @param receivedNanos when it was received, on the monotonic clock
   * @param forwarded whether another daemon forwards it for its caller
   */
  Result read(
      HttpRequest head, byte[] body, RouteTable table, long receivedNanos, boolean forwarded) {
    Configuration configuration = table.configuration();
    String host = Headers.value(head, HttpHeaders.HOST);
    Route route = host == null ? null : table.find(host, head.getRequestUri());
    if (route == null) {
      String reason = "no route, configuration " + configuration.version();
      return new Rejected(HttpStatus.SC_NOT_FOUND, reason);
    }
    String id = Headers.value(head, headers.requestId());
    if (id == null) {
      return new Rejected(HttpStatus.SC_BAD_REQUEST, "the request names no id");
    }
    Workspace workspace = table.workspace(key(head));
    if (workspace == null && table.needsKey(route)) {
      String reason = "unknown key, configuration " + configuration.version();
      return new Rejected(HttpStatus.SC_UNAUTHORIZED, reason);
    }
    long timeoutMillis = Math.min(route.timeoutMillis(), callerTimeoutMillis(head, route));
    return new Accepted(
        new CallerRequest(
            id,
            head,
            body,
            route,
            demand(head, route, workspace, receivedNanos, configuration),
            platform.size(head),
            platform.sharedPromptParts(head),
            workspace,
            configuration.version(),
            receivedNanos,
            receivedNanos + timeoutMillis * NANOS_PER_MILLI,
            forwarded ? PeerForwarding.attempts(head) : CallerRequest.NOT_FORWARDED));
  }

  private @Nullable String key(HttpRequest head) {
    String authorization = Headers.value(head, HttpHeaders.AUTHORIZATION);
    return authorization == null ? null : platform.key(authorization);
  }

  private DispatchRequest demand(
      HttpRequest head,
      Route route,
      @Nullable Workspace workspace,
      long receivedNanos,
      Configuration configuration) {
    String model = Headers.value(head, headers.model());
    boolean returning = returningCallers.isRetry(route.name(), callerTimeoutMillis(head, route));
    DispatchRequest.AdmissionClass claim =
        returning ? DispatchRequest.AdmissionClass.RETURNING : DispatchRequest.AdmissionClass.FIRST;
    DispatchRequest demand =
        new DispatchRequest(services.next(route), model == null ? "" : model, claim);
    AdmissionControl control = admission;
    return control == null
        ? demand
        : control.withTarget(
            demand,
            configuration,
            route,
            platform.size(head),
            rank(workspace, route),
            receivedNanos);
  }

  /** Returns how long the caller waits, by its deadline header or else the timeout of the route. */
  private long callerTimeoutMillis(HttpRequest head, Route route) {
    String deadline = Headers.value(head, headers.deadline());
    if (deadline != null) {
      try {
        return Long.parseLong(deadline.trim());
      } catch (NumberFormatException e) {
        LOG.debug("Ignoring an invalid deadline header: {}.", deadline);
      }
    }
    return route.timeoutMillis();
  }

  /** Returns the urgency of a request: 0 for the most urgent ones, up to 9. */
  static int rank(CallerRequest request) {
    return rank(request.workspace(), request.route());
  }

  private static int rank(@Nullable Workspace workspace, Route route) {
    boolean ranked = workspace != null && workspace.priority() >= 0;
    int rank = ranked && workspace != null ? workspace.priority() : route.priority();
    return Math.min(MAX_RANK, Math.max(0, rank));
  }
}
