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
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.fawnvale.standins.UsersConfiguration;
import org.fawnvale.standins.UsersPlatformStandIn;
import org.fawnvale.standins.fleet.EdgeDaemon;

/**
 * Compares the CPU time of daemons with {@code policy.admission} and {@code policy.pace} on and
 * off, of one or more builds. Fleets of 83 daemons run side by side, so that other load on the
 * machine slows all of them down. A few daemons of each are real and answer streams; the others are
 * {@link SimulatedPeers}. Run with {@code -Djdk.httpclient.allowRestrictedHeaders=host}.
 */
public final class PolicyCost {

  private static final int DAEMONS = 83;
  private static final int REAL_DAEMONS = 6;
  private static final int DATA_CENTRES = 5;
  private static final int PEER_PORT = 20_340;
  private static final int WORKERS = 60;
  private static final int REQUESTS_PER_SECOND = 4;
  private static final int START_SECONDS = 20;
  private static final int MEASURED_SECONDS = 30;
  private static final int FIRST_REQUEST_SECONDS = 8;
  private static final HttpClient CLIENT =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  private final Path target;
  private final int network;
  private final boolean switchesOn;
  private final UsersPlatformStandIn platform = UsersPlatformStandIn.start();
  private final List<EdgeDaemon> daemons = new ArrayList<>();
  private final SimulatedPeers peers;
  private final AtomicInteger requests = new AtomicInteger();

  private PolicyCost(Path target, int network, boolean switchesOn) throws IOException {
    this.target = target;
    this.network = network;
    this.switchesOn = switchesOn;
    List<String> workers = new ArrayList<>();
    platform.configureRanked(2);
    for (int worker = 0; worker < WORKERS; worker++) {
      platform.addWorker("i-" + worker, dataCentre(worker / 2));
      workers.add("i-" + worker);
    }
    this.peers = new SimulatedPeers(List.of(UsersConfiguration.MODEL), workers, switchesOn);
  }

  /**
   * Prints a line for each fleet.
   *
   * @param arguments for each build the folder that holds the jar and the class archive, then
   *     further options of the daemons' JVM
   * @throws Exception when a fleet does not start
   */
  public static void main(String[] arguments) throws Exception {
    PrintStream out = System.out; // NOPMD SystemPrintln: the table is this program's output
    List<String> all = List.of(arguments);
    List<String> options = all.stream().filter(one -> one.startsWith("-")).toList();
    List<PolicyCost> fleets = new ArrayList<>();
    for (String target : all) {
      if (!target.startsWith("-")) {
        fleets.add(new PolicyCost(Path.of(target), fleets.size() + 1, false));
        fleets.add(new PolicyCost(Path.of(target), fleets.size() + 1, true));
      }
    }
    ScheduledExecutorService timer = Executors.newScheduledThreadPool(fleets.size());
    try {
      for (PolicyCost fleet : fleets) {
        fleet.start(options);
        timer.scheduleAtFixedRate(
            fleet::sendRequest,
            FIRST_REQUEST_SECONDS * 1_000_000L,
            1_000_000L / (REAL_DAEMONS * REQUESTS_PER_SECOND),
            TimeUnit.MICROSECONDS);
      }
      TimeUnit.SECONDS.sleep(START_SECONDS);
      List<Double> started = new ArrayList<>();
      for (PolicyCost fleet : fleets) {
        started.add(fleet.cpuSeconds());
      }
      TimeUnit.SECONDS.sleep(MEASURED_SECONDS);
      out.println("SWITCHES  START CPU s  THEN %  BUILD  (means of " + REAL_DAEMONS + " daemons)");
      for (int index = 0; index < fleets.size(); index++) {
        double control = fleets.get(index).cpuSeconds() - started.get(index);
        out.printf(
            Locale.ROOT,
            "%8s  %11.2f  %6.2f  %s%n",
            fleets.get(index).switchesOn ? "on" : "off",
            started.get(index),
            100 * control / MEASURED_SECONDS,
            fleets.get(index).target);
      }
    } finally {
      timer.shutdownNow();
      fleets.forEach(PolicyCost::stop);
    }
  }

  private static String dataCentre(int index) {
    return "dc" + index % DATA_CENTRES;
  }

  private void start(List<String> options) throws IOException {
    Path folder = Files.createTempDirectory("fawnvale-policy");
    for (int number = 0; number < DAEMONS; number++) {
      if (isReal(number)) {
        EdgeDaemon.Place place =
            new EdgeDaemon.Place(network, number, dataCentre(number), platform.storePort());
        daemons.add(
            switchesOn
                ? EdgeDaemon.startAdmittingByUrgency(place, target, folder, options)
                : EdgeDaemon.start(place, target, folder, options));
      } else {
        peers.start(
            String.format(Locale.ROOT, "edge-%s-%03d", dataCentre(number), number),
            dataCentre(number),
            address(number),
            address(0),
            PEER_PORT);
      }
    }
  }

  /** The first one leads and is a relay; the last ones are neither, as most daemons. */
  private static boolean isReal(int number) {
    return number == 0 || number > DAEMONS - REAL_DAEMONS;
  }

  private String address(int number) {
    return "127.0." + network + "." + (number + 1);
  }

  private void sendRequest() {
    int number = requests.incrementAndGet();
    String path = number % 2 == 0 ? UsersConfiguration.STREAM_PATH : UsersConfiguration.BATCH_PATH;
    String daemon = daemons.get(number % daemons.size()).frontend();
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + daemon + path))
            .POST(HttpRequest.BodyPublishers.ofString("prompt"));
    Map<String, String> headers = UsersConfiguration.headersOfACaller("r" + number);
    headers.forEach(request::header);
    CLIENT.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  private double cpuSeconds() throws IOException {
    double seconds = 0;
    for (EdgeDaemon daemon : daemons) {
      seconds += ProcessUse.of(daemon.pid()).cpuSeconds();
    }
    return seconds / daemons.size();
  }

  /** Ends the daemons by SIGTERM first, after which they write their lists of loaded classes. */
  private void stop() {
    daemons.forEach(EdgeDaemon::terminate);
    daemons.forEach(EdgeDaemon::awaitStop);
    daemons.forEach(EdgeDaemon::close);
    peers.close();
    platform.close();
  }
}
