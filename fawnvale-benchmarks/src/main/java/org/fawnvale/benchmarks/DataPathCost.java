package org.fawnvale.benchmarks;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.fawnvale.standins.fleet.FleetPlan;
import org.fawnvale.standins.fleet.LocalFleet;

/** Measures the latency that a daemon adds, and its CPU time per request and stream event. */
public final class DataPathCost {

  private static final String KEY = "caller-key-of-benchmark";
  private static final int REQUEST_PAIRS = 400;
  private static final int CLIENTS = 16;
  private static final int SECONDS = 8;
  private static final int TOKENS = 400;
  private static final String BUNDLE =
      """
      {"name": "b", "models": [{"name": "m", "version": "1", "weightGigabytes": 0.01}],
       "roles": [{"name": "r", "model": "m", "nodesPerReplica": 2, "replicasPerDataCentre": 2,
                  "minimumReady": 0, "maximumConcurrent": 1000}],
       "workspaces": [{"name": "w", "share": 1, "models": ["m"]}]}
      """;

  private final LocalFleet fleet;
  private final PrintStream out;
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  private DataPathCost(LocalFleet fleet, PrintStream out) {
    this.fleet = fleet;
    this.out = out;
  }

  /**
   * Runs the measurements.
   *
   * @param arguments the daemon's jar
   * @throws Exception when the fleet does not start
   */
  public static void main(String[] arguments) throws Exception {
    FleetPlan plan =
        new FleetPlan(
            List.of("dc"),
            1,
            1,
            4,
            "none",
            List.of("--token-millis", "0", "--prefill-micros", "0", "--concurrent", "1000"),
            Map.of(),
            Map.of());
    Path folder = Files.createTempDirectory("fawnvale-cost");
    try (LocalFleet fleet =
        LocalFleet.start(folder, Path.of(arguments[0]), plan, Map.of(KEY, "w"))) {
      DataPathCost cost = new DataPathCost(fleet, System.out);
      cost.rollOut();
      cost.latency();
      cost.throughput("whole answers of 4 tokens", 4, false);
      cost.throughput("streams of " + TOKENS + " events", TOKENS, true);
    }
  }

  private void rollOut() throws IOException, InterruptedException {
    String daemon = fleet.daemons().get(0);
    operate(daemon, "/bundle/submit", BUNDLE);
    operate(daemon, "/bundle/approve?revision=1", "");
    operate(daemon, "/bundle/roll-out?revision=1", "");
    for (int i = 0; i < 300; i++) {
      String status = fleet.status(daemon).path("replicas").toString();
      if (status.split("serving").length > 2) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(100);
    }
    throw new IOException("the replicas did not start serving within 30 s");
  }

  private void operate(String daemon, String path, String body) throws IOException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + fleet.operators(daemon) + path))
            .header("Authorization", "Bearer " + LocalFleet.OPERATOR_KEY)
            .header("Fawnvale-Operation", path)
            .POST(HttpRequest.BodyPublishers.ofString(body));
    HttpResponse<String> response = fleet.send(request);
    if (response.statusCode() != 200) {
      throw new IOException(response.body());
    }
  }

  private HttpRequest chat(URI uri, int tokens, boolean stream) {
    String body =
        "{\"model\":\"m\",\"stream\":%s,\"max_tokens\":%d,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}"
            .formatted(stream, tokens);
    return HttpRequest.newBuilder(uri)
        .header("Authorization", "Bearer " + KEY)
        .POST(HttpRequest.BodyPublishers.ofString(body))
        .build();
  }

  private void latency() throws IOException, InterruptedException {
    String daemon = fleet.daemons().get(0);
    String leader = fleet.status(daemon).path("replicas").get(0).path("members").get(0).asText();
    HttpRequest direct =
        chat(fleet.url("engine-dc", "/nodes/" + leader + "/v1/chat/completions"), 4, false);
    HttpRequest through = chat(fleet.url(daemon, "/v1/chat/completions"), 4, false);
    double[] directMillis = new double[REQUEST_PAIRS];
    double[] throughMillis = new double[REQUEST_PAIRS];
    for (int i = -REQUEST_PAIRS; i < REQUEST_PAIRS; i++) {
      double a = millis(direct);
      double b = millis(through);
      if (i >= 0) {
        directMillis[i] = a;
        throughMillis[i] = b;
      }
    }
    Arrays.sort(directMillis);
    Arrays.sort(throughMillis);
    out.printf(
        Locale.ROOT,
        "latency: direct median %.3f ms p99 %.3f; through the daemon median %.3f ms p99 %.3f; "
            + "ratio of medians %.2f; added %.3f ms%n",
        directMillis[REQUEST_PAIRS / 2],
        directMillis[REQUEST_PAIRS * 99 / 100],
        throughMillis[REQUEST_PAIRS / 2],
        throughMillis[REQUEST_PAIRS * 99 / 100],
        throughMillis[REQUEST_PAIRS / 2] / directMillis[REQUEST_PAIRS / 2],
        throughMillis[REQUEST_PAIRS / 2] - directMillis[REQUEST_PAIRS / 2]);
  }

  private double millis(HttpRequest request) throws IOException, InterruptedException {
    long begin = System.nanoTime();
    HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
    if (response.statusCode() != 200) {
      throw new IOException(response.body());
    }
    return (System.nanoTime() - begin) / 1e6;
  }

  private void throughput(String what, int tokens, boolean stream)
      throws IOException, InterruptedException {
    String daemon = fleet.daemons().get(0);
    HttpRequest request = chat(fleet.url(daemon, "/v1/chat/completions"), tokens, stream);
    run(request, SECONDS / 2);
    ProcessUse before = ProcessUse.of(fleet.child(daemon).pid());
    int done = run(request, SECONDS);
    ProcessUse after = ProcessUse.of(fleet.child(daemon).pid());
    double cpu = after.cpuSeconds() - before.cpuSeconds();
    out.printf(
        Locale.ROOT,
        "%s: %d in %d s with %d clients, %.2f core-seconds of the daemon: %.0f a core-second, "
            + "%.1f microseconds each; resident %.0f MB%n",
        what,
        done,
        SECONDS,
        CLIENTS,
        cpu,
        done / cpu,
        cpu * 1e6 / done,
        after.residentMegabytes());
    if (stream) {
      out.printf(Locale.ROOT, "  that is %.2f microseconds an event%n", cpu * 1e6 / done / tokens);
    }
  }

  private int run(HttpRequest request, int seconds) throws InterruptedException {
    AtomicInteger done = new AtomicInteger();
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    ExecutorService executor = Executors.newFixedThreadPool(CLIENTS);
    for (int i = 0; i < CLIENTS; i++) {
      executor.execute(
          () -> {
            while (System.nanoTime() < end) {
              try {
                millis(request);
                done.incrementAndGet();
              } catch (IOException | InterruptedException e) {
                return;
              }
            }
          });
    }
    executor.shutdown();
    executor.awaitTermination(seconds + 30L, TimeUnit.SECONDS);
    return done.get();
  }
}
