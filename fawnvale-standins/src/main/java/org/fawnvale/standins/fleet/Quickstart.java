package org.fawnvale.standins.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Demonstrates a fleet on loopback: starts it, submits, approves and rolls out a bundle, sends two
 * requests and prints the status.
 */
public final class Quickstart {

  private static final String CALLER_KEY = "caller-key-of-counter";
  private static final long READY_SECONDS = 25;

  private final PrintStream out;
  private final Path jar;
  private final Path bundle;

  private Quickstart(PrintStream out, Path jar, Path bundle) {
    this.out = out;
    this.jar = jar;
    this.bundle = bundle;
  }

  /**
   * Runs the quickstart.
   *
   * @param arguments the daemon's jar, the bundle, and optionally {@code --once}, which stops the
   *     fleet after the demonstration
   */
  public static void main(String[] arguments) {
    boolean once = List.of(arguments).contains("--once");
    Quickstart quickstart =
        new Quickstart(System.out, Path.of(arguments[0]), Path.of(arguments[1]));
    System.exit(quickstart.run(once));
  }

  private int run(boolean once) {
    CountDownLatch stopped = new CountDownLatch(1);
    FleetPlan plan =
        new FleetPlan(
            List.of("suva-hall", "lautoka-hall"),
            2,
            1,
            9,
            "listings",
            List.of(),
            Map.of(
                "beatMillis",
                250,
                "probeMillis",
                200,
                "freshMillis",
                2000,
                "leaseMillis",
                3000,
                "orderTimeoutMillis",
                500,
                "stopGraceMillis",
                100),
            Map.of());
    try {
      Path folder = Files.createTempDirectory("fawnvale-quickstart");
      out.println("Logs and settings are in " + folder + ".");
      try (LocalFleet fleet = LocalFleet.start(folder, jar, plan, Map.of(CALLER_KEY, "counter"))) {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(fleet, stopped)));
        show(fleet, folder);
        if (!once) {
          out.println("Stop with Ctrl-C.");
          new CountDownLatch(1).await();
        }
      }
      out.println("Every process has stopped.");
      return 0;
    } catch (IOException e) {
      out.println("The quickstart failed: " + e.getMessage());
      return 1;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 1;
    } finally {
      stopped.countDown();
    }
  }

  private static void stop(LocalFleet fleet, CountDownLatch stopped) {
    if (stopped.getCount() > 0) {
      fleet.close();
    }
  }

  private void show(LocalFleet fleet, Path folder) throws IOException {
    List<String> daemons = fleet.daemons();
    String first = daemons.get(0);
    String last = daemons.get(daemons.size() - 1);
    fawnvale(fleet, folder, first, "submit", bundle.toString());
    fawnvale(fleet, folder, first, "approve", "1");
    fawnvale(fleet, folder, last, "roll-out", "1");
    awaitReady(fleet);
    out.println();
    out.println("A streamed chat request through " + first + ":");
    out.println(chat(fleet, first));
    out.println("An unsafe call of a plain service through " + last + ":");
    out.println(book(fleet, last));
    out.println();
    out.println();
    fawnvale(fleet, folder, first, "status", "");
    out.println();
    out.println("Send more with:");
    out.println(
        "  curl -N -H 'Authorization: Bearer "
            + CALLER_KEY
            + "' -d '{\"model\":\"registry-drafter\",\"stream\":true,"
            + "\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}' "
            + fleet.url(first, "/v1/chat/completions"));
  }

  private void fawnvale(
      LocalFleet fleet, Path folder, String daemon, String action, String argument)
      throws IOException {
    List<String> command =
        new java.util.ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-jar",
                jar.toString(),
                "bundle",
                action));
    if (!argument.isEmpty()) {
      command.add(argument);
    }
    command.addAll(
        List.of(
            "--daemon",
            fleet.operators(daemon),
            "--key-file",
            folder.resolve("operator.key").toString()));
    Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
    String output = new String(process.getInputStream().readAllBytes());
    out.println("$ fawnvale bundle " + action + " " + argument);
    out.println(output.stripTrailing());
    try {
      if (process.waitFor() != 0) {
        throw new IOException("bundle " + action + " was refused");
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  private void awaitReady(LocalFleet fleet) throws IOException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_SECONDS);
    while (System.nanoTime() < end) {
      if (isReady(fleet)) {
        out.println("The bundle is in force at every daemon, and its replicas serve.");
        return;
      }
      pause();
    }
    throw new IOException("the bundle was not in force after " + READY_SECONDS + " s");
  }

  private static boolean isReady(LocalFleet fleet) throws IOException {
    for (String daemon : fleet.daemons()) {
      JsonNode status = fleet.status(daemon);
      boolean serving = status.path("replicas").size() == 2;
      for (JsonNode replica : status.path("replicas")) {
        serving &= "serving".equals(replica.path("state").asText());
      }
      if (!serving || status.path("rollout").path("accepted").asLong() != 1) {
        return false;
      }
    }
    return true;
  }

  private static void pause() throws IOException {
    try {
      TimeUnit.MILLISECONDS.sleep(100);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  private static String chat(LocalFleet fleet, String daemon) throws IOException {
    String body =
        "{\"model\":\"registry-drafter\",\"stream\":true,\"max_tokens\":8,\"messages\":"
            + "[{\"role\":\"user\",\"content\":\"Summarise the cause list of Monday\"}]}";
    HttpRequest.Builder request =
        HttpRequest.newBuilder(fleet.url(daemon, "/v1/chat/completions"))
            .header("Authorization", "Bearer " + CALLER_KEY)
            .POST(HttpRequest.BodyPublishers.ofString(body));
    return expect(fleet.send(request), "data: [DONE]");
  }

  private static String book(LocalFleet fleet, String daemon) throws IOException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(fleet.url(daemon, "/services/listings/entries"))
            .header("Authorization", "Bearer " + CALLER_KEY)
            .header("Fawnvale-Unsafe", "true")
            .header("Fawnvale-Request-Key", "entry-2026-0001")
            .POST(HttpRequest.BodyPublishers.ofString("{\"matter\":\"2026-0001\"}"));
    return expect(fleet.send(request), "\"booking\":1");
  }

  private static String expect(HttpResponse<String> response, String part) throws IOException {
    if (response.statusCode() != 200 || !response.body().contains(part)) {
      throw new IOException("unexpected answer " + response.statusCode() + ": " + response.body());
    }
    return response.body().strip();
  }
}
