package org.fawnvale.dist;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.fawnvale.cli.Console;
import org.fawnvale.cli.Main;
import org.fawnvale.standins.fleet.FleetPlan;
import org.fawnvale.standins.fleet.LocalFleet;

/** A running fleet with a bundle in force, with helper methods for tests. */
final class Fleet implements AutoCloseable {

  static final String NORTH = "north";
  static final String SOUTH = "south";
  static final String KEY = "caller-key-of-counter";
  static final String CHAT = "/v1/chat/completions";

  private static final int ENGINES = 7;
  private static final long TIMEOUT_SECONDS = 60;

  private final LocalFleet local;
  private final Path folder;

  private Fleet(LocalFleet local, Path folder) {
    this.local = local;
    this.folder = folder;
  }

  /** A condition that a test waits for; an IOException counts as false. */
  @FunctionalInterface
  interface Condition {
    boolean holds() throws IOException;
  }

  /** Starts two data centres of two daemons, with two replicas of three nodes and one spare. */
  static Fleet start(String... engineArguments) throws IOException {
    Map<String, Object> timing =
        Map.of(
            "beatMillis", 200,
            "probeMillis", 150,
            "probeTimeoutMillis", 400,
            "freshMillis", 1500,
            "leaseMillis", 2000,
            "orderTimeoutMillis", 400,
            "stopGraceMillis", 200,
            "planMillis", 100);
    FleetPlan plan =
        new FleetPlan(
            List.of(NORTH, SOUTH),
            2,
            1,
            ENGINES,
            "orders",
            Arrays.asList(engineArguments),
            timing,
            Map.of("bodyBytes", 65536));
    Path logs = Files.createDirectories(Path.of("target", "fleets").toAbsolutePath());
    Path folder = Files.createTempDirectory(logs, "fleet");
    Path jar = Path.of("..", "target", "fawnvale.jar").toAbsolutePath();
    LocalFleet local =
        LocalFleet.start(
            folder, jar, plan, Map.of(KEY, "counter", "caller-key-of-nobody", "nobody"));
    Fleet fleet = new Fleet(local, folder);
    try {
      fleet.await("every daemon knows its nodes", fleet::nodesKnown);
      fleet.rollOut(bundle("1"), 1);
      return fleet;
    } catch (IOException | RuntimeException e) {
      fleet.close();
      throw e;
    }
  }

  /** Returns whether each daemon knows all nodes, against which it validates a bundle. */
  private boolean nodesKnown() throws IOException {
    for (String daemon : local.daemons()) {
      if (local.status(daemon).path("stranded").size() < ENGINES) {
        return false;
      }
    }
    return true;
  }

  static String bundle(String version) {
    return """
        {"name": "test-%s",
         "models": [{"name": "drafter", "version": "%s", "weightGigabytes": 10}],
         "roles": [{"name": "drafting", "model": "drafter", "nodesPerReplica": 3,
                    "replicasPerDataCentre": 2, "minimumReady": 1, "maximumConcurrent": 8}],
         "services": [{"name": "orders", "maximumConcurrent": 64}],
         "workspaces": [{"name": "counter", "share": 0.8, "models": ["drafter"],
                         "services": ["orders"]}],
         "policy": {"downtimeWeight": 3, "strandedWeight": 1, "graceSeconds": 0.5}}
        """
        .formatted(version, version);
  }

  LocalFleet local() {
    return local;
  }

  String daemon(String dataCentre, int number) {
    return LocalFleet.daemonName(dataCentre, number);
  }

  void rollOut(String bundle, long revision) throws IOException {
    Path file = folder.resolve("bundle-" + revision + ".json");
    Files.writeString(file, bundle);
    String first = daemon(NORTH, 1);
    String last = daemon(SOUTH, 2);
    command(first, "submit", file.toString());
    command(first, "approve", Long.toString(revision));
    command(last, "roll-out", Long.toString(revision));
    await("revision " + revision + " serves everywhere", () -> serves(revision));
  }

  boolean serves(long revision) throws IOException {
    for (String daemon : local.daemons()) {
      JsonNode status = local.status(daemon);
      boolean current = status.path("rollout").path("accepted").asLong() == revision;
      if (!current || servingReplicas(status) < 2) {
        return false;
      }
    }
    return true;
  }

  static int servingReplicas(JsonNode status) {
    int serving = 0;
    for (JsonNode replica : status.path("replicas")) {
      serving += "serving".equals(replica.path("state").asText()) ? 1 : 0;
    }
    return serving;
  }

  /** Runs an operator's command in this process; its exit code must be 0. */
  String command(String daemon, String action, String... arguments) throws IOException {
    ByteArrayOutputStream printed = new ByteArrayOutputStream();
    int code = tryCommand(printed, daemon, action, arguments);
    if (code != 0) {
      throw new IOException("bundle " + action + ": " + code + " " + printed);
    }
    return printed.toString(StandardCharsets.UTF_8);
  }

  int tryCommand(ByteArrayOutputStream printed, String daemon, String action, String... arguments) {
    List<String> command = new ArrayList<>(List.of("bundle", action));
    command.addAll(Arrays.asList(arguments));
    command.addAll(
        List.of(
            "--daemon",
            local.operators(daemon),
            "--key-file",
            folder.resolve("operator.key").toString()));
    PrintStream stream = new PrintStream(printed, true, StandardCharsets.UTF_8);
    return Main.run(command.toArray(new String[0]), new Console(stream, stream)).code();
  }

  HttpRequest.Builder request(String daemon, String path) {
    return HttpRequest.newBuilder(local.url(daemon, path)).header("Authorization", "Bearer " + KEY);
  }

  HttpResponse<String> chat(String daemon, String text, int tokens, boolean streamed)
      throws IOException {
    String body =
        """
        {"model": "drafter", "stream": %s, "max_tokens": %d,
         "messages": [{"role": "user", "content": "%s"}]}
        """
            .formatted(streamed, tokens, text);
    return local.send(request(daemon, CHAT).POST(HttpRequest.BodyPublishers.ofString(body)));
  }

  /** Sends an unsafe order under a key. */
  HttpResponse<String> order(String daemon, String key) throws IOException {
    return local.send(
        request(daemon, "/services/orders/new")
            .header("Fawnvale-Unsafe", "true")
            .header("Fawnvale-Request-Key", key)
            .POST(HttpRequest.BodyPublishers.ofString("{\"key\":\"" + key + "\"}")));
  }

  /** Returns whether a daemon tells load balancers that it is ready. */
  boolean isReady(String daemon) throws IOException {
    return local.send(HttpRequest.newBuilder(local.url(daemon, "/health"))).statusCode() == 200;
  }

  /** Returns how often a key ran at the plain services of all data centres. */
  int runs(String key) throws IOException {
    int runs = 0;
    for (String dataCentre : List.of(NORTH, SOUTH)) {
      runs += local.counts("service-" + dataCentre).path("runs").path(key).asInt();
    }
    return runs;
  }

  /** Returns how many requests started at the engines of a data centre. */
  int started(String dataCentre) throws IOException {
    int started = 0;
    for (JsonNode node : local.counts("engine-" + dataCentre)) {
      for (JsonNode runs : node.path("runs")) {
        started += runs.asInt();
      }
    }
    return started;
  }

  /** Waits for a condition, up to a generous timeout. */
  void await(String what, Condition condition) throws IOException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (System.nanoTime() < end) {
      if (holds(condition)) {
        return;
      }
      pause(50);
    }
    throw new IOException("never: " + what + "; logs in " + folder);
  }

  private static boolean holds(Condition condition) {
    try {
      return condition.holds();
    } catch (IOException e) {
      return false;
    }
  }

  static void pause(long millis) throws IOException {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  /** Sends a signal to a process of this fleet. */
  void signal(String name, String signal) throws IOException {
    long pid = local.child(name).pid();
    Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(pid)).start();
    try {
      kill.waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  @Override
  public void close() {
    local.close();
  }
}
