package org.fawnvale.daemon.gateway;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.io.entity.EntityTemplate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.core.limits.RequestClass;
import org.fawnvale.core.model.Workspace;
import org.fawnvale.core.outcome.Outcome;
import org.fawnvale.daemon.Context;
import org.fawnvale.daemon.http.BoundedHttpServer;
import org.fawnvale.daemon.metrics.DaemonMetrics;
import org.fawnvale.daemon.state.Documents;
import org.fawnvale.daemon.state.FleetState;
import org.fawnvale.kernel.Service;
import org.fawnvale.kernel.ServiceException;
import org.fawnvale.upstream.CopyResult;
import org.fawnvale.upstream.Deadline;
import org.jspecify.annotations.Nullable;

/**
 * Serves the callers' HTTP port: validates requests, passes them to the gateway, sends the answers.
 */
public final class CallerService implements Service {

  /** Header with the caller's request key. */
  public static final String KEY_HEADER = "Fawnvale-Request-Key";

  /** Header that marks a request that may run at most once. */
  public static final String UNSAFE_HEADER = "Fawnvale-Unsafe";

  /** Header with the request's deadline, milliseconds from now. */
  public static final String DEADLINE_HEADER = "Fawnvale-Deadline-Ms";

  /** Header with the request's priority class. */
  public static final String CLASS_HEADER = "Fawnvale-Class";

  private static final Logger LOG = LogManager.getLogger("gateway");
  private static final int OK = 200;
  private static final int MAXIMUM_KEY_LENGTH = 200;
  private static final String BEARER = "Bearer ";

  private final Context context;
  private final FleetState state;
  private final Gateway gateway;
  private final AtMostOnceExecutor atMostOnce;
  private final InFlightCounter inFlight;
  private final BooleanSupplier hasDialedPeers;
  private final DaemonMetrics metrics;
  private final BoundedHttpServer server;
  private final AtomicLong requests = new AtomicLong();
  private volatile boolean stopping;
  private volatile boolean warmedUp;
  private volatile long startedNanos;

  CallerService(
      Context context,
      FleetState state,
      Gateway gateway,
      AtMostOnceExecutor atMostOnce,
      InFlightCounter inFlight,
      BooleanSupplier hasDialedPeers,
      DaemonMetrics metrics) {
    this.context = context;
    this.state = state;
    this.gateway = gateway;
    this.atMostOnce = atMostOnce;
    this.inFlight = inFlight;
    this.hasDialedPeers = hasDialedPeers;
    this.metrics = metrics;
    this.server =
        new BoundedHttpServer(
            "callers",
            context.settings().callers(),
            context.settings().limits().connections(),
            (request, response, httpContext) -> handle(request, response));
  }

  @Override
  public void start() throws ServiceException {
    startedNanos = context.nowNanos();
    server.start();
    LOG.info("Listening for callers on {}:{}.", context.settings().callers().address(), port());
  }

  /**
   * Reports not ready, waits the grace period for load balancers to react, then refuses new
   * requests and waits for those in flight.
   */
  @Override
  public void stop() {
    stopping = true;
    try {
      TimeUnit.MILLISECONDS.sleep(context.settings().timing().stopGraceMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    boolean done = inFlight.closeAndAwait(context.settings().limits().maximumDeadlineMillis());
    LOG.info("All requests in flight ended before the stop timeout: {}.", done);
    server.stop();
  }

  /**
   * Returns the port that the service listens on, which the system chooses if the settings specify
   * 0.
   *
   * @return the port; 0 before the start
   */
  public int port() {
    return server.port();
  }

  private void handle(ClassicHttpRequest request, ClassicHttpResponse response) throws IOException {
    String path = request.getPath();
    if ("/health".equals(path)) {
      health(response);
      return;
    }
    if (!inFlight.tryEnter()) {
      send(ErrorAnswers.unavailable("The daemon is stopping.", 1), response, null, 0);
      return;
    }
    boolean streams = false;
    long requestStartNanos = context.nowNanos();
    try {
      CallerRequest checked = null;
      Answer answer;
      try {
        checked = read(request, path);
        answer = answer(checked, request);
      } catch (RefusedException e) {
        answer = e.answer;
      } catch (RuntimeException e) {
        LOG.error("A request ended by a fault of the daemon.", e);
        answer = ErrorAnswers.unknown("A fault of the daemon ended the request.", false);
      }
      streams = send(answer, response, checked, requestStartNanos);
    } finally {
      if (!streams) {
        inFlight.exit();
      }
    }
  }

  private void health(ClassicHttpResponse response) {
    boolean ready = !stopping && state.view().bundle() != null && hasWarmedUp();
    response.setCode(ready ? OK : ErrorAnswers.UNAVAILABLE);
    Map<String, Object> body =
        Map.of("ready", ready, "leaving", stopping, "bundle", state.view().rollout().accepted());
    response.setEntity(new ByteArrayEntity(Documents.write(body), ContentType.APPLICATION_JSON));
  }

  /**
   * Returns true once a target has been ready and all peers have been dialed, or twice the
   * freshness period has passed since the start. Without links the daemon cannot forward a request
   * that another daemon must run.
   */
  private boolean hasWarmedUp() {
    long limit = TimeUnit.MILLISECONDS.toNanos(2 * context.settings().timing().freshMillis());
    warmedUp =
        warmedUp
            || gateway.hasReadyTarget() && hasDialedPeers.getAsBoolean()
            || context.nowNanos() - startedNanos > limit;
    return warmedUp;
  }

  private Answer answer(CallerRequest checked, ClassicHttpRequest request) {
    String path = checked.path();
    if ("/v1/request-keys".equals(path)) {
      return "POST".equals(request.getMethod())
          ? json(Map.of("key", atMostOnce.makeKey()))
          : ErrorAnswers.notFound("Request keys are issued by POST only.");
    }
    if ("/v1/models".equals(path)) {
      return models(checked.workspace());
    }
    boolean chat = Gateway.CHAT_PATH.equals(path) && "POST".equals(request.getMethod());
    if (!chat && !path.startsWith(Gateway.SERVICES_PATH)) {
      return ErrorAnswers.notFound("No resource at " + request.getMethod() + " " + path + ".");
    }
    LOG.debug("Request {} of workspace {} started: {}.", checked.id(), checked.workspace(), path);
    if (!checked.unsafe()) {
      return gateway.run(checked);
    }
    Optional<Answer> refused = gateway.check(checked);
    return refused.isPresent() ? refused.get() : atMostOnce.run(checked, gateway::run);
  }

  private Answer models(String workspace) {
    var bundle = state.view().bundle();
    var names =
        bundle == null
            ? java.util.List.<String>of()
            : bundle.workspace(workspace).map(Workspace::models).orElse(java.util.List.of());
    return json(
        Map.of(
            "object",
            "list",
            "data",
            names.stream().map(name -> Map.of("id", name, "object", "model")).toList()));
  }

  private static Answer.Whole json(Object body) {
    Outcome outcome = new Outcome.Answered();
    Map<String, String> headers =
        Map.of("Content-Type", "application/json", Answer.OUTCOME_HEADER, outcome.label());
    return new Answer.Whole(outcome, OK, headers, Documents.write(body));
  }

  private CallerRequest read(ClassicHttpRequest request, String path)
      throws IOException, RefusedException {
    String workspace = workspace(request);
    long deadline = deadline(request);
    RequestClass requestClass = requestClass(request);
    boolean unsafe = unsafe(request);
    String key = key(request);
    byte[] body = body(request);
    String type = header(request, "Content-Type");
    return new CallerRequest(
        context.identity().incarnation() + "-" + requests.incrementAndGet(),
        workspace,
        requestClass,
        Deadline.in(context.nanoClock(), deadline),
        unsafe,
        key,
        request.getMethod(),
        path,
        type == null ? "application/json" : type,
        body,
        false);
  }

  private String workspace(ClassicHttpRequest request) throws RefusedException {
    String text = header(request, "Authorization");
    if (text == null || !text.startsWith(BEARER)) {
      throw new RefusedException(ErrorAnswers.unauthenticated());
    }
    return context
        .keys()
        .workspace(text.substring(BEARER.length()).strip())
        .orElseThrow(() -> new RefusedException(ErrorAnswers.unauthenticated()));
  }

  private long deadline(ClassicHttpRequest request) throws RefusedException {
    String text = header(request, DEADLINE_HEADER);
    if (text == null) {
      return context.settings().limits().deadlineMillis();
    }
    long maximum = context.settings().limits().maximumDeadlineMillis();
    try {
      long millis = Long.parseLong(text.strip());
      if (millis >= 1 && millis <= maximum) {
        return millis;
      }
    } catch (NumberFormatException e) {
      // Rejected below, like a number that is out of range.
    }
    throw badHeader(DEADLINE_HEADER, text, "a whole number from 1 to " + maximum);
  }

  private static RequestClass requestClass(ClassicHttpRequest request) throws RefusedException {
    String text = header(request, CLASS_HEADER);
    if (text == null) {
      return RequestClass.STANDARD;
    }
    return RequestClass.parse(text.strip())
        .orElseThrow(() -> badHeader(CLASS_HEADER, text, "interactive, standard or batch"));
  }

  private static boolean unsafe(ClassicHttpRequest request) throws RefusedException {
    String text = header(request, UNSAFE_HEADER);
    if (text == null || "false".equals(text)) {
      return false;
    }
    if (!"true".equals(text)) {
      throw badHeader(UNSAFE_HEADER, text, "true or false");
    }
    return true;
  }

  private static @Nullable String key(ClassicHttpRequest request) throws RefusedException {
    String text = header(request, KEY_HEADER);
    if (text != null && (text.isBlank() || text.length() > MAXIMUM_KEY_LENGTH)) {
      throw badHeader(KEY_HEADER, text, "a text of 1 to " + MAXIMUM_KEY_LENGTH + " characters");
    }
    return text;
  }

  private static RefusedException badHeader(String name, String value, String allowed) {
    return new RefusedException(
        ErrorAnswers.badInput(
            "bad_header", "The header " + name + " is '" + value + "'.", "Give " + allowed + "."));
  }

  private byte[] body(ClassicHttpRequest request) throws IOException, RefusedException {
    if (request.getEntity() == null) {
      return new byte[0];
    }
    int limit = context.settings().limits().bodyBytes();
    if (request.getEntity().getContentLength() > limit) {
      throw new RefusedException(ErrorAnswers.tooLarge(limit));
    }
    try (InputStream in = request.getEntity().getContent()) {
      byte[] body = in.readNBytes(limit + 1);
      if (body.length > limit) {
        throw new RefusedException(ErrorAnswers.tooLarge(limit));
      }
      return body;
    }
  }

  private static @Nullable String header(ClassicHttpRequest request, String name) {
    Header header = request.getFirstHeader(name);
    return header == null ? null : header.getValue();
  }

  /** Fills in the response. Returns true if the server copies the body later, as a stream. */
  private boolean send(
      Answer answer,
      ClassicHttpResponse response,
      @Nullable CallerRequest request,
      long requestStartNanos) {
    response.setCode(answer.status());
    answer.headers().forEach(response::setHeader);
    if (request != null) {
      response.setHeader(Gateway.REQUEST_ID_HEADER, request.id());
      if (request.key() != null) {
        response.setHeader(KEY_HEADER, request.key());
      }
    }
    if (!response.containsHeader(HttpHeaders.CONTENT_TYPE)) {
      response.setHeader(HttpHeaders.CONTENT_TYPE, "application/octet-stream");
    }
    if (answer instanceof Answer.Whole whole) {
      recordOutcome(request, whole.outcome().label(), requestStartNanos);
      response.setEntity(new ByteArrayEntity(whole.body(), null));
      return false;
    }
    Answer.Streamed streamed = (Answer.Streamed) answer;
    response.setEntity(
        new EntityTemplate(
            -1, null, null, out -> stream(streamed, out, request, requestStartNanos)));
    return true;
  }

  /**
   * Copies a streamed answer to the caller. Throws if the upstream's stream is interrupted, so that
   * the server closes the connection.
   */
  private void stream(
      Answer.Streamed streamed,
      OutputStream out,
      @Nullable CallerRequest request,
      long requestStartNanos)
      throws IOException {
    try {
      CopyResult result = StreamCopier.copy(streamed.body(), out);
      if (result instanceof CopyResult.Whole) {
        recordOutcome(request, new Outcome.Answered().label(), requestStartNanos);
        return;
      }
      recordOutcome(request, "unknown", requestStartNanos);
      if (result instanceof CopyResult.Torn torn) {
        throw new IOException("The upstream's stream was interrupted: " + torn.reason());
      }
      throw new IOException("The caller closed the connection.");
    } finally {
      inFlight.exit();
    }
  }

  private void recordOutcome(
      @Nullable CallerRequest request, String outcome, long requestStartNanos) {
    if (request != null) {
      long nanos = context.nowNanos() - requestStartNanos;
      metrics.recordRequest(request.workspace(), request.requestClass(), outcome, nanos);
      LOG.debug(
          "Request {} of workspace {} ended: {}.", request.id(), request.workspace(), outcome);
    }
  }

  /** Thrown by the validation of a request; holds the error answer. */
  private static final class RefusedException extends Exception {

    private static final long serialVersionUID = 1L;

    private final transient Answer.Whole answer;

    RefusedException(Answer.Whole answer) {
      super(answer.outcome().label());
      this.answer = answer;
    }
  }
}
