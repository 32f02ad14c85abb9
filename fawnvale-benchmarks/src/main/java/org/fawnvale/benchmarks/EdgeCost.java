package org.fawnvale.benchmarks;

import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.fawnvale.standins.UsersConfiguration;
import org.fawnvale.standins.UsersPlatformStandIn;
import org.fawnvale.standins.fleet.EdgeDaemon;

/**
 * Measures the CPU time that entry daemons use for startup and for control traffic in a large
 * fleet. Real daemons of five data centres use a stand-in of the users' platform that lists many
 * nodes and changes continuously. Each daemon receives only two requests per second, which keeps
 * the cost of requests low. Run with {@code -Djdk.httpclient.allowRestrictedHeaders=host}.
 */
public final class EdgeCost {

  private static final int DATA_CENTRES = 5;
  private static final int NETWORK = 1;
  private static final int PAGE_SIZE = 50;
  private static final int START_SECONDS = 20;
  private static final int MEASURED_SECONDS = 30;

  private static final int WORKERS = 20;
  private static final int REQUESTS_PER_SECOND = 2;
  private static final HttpClient CLIENT =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  /** Changes of list entries per second; each update of a group changes two entries. */
  private static final int CHANGES_PER_SECOND = 8;

  private EdgeCost() {}

  /**
   * Prints a line for each size.
   *
   * @param arguments the folder that holds the jar and the class archive, then pairs of daemons and
   *     nodes, such as 40x1000; then, after {@code --}, further options of the daemons' JVM
   * @throws Exception when a fleet does not start
   */
  public static void main(String[] arguments) throws Exception {
    PrintStream out = System.out; // NOPMD SystemPrintln: the table is this program's output
    out.println("DAEMONS NODES  START CPU s  CONTROL % of a core: MEAN MEDIAN MOST  RESIDENT MB");
    List<String> all = List.of(arguments);
    int end = all.contains("--") ? all.indexOf("--") : all.size();
    List<String> options = all.subList(Math.min(end + 1, all.size()), all.size());
    for (String size : all.subList(1, end)) {
      String[] pair = size.split("x");
      measure(
          Path.of(arguments[0]),
          Integer.parseInt(pair[0]),
          Integer.parseInt(pair[1]),
          options,
          out);
    }
  }

  private static void measure(
      Path target, int daemons, int nodes, List<String> options, PrintStream out) throws Exception {
    Path folder = Files.createTempDirectory("fawnvale-edge");
    ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    List<EdgeDaemon> processes = new ArrayList<>();
    try (UsersPlatformStandIn platform = UsersPlatformStandIn.start()) {
      platform.pagesOf(PAGE_SIZE);
      platform.addListedModel();
      platform.configure(2, "/chat/");
      for (int worker = 0; worker < WORKERS; worker++) {
        platform.addWorker("i-" + worker, dataCentre(worker / 2));
      }
      for (int group = 0; group < nodes / 2; group++) {
        platform.listGroup("g" + group, dataCentre(group), 0);
      }
      for (int daemon = 0; daemon < daemons; daemon++) {
        EdgeDaemon.Place place =
            new EdgeDaemon.Place(NETWORK, daemon, dataCentre(daemon), platform.storePort());
        processes.add(EdgeDaemon.start(place, target, folder, options));
      }
      AtomicInteger change = new AtomicInteger();
      timer.scheduleAtFixedRate(
          () -> {
            int next = change.incrementAndGet();
            int group = next * 7 % Math.max(1, nodes / 2);
            platform.listGroup("g" + group, dataCentre(group), next);
          },
          START_SECONDS,
          1_000_000L * 2 / CHANGES_PER_SECOND,
          TimeUnit.MICROSECONDS);
      timer.scheduleAtFixedRate(
          () -> sendRequest(change.incrementAndGet(), processes),
          START_SECONDS / 2,
          1_000_000L / (daemons * REQUESTS_PER_SECOND),
          TimeUnit.MICROSECONDS);
      TimeUnit.SECONDS.sleep(START_SECONDS);
      List<ProcessUse> before = use(processes);
      TimeUnit.SECONDS.sleep(MEASURED_SECONDS);
      report(daemons, nodes, before, use(processes), out);
    } finally {
      timer.shutdownNow();
      processes.forEach(EdgeDaemon::close);
    }
  }

  private static void sendRequest(int number, List<EdgeDaemon> daemons) {
    String daemon = daemons.get(number % daemons.size()).frontend();
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + daemon + "/chat/x"))
            .POST(HttpRequest.BodyPublishers.ofString("prompt"));
    UsersConfiguration.headersOfACaller("r" + number).forEach(request::header);
    CLIENT.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  private static String dataCentre(int index) {
    return "dc" + index % DATA_CENTRES;
  }

  private static List<ProcessUse> use(List<EdgeDaemon> processes) throws IOException {
    List<ProcessUse> use = new ArrayList<>();
    for (EdgeDaemon daemon : processes) {
      use.add(ProcessUse.of(daemon.pid()));
    }
    return use;
  }

  private static void report(
      int daemons, int nodes, List<ProcessUse> before, List<ProcessUse> after, PrintStream out) {
    List<Double> control = new ArrayList<>();
    double start = 0;
    double resident = 0;
    for (int daemon = 0; daemon < daemons; daemon++) {
      double seconds = after.get(daemon).cpuSeconds() - before.get(daemon).cpuSeconds();
      control.add(100 * seconds / MEASURED_SECONDS);
      start += before.get(daemon).cpuSeconds();
      resident += after.get(daemon).residentMegabytes();
    }
    control.sort(null);
    out.printf(
        Locale.ROOT,
        "%7d %5d  %11.2f  %26.2f %6.2f %4.2f  %11.0f%n",
        daemons,
        nodes,
        start / daemons,
        control.stream().mapToDouble(Double::doubleValue).average().orElse(0),
        control.get(daemons / 2),
        control.get(daemons - 1),
        resident / daemons);
  }
}
