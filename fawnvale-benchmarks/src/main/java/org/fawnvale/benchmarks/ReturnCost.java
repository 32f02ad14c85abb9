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
 * How long daemons take to act by what the store shows after it has come back from a copy, and what
 * that costs the store: real daemons of five data centres before a stand-in whose list holds many
 * nodes. The store is away for a second, loses changes, and its operator writes a configuration at
 * the moment of its return. Run with {@code -Djdk.httpclient.allowRestrictedHeaders=host}.
 *
 * <p>9 daemons and 200 nodes, ten returns, the last daemon: not within 10 s, and 195,886 calls to
 * the store a return, before places in the store's history had an era; 771 ms (median) and 96 calls
 * after.
 */
public final class ReturnCost {

  private static final int DATA_CENTRES = 5;
  private static final int NETWORK = 1;
  private static final int PAGE = 50;
  private static final int START_SECONDS = 15;
  private static final int RETURNS = 10;
  private static final int LOST_CHANGES = 60;
  private static final int AWAY_MILLIS = 1_000;
  private static final int REST_MILLIS = 3_000;
  private static final int LOOK_MILLIS = 10;
  private static final long BOUND_NANOS = 10_000_000_000L;
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
   * @throws Exception when a fleet does not come up
   */
  public static void main(String[] arguments) throws Exception {
    PrintStream out = System.out; // NOPMD SystemPrintln: the table is this program's answer
    out.println(
        "DAEMONS NODES  LAST DAEMON ms: MEDIAN  WORST  STORE CALLS: A RETURN  MOST A SECOND");
    for (String size : List.of(arguments).subList(1, arguments.length)) {
      String[] pair = size.split("x");
      try (UsersPlatformStandIn platform = UsersPlatformStandIn.start()) {
        ReturnCost cost = new ReturnCost(platform);
        cost.play(Path.of(arguments[0]), Integer.parseInt(pair[0]), Integer.parseInt(pair[1]), out);
      }
    }
  }

  private static String dataCentre(int index) {
    return "dc" + index % DATA_CENTRES;
  }

  private void play(Path target, int count, int nodes, PrintStream out) throws Exception {
    try {
      start(target, count, nodes);
      List<Long> millis = new ArrayList<>();
      long calls = 0;
      long most = 0;
      for (int number = 0; number < RETURNS; number++) {
        millis.add(comeBack());
        TimeUnit.MILLISECONDS.sleep(REST_MILLIS);
        calls += platform.storeCalls();
        most = Math.max(most, platform.mostStoreCallsASecond());
      }
      millis.sort(null);
      out.printf(
          Locale.ROOT,
          "%7d %5d  %23d %6d  %21d %14d%n",
          count,
          nodes,
          millis.get(RETURNS / 2),
          millis.get(RETURNS - 1),
          calls / RETURNS,
          most);
    } finally {
      daemons.forEach(EdgeDaemon::close);
    }
  }

  private void start(Path target, int count, int nodes) throws Exception {
    Path folder = Files.createTempDirectory("fawnvale-return");
    platform.pagesOf(PAGE);
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

  /** One return; gives the time until the last daemon serves what came right after it. */
  private long comeBack() throws InterruptedException {
    long copy = platform.copyOfStore();
    for (int change = 0; change < LOST_CHANGES; change++) {
      platform.listGroup("g" + change, dataCentre(change), change + 1);
    }
    TimeUnit.MILLISECONDS.sleep(REST_MILLIS);
    platform.storeDown(true);
    TimeUnit.MILLISECONDS.sleep(AWAY_MILLIS);
    platform.storeGoesBackTo(copy);
    version++;
    platform.addRouteWith(version);
    platform.countStoreCallsAnew();
    platform.storeDown(false);
    return awaitAll();
  }

  /** Asks all daemons until each has served the newest route; gives the time in milliseconds. */
  private long awaitAll() throws InterruptedException {
    long begun = System.nanoTime();
    Set<Integer> waiting = new HashSet<>(IntStream.range(0, daemons.size()).boxed().toList());
    while (!waiting.isEmpty() && System.nanoTime() - begun < BOUND_NANOS) {
      waiting.removeIf(this::serves);
      TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
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
