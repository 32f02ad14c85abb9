package org.fawnvale.standins;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The configuration of the stand-in for the users' platform, and headers of matching requests. */
public final class UsersConfiguration {

  /** The name of the model workers' service. */
  public static final String SERVICE = "drafter";

  /** The model that the workers serve. */
  public static final String MODEL = "large";

  /** The name of the plain workers' service. */
  public static final String PLAIN_SERVICE = "stock";

  /** The path prefix of streaming requests. */
  public static final String STREAM_PATH = "/chat/";

  /** The path prefix of less urgent streaming requests, in a ranked configuration. */
  public static final String BATCH_PATH = "/batch/";

  /** The path prefix of the plain service's idempotent requests. */
  public static final String SAFE_PATH = "/safe/";

  /** The path prefix of the plain service's non-idempotent requests, which run at most once. */
  public static final String UNSAFE_PATH = "/unsafe/";

  /** The number of events in a complete stream. */
  public static final int EVENTS = 12;

  /** Prefix of the bodies of requests whose streams have large events. */
  public static final String LARGE_BODY_PREFIX = "large";

  /** The header that carries the id of an attempt, in requests and responses. */
  public static final String ATTEMPT_HEADER = "X-Attempt-Id";

  /** The response header that carries the worker's id. */
  public static final String SIGNATURE_HEADER = "X-Instance-Signature";

  /** The request header that names the model. */
  public static final String MODEL_HEADER = "X-Model";

  /** The request header with the parts of the prompt. */
  static final String PARTS_HEADER = "X-Prefix-Hash";

  /** The value of the Host header in requests. */
  public static final String HOST = "models.example";

  /** The API key of the only workspace. */
  public static final String KEY = "garden-key";

  /** The start of the path prefix of a route added by a version; the version number follows. */
  private static final String VERSION_PATH = "/since-";

  /** The maximum number of attempts for a request on each route. */
  public static final int MOST_ATTEMPTS = 3;

  /** The requests per second that a cold worker accepts from all daemons together. */
  public static final int COLD_PER_SECOND = 5;

  /** How long a worker is cold after a start, in seconds. */
  public static final int COLD_SECONDS = 8;

  /** The time that callers of all requests wait, in milliseconds. */
  public static final int CALLER_DEADLINE_MILLIS = 5_000;

  /** The maximum size of a request body, in bytes. */
  static final int MAX_BODY_BYTES = 10_000;

  private static final int BATCH_PRIORITY = 6;
  private static final int USUAL_PROMPT_TOKENS = 300;
  private static final int USUAL_ANSWER_TOKENS = 50;

  private UsersConfiguration() {}

  /**
   * Returns the path prefix of the route that a version adds and all later versions keep.
   *
   * @param version the version that adds the route
   * @return the path prefix
   */
  public static String pathSince(long version) {
    return VERSION_PATH + version + "/";
  }

  /** Returns a configuration with one route for streams and two for the plain service. */
  static Map<String, Object> of(long version, String pathPrefix, List<Map<String, Object>> models) {
    return of(version, pathPrefix, models, List.of());
  }

  /** Returns a configuration with an additional plain route for each version in {@code since}. */
  static Map<String, Object> of(
      long version, String pathPrefix, List<Map<String, Object>> models, List<Long> since) {
    Map<String, Object> streams = route("r" + version, pathPrefix, "streaming", SERVICE);
    streams.put("gap_target_ms", 500);
    streams.put("resumable", true);
    Map<String, Object> configuration = new LinkedHashMap<>();
    configuration.put("version", version);
    List<Object> routes = new ArrayList<>();
    routes.add(streams);
    routes.add(route("safe", SAFE_PATH, "idempotent", PLAIN_SERVICE));
    routes.add(route("unsafe", UNSAFE_PATH, "non_idempotent", PLAIN_SERVICE));
    for (long added : since) {
      routes.add(route("since" + added, pathSince(added), "idempotent", PLAIN_SERVICE));
    }
    configuration.put("routes", routes);
    configuration.put(
        "services", List.of(service(SERVICE, "engine", engine(models)), service(PLAIN_SERVICE)));
    configuration.put("limits", Map.of("max_body_bytes", MAX_BODY_BYTES));
    configuration.put("tenants", List.of(tenant(List.of())));
    return configuration;
  }

  /** Returns the only workspace, with the key of callers and further keys. */
  static Map<String, Object> tenant(List<String> furtherKeys) {
    List<String> keys = new ArrayList<>(List.of(KEY));
    keys.addAll(furtherKeys);
    return Map.of("name", "garden", "api_keys", List.copyOf(keys));
  }

  /** Replaces the timeout of a configuration's first route, which is that for streams. */
  @SuppressWarnings("unchecked")
  static void setStreamTimeout(Map<String, Object> configuration, int millis) {
    List<Map<String, Object>> routes = (List<Map<String, Object>>) configuration.get("routes");
    routes.get(0).put("timeout_ms", millis);
  }

  /** Returns a configuration with streaming routes of two priorities and the usual request size. */
  static Map<String, Object> ranked(long version, List<Map<String, Object>> models) {
    Map<String, Object> urgent = route("urgent", STREAM_PATH, "streaming", SERVICE);
    Map<String, Object> batch = route("batch", BATCH_PATH, "streaming", SERVICE);
    batch.put("priority", BATCH_PRIORITY);
    Map<String, Object> engine = engine(models);
    engine.put("usual", Map.of("prompt", USUAL_PROMPT_TOKENS, "answer", USUAL_ANSWER_TOKENS));
    Map<String, Object> configuration = of(version, STREAM_PATH, models);
    configuration.put("routes", List.of(urgent, batch));
    configuration.put("services", List.of(service(SERVICE, "engine", engine)));
    return configuration;
  }

  private static Map<String, Object> service(String name) {
    Map<String, Object> service = new LinkedHashMap<>();
    service.put("name", name);
    service.put("max_connections", 50);
    service.put("cold_start_s", COLD_SECONDS);
    service.put("cold_per_s", COLD_PER_SECOND);
    return service;
  }

  private static Map<String, Object> service(String name, String field, Object value) {
    Map<String, Object> service = service(name);
    service.put(field, value);
    return service;
  }

  private static Map<String, Object> route(String name, String path, String type, String service) {
    Map<String, Object> route = new LinkedHashMap<>();
    route.put("name", name);
    route.put("host", HOST);
    route.put("path_prefix", path);
    route.put("route_type", type);
    route.put("timeout_ms", 20_000);
    route.put("target_latency_ms", 500);
    route.put("priority", 1);
    route.put("service", service);
    route.put("max_attempts", MOST_ATTEMPTS);
    return route;
  }

  /**
   * Returns the headers that a caller of the only workspace sends with a request for the model.
   *
   * @param attempt the attempt id of the request
   * @return the headers by name
   */
  public static Map<String, String> headersOfACaller(String attempt) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", HOST);
    headers.put(ATTEMPT_HEADER, attempt);
    headers.put(MODEL_HEADER, MODEL);
    headers.put("X-Deadline-Ms", String.valueOf(CALLER_DEADLINE_MILLIS));
    headers.put("Authorization", "Bearer " + KEY);
    return headers;
  }

  /**
   * Returns the headers that a caller of the only workspace sends with a request for the model.
   *
   * @param attempt the attempt id of the request
   * @param parts the parts of its prompt, each with its number of tokens
   * @return the headers by name
   */
  public static Map<String, String> headersOfACaller(String attempt, String parts) {
    Map<String, String> headers = headersOfACaller(attempt);
    headers.put(PARTS_HEADER, parts);
    return headers;
  }

  /**
   * Returns the headers of a request for the plain service, which has no model header.
   *
   * @param attempt the attempt id of the request
   * @return the headers by name
   */
  public static Map<String, String> headersOfAPlainCaller(String attempt) {
    Map<String, String> headers = headersOfACaller(attempt);
    headers.remove(MODEL_HEADER);
    return headers;
  }

  static Map<String, Object> model(String name) {
    Map<String, Object> model = new LinkedHashMap<>();
    model.put("name", name);
    model.put("size", 2);
    model.put("share", 1.0);
    model.put("pace", 1.0);
    model.put("load_s", 0.5);
    model.put("warm_s", 0.1);
    return model;
  }

  private static Map<String, Object> engine(List<Map<String, Object>> models) {
    Map<String, Object> engine = new LinkedHashMap<>();
    engine.put("slots", 4);
    engine.put("kv_capacity_tokens", 100_000);
    engine.put("stride", 4);
    engine.put("chunk", 2_048);
    engine.put("models", models);
    engine.put("step_ms", 6.0);
    engine.put("per_seq_ms", 0.06);
    engine.put("context_per_k", 0.01);
    engine.put("read_per_s", 50_000);
    engine.put("loads_per_s", 10);
    engine.put("form_ms", 50);
    return engine;
  }
}
