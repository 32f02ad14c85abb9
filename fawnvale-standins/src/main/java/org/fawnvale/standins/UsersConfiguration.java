package org.fawnvale.standins;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The configuration of the stand-in for the users' platform, and requests that fit it. */
public final class UsersConfiguration {

  /** The service of the model workers. */
  public static final String SERVICE = "drafter";

  /** The model that the workers serve. */
  public static final String MODEL = "large";

  /** The service of the plain workers. */
  public static final String PLAIN_SERVICE = "stock";

  /** The path of requests for streams. */
  public static final String STREAM_PATH = "/chat/";

  /** The path of the plain service's requests that may run more than once. */
  public static final String SAFE_PATH = "/safe/";

  /** The path of the plain service's requests that may run once at most. */
  public static final String UNSAFE_PATH = "/unsafe/";

  /** Events of a whole stream. */
  public static final int EVENTS = 12;

  /** The header that carries the id of an attempt, in requests and answers. */
  public static final String ATTEMPT_HEADER = "X-Attempt-Id";

  /** The header in which a worker signs an answer. */
  public static final String SIGNATURE_HEADER = "X-Instance-Signature";

  /** The header in which requests for a model name it. */
  public static final String MODEL_HEADER = "X-Model";

  /** The host that requests name. */
  public static final String HOST = "models.example";

  /** The key of the only workspace. */
  public static final String KEY = "garden-key";

  /** Paths of routes that come with a version begin so; its number follows. */
  private static final String VERSION_PATH = "/since-";

  /** To how many workers a request may be sent, by its route. */
  public static final int MOST_ATTEMPTS = 3;

  private static final int CALLER_PATIENCE_MILLIS = 5_000;

  private UsersConfiguration() {}

  /**
   * The path of the route that comes with a version and stays in all later ones.
   *
   * @param version the version
   * @return the path
   */
  public static String pathSince(long version) {
    return VERSION_PATH + version + "/";
  }

  /** A configuration with a route for streams and two for the plain service. */
  static Map<String, Object> of(long version, String pathPrefix, List<Map<String, Object>> models) {
    return of(version, pathPrefix, models, List.of());
  }

  /** The same with a route of the plain service for each of some versions. */
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
        "services",
        List.of(
            Map.of("name", SERVICE, "max_connections", 50, "engine", engine(models)),
            Map.of("name", PLAIN_SERVICE, "max_connections", 50)));
    configuration.put("limits", Map.of("max_body_bytes", 10_000));
    configuration.put("tenants", List.of(Map.of("name", "garden", "api_keys", List.of(KEY))));
    return configuration;
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
   * The headers of a request for the workers' model by the only workspace, as its caller sends it.
   *
   * @param attempt the id of the request
   * @return the headers by name
   */
  public static Map<String, String> headersOfACaller(String attempt) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Host", HOST);
    headers.put(ATTEMPT_HEADER, attempt);
    headers.put(MODEL_HEADER, MODEL);
    headers.put("X-Deadline-Ms", String.valueOf(CALLER_PATIENCE_MILLIS));
    headers.put("Authorization", "Bearer " + KEY);
    return headers;
  }

  /**
   * The headers of a request for the plain service, which names no model.
   *
   * @param attempt the id of the request
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
