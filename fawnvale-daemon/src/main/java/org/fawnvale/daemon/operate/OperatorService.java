package org.fawnvale.daemon.operate;

import java.io.IOException;
import java.io.InputStream;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.NameValuePair;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.net.URIBuilder;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.core.result.Problem;
import org.fawnvale.core.result.ProblemKind;
import org.fawnvale.daemon.Context;
import org.fawnvale.daemon.http.BoundedHttpServer;
import org.fawnvale.daemon.metrics.DaemonMetrics;
import org.fawnvale.daemon.state.Documents;
import org.fawnvale.daemon.state.FleetState;
import org.fawnvale.daemon.state.StateService;
import org.fawnvale.kernel.Service;
import org.fawnvale.kernel.ServiceException;
import org.fawnvale.platform.ObjectStore;

/** Serves operators over HTTP: bundle changes, status, history and metrics. */
public final class OperatorService implements Service {

  /** Header with the identifier of an operation; repeats of an operation are applied only once. */
  public static final String OPERATION_HEADER = "Fawnvale-Operation";

  private static final Logger LOG = LogManager.getLogger("operator");
  private static final int MAXIMUM_BUNDLE_BYTES = 900 * 1024;
  private static final int MAXIMUM_CONNECTIONS = 100;
  private static final String BEARER = "Bearer ";

  private final Context context;
  private final FleetState state;
  private final BundleUpdater updater;
  private final StatusReporter status;
  private final DaemonMetrics metrics;
  private final BoundedHttpServer server;

  /**
   * Creates the service.
   *
   * @param context the daemon's settings, identity, clocks and executors
   * @param state this daemon's copy of the shared objects
   * @param stateService distributes the objects that operators change
   * @param store the platform's object store
   * @param status builds the status
   */
  public OperatorService(
      Context context,
      FleetState state,
      StateService stateService,
      ObjectStore store,
      StatusReporter status,
      DaemonMetrics metrics) {
    this.context = context;
    this.state = state;
    this.updater = new BundleUpdater(state, stateService::written, store);
    this.status = status;
    this.metrics = metrics;
    this.server =
        new BoundedHttpServer(
            "operators",
            context.settings().operators(),
            MAXIMUM_CONNECTIONS,
            (request, response, httpContext) -> handle(request, response));
  }

  @Override
  public void start() throws ServiceException {
    server.start();
    LOG.info("Operators are served on {}:{}.", context.settings().operators().address(), port());
  }

  @Override
  public void stop() {
    server.stop();
  }

  /** Returns the actual port of the listener. */
  public int port() {
    return server.port();
  }

  /** An HTTP response to an operator. */
  private record Reply(int status, String contentType, byte[] body) {
    static Reply json(int status, Object value) {
      return new Reply(status, "application/json", Documents.write(value));
    }
  }

  private void handle(ClassicHttpRequest request, ClassicHttpResponse response) throws IOException {
    Reply reply = reply(request);
    response.setCode(reply.status());
    ContentType type = ContentType.parseLenient(reply.contentType());
    response.setEntity(new ByteArrayEntity(reply.body(), type));
  }

  private Reply reply(ClassicHttpRequest request) throws IOException {
    Map<String, String> query = new LinkedHashMap<>();
    String path = parse(request, query);
    if ("/metrics".equals(path)) {
      return new Reply(
          200, "text/plain; version=0.0.4", metrics.scrape().getBytes(StandardCharsets.UTF_8));
    }
    Optional<String> operator = operator(request);
    if (operator.isEmpty()) {
      return problems(
          List.of(
              Problem.of(
                  ProblemKind.UNAUTHENTICATED,
                  "The operator's key is missing or unknown.",
                  "Name a file with your key by --key-file.")));
    }
    if ("GET".equals(request.getMethod())) {
      return read(path);
    }
    return change(path, query, request, operator.get());
  }

  private static String parse(ClassicHttpRequest request, Map<String, String> query) {
    try {
      URIBuilder uri = new URIBuilder(request.getUri());
      for (NameValuePair pair : uri.getQueryParams()) {
        query.put(pair.getName(), pair.getValue());
      }
      return String.valueOf(uri.getPath());
    } catch (URISyntaxException e) {
      return "";
    }
  }

  private Optional<String> operator(ClassicHttpRequest request) {
    Header header = request.getFirstHeader("Authorization");
    if (header == null || !header.getValue().startsWith(BEARER)) {
      return Optional.empty();
    }
    return context.keys().operator(header.getValue().substring(BEARER.length()).strip());
  }

  private Reply read(String path) {
    return switch (path) {
      case "/bundle/status" -> Reply.json(200, status.status());
      case "/bundle/history" -> Reply.json(200, state.view().rollout().history());
      default -> notFound(path);
    };
  }

  private Reply change(
      String path, Map<String, String> query, ClassicHttpRequest request, String operator)
      throws IOException {
    Header header = request.getFirstHeader(OPERATION_HEADER);
    if (header == null || header.getValue().isBlank()) {
      return invalid(OPERATION_HEADER, null, "The header is missing.", "Give a unique text.");
    }
    String operation = header.getValue();
    if ("/bundle/submit".equals(path)) {
      Optional<String> text = body(request);
      return text.isEmpty()
          ? invalid("body", null, "The bundle is too large.", "Keep it under 900 kilobytes.")
          : reply(updater.submit(text.get(), operation, operator), operator, path);
    }
    long revision;
    try {
      revision = Long.parseLong(query.getOrDefault("revision", ""));
    } catch (NumberFormatException e) {
      return invalid(
          "revision", query.get("revision"), "It is no whole number.", "Give a revision.");
    }
    String reason = query.getOrDefault("reason", "no reason given");
    return switch (path) {
      case "/bundle/approve" ->
          changed(path, operation, operator, head -> head.approve(revision, operation, operator));
      case "/bundle/roll-out" ->
          changed(path, operation, operator, head -> head.rollOut(revision, operation, operator));
      case "/bundle/stop" ->
          changed(
              path, operation, operator, head -> head.stop(revision, reason, operation, operator));
      case "/bundle/roll-forward" ->
          changed(
              path, operation, operator, head -> head.rollForward(revision, operation, operator));
      default -> notFound(path);
    };
  }

  private Reply changed(
      String path, String operation, String operator, BundleUpdater.Change change) {
    return reply(updater.change(operation, change), operator, path);
  }

  private static Optional<String> body(ClassicHttpRequest request) throws IOException {
    if (request.getEntity() == null) {
      return Optional.of("");
    }
    try (InputStream in = request.getEntity().getContent()) {
      byte[] bytes = in.readNBytes(MAXIMUM_BUNDLE_BYTES + 1);
      return bytes.length > MAXIMUM_BUNDLE_BYTES
          ? Optional.empty()
          : Optional.of(new String(bytes, StandardCharsets.UTF_8));
    }
  }

  private Reply reply(BundleUpdater.Outcome outcome, String operator, String path) {
    if (outcome instanceof BundleUpdater.Outcome.Done done) {
      LOG.info("Operator {} did {} to revision {}.", operator, path, done.revision());
      return Reply.json(200, Map.of("revision", done.revision()));
    }
    return problems(((BundleUpdater.Outcome.Refused) outcome).problems());
  }

  private static Reply invalid(
      String key, @org.jspecify.annotations.Nullable String value, String message, String remedy) {
    return problems(List.of(Problem.invalid(key, value, message, remedy)));
  }

  private static Reply notFound(String path) {
    return problems(
        List.of(
            Problem.of(
                ProblemKind.NOT_FOUND,
                "There is nothing at " + path + ".",
                "See 'fawnvale bundle --help'.")));
  }

  private static Reply problems(List<Problem> problems) {
    int code =
        switch (problems.get(0).kind()) {
          case INVALID -> 400;
          case UNAUTHENTICATED -> 401;
          case FORBIDDEN -> 403;
          case NOT_FOUND -> 404;
          case CONFLICT -> 409;
          case OVERLOADED -> 429;
          case UNAVAILABLE -> 503;
          case OUTCOME_UNKNOWN -> 504;
        };
    return Reply.json(code, Map.of("problems", problems));
  }
}
