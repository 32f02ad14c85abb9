package org.fawnvale.benchmarks;

import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.fawnvale.standins.UsersConfiguration;
import org.fawnvale.standins.UsersPlatformStandIn;
import org.fawnvale.standins.fleet.EdgeDaemon;

/**
 * Measures how long daemons take to apply the store's state after the store has been restored from
 * an older copy, and how many calls the store receives meanwhile. Real daemons of five data centres
 * use a stand-in of the store that lists many nodes. The store is down for a second, loses changes,
 * and contains a new configuration when it is up again. Run with {@code
 * -Djdk.httpclient.allowRestrictedHeaders=host}.
 */
public final class ReturnCost {

  private static final int DATA_CENTRES = 5;
  private static final int NETWORK = 1;
  private static final int PAGE_SIZE = 50;
  private static final int START_SECONDS = 15;
  private static final int RESTORES = 10;
  private static final int LOST_CHANGES = 60;
  private static final int OUTAGE_MILLIS = 1_000;
  private static final int SETTLE_MILLIS = 3_000;
  private static final int POLL_MILLIS = 10;
  private static final long TIMEOUT_NANOS = 10_000_000_000L;
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final int OK = 200;

  private final UsersPlatformStandIn platform;
  private final List<EdgeDaemon> daemons = new ArrayList<>();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private long version = 1;

  private ReturnCost(UsersPlatformStandIn platform) {
    this.platform = platform;
  }

  /**
   * Prints a line for each size.
   *
   * @param arguments the folder that holds the jar and the class archive, then pairs of daemons and
   *     nodes, such as 24x1000
   * @throws Exception when a fleet does not start
   */
  public static void main(String[] arguments) throws Exception {
    PrintStream out = System.out; // NOPMD SystemPrintln: the table is this program's output
    out.println(
        "DAEMONS NODES  LAST DAEMON ms: MEDIAN  WORST  STORE CALLS: A RETURN  MOST A SECOND");
    for (String size : List.of(arguments).subList(1, arguments.length)) {
      String[] pair = size.split("x");
      try (UsersPlatformStandIn platform = UsersPlatformStandIn.start()) {
        ReturnCost cost = new ReturnCost(platform);
        cost.measure(
            Path.of(arguments[0]), Integer.parseInt(pair[0]), Integer.parseInt(pair[1]), out);
      }
    }
  }

  private static String dataCentre(int index) {
    return "dc" + index % DATA_CENTRES;
  }

  private void measure(Path target, int count, int nodes, PrintStream out) throws Exception {
    try {
      start(target, count, nodes);
      List<Long> millis = new ArrayList<>();
      long calls = 0;
      long most = 0;
      for (int number = 0; number < RESTORES; number++) {
        millis.add(restoreStore());
        TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
        calls += platform.storeCalls();
        most = Math.max(most, platform.mostStoreCallsASecond());
      }
      millis.sort(null);
      out.printf(
          Locale.ROOT,
          "%7d %5d  %23d %6d  %21d %14d%n",
          count,
          nodes,
          millis.get(RESTORES / 2),
          millis.get(RESTORES - 1),
          calls / RESTORES,
          most);
    } finally {
      daemons.forEach(EdgeDaemon::close);
    }
  }

  private void start(Path target, int count, int nodes) throws Exception {
    Path folder = Files.createTempDirectory("fawnvale-return");
    platform.pagesOf(PAGE_SIZE);
    platform.addListedModel();
    for (int group = 0; group < nodes / 2; group++) {
      platform.listGroup("g" + group, dataCentre(group), 0);
    }
    for (int number = 0; number < DATA_CENTRES; number++) {
      platform.addPlainWorker("p" + number, dataCentre(number));
    }
    for (int number = 0; number < count; number++) {
      EdgeDaemon.Place place =
          new EdgeDaemon.Place(NETWORK, number, dataCentre(number), platform.storePort());
      daemons.add(EdgeDaemon.start(place, target, folder, List.of()));
    }
    TimeUnit.SECONDS.sleep(START_SECONDS);
    version++;
    platform.addRouteWith(version);
    awaitAll();
  }

  /** Restores the store; returns the milliseconds until every daemon serves the new route. */
  private long restoreStore() throws InterruptedException {
    long copy = platform.copyOfStore();
    for (int change = 0; change < LOST_CHANGES; change++) {
      platform.listGroup("g" + change, dataCentre(change), change + 1);
    }
    TimeUnit.MILLISECONDS.sleep(SETTLE_MILLIS);
    platform.storeDown(true);
    TimeUnit.MILLISECONDS.sleep(OUTAGE_MILLIS);
    platform.storeGoesBackTo(copy);
    version++;
    platform.addRouteWith(version);
    platform.countStoreCallsAnew();
    platform.storeDown(false);
    return awaitAll();
  }

  /** Polls until all daemons serve the newest route or the timeout ends; returns milliseconds. */
  private long awaitAll() throws InterruptedException {
    long begun = System.nanoTime();
    Set<Integer> waiting = new HashSet<>(IntStream.range(0, daemons.size()).boxed().toList());
    while (!waiting.isEmpty() && System.nanoTime() - begun < TIMEOUT_NANOS) {
      waiting.removeIf(this::serves);
      TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
    }
    return (System.nanoTime() - begun) / NANOS_PER_MILLI;
  }

  private boolean serves(int daemon) {
    String address = "http://" + daemons.get(daemon).frontend();
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(address + UsersConfiguration.pathSince(version) + "x"))
            .timeout(Duration.ofSeconds(1))
            .POST(HttpRequest.BodyPublishers.ofString("prompt"));
    String attempt = "r" + version + "-" + daemon;
    UsersConfiguration.headersOfAPlainCaller(attempt).forEach(request::header);
    try {
      return client.send(request.build(), HttpResponse.BodyHandlers.discarding()).statusCode()
          == OK;
    } catch (java.io.IOException e) {
      return false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
