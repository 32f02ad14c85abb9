package org.fawnvale.standins.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.fawnvale.core.model.Node;

/** Runs a platform, engines, plain services and entry daemons as processes on loopback. */
public final class LocalFleet implements AutoCloseable {

  /** API key of the operator {@code ana}. */
  public static final String OPERATOR_KEY = "operator-key-of-ana";

  /** API key of the operator {@code ben}. */
  public static final String SECOND_OPERATOR_KEY = "operator-key-of-ben";

  private static final String LOOPBACK = "127.0.0.1";
  private static final String OPERATORS = "/operators";
  private static final String PEERS = "/peers";
  private static final String STANDINS = "org.fawnvale.standins.Main";
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final List<String> JVM_OPTIONS =
      List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xshare:auto");

  private final Path folder;
  private final Path jar;
  private final FleetPlan plan;
  private final Map<String, String> callerKeys;
  private final Map<String, Child> children = new TreeMap<>();
  private final Map<String, Integer> ports = new TreeMap<>();
  private final Map<String, Relay> relays = new ConcurrentHashMap<>();
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(5))
          .build();

  private LocalFleet(Path folder, Path jar, FleetPlan plan, Map<String, String> callerKeys) {
    this.folder = folder;
    this.jar = jar;
    this.plan = plan;
    this.callerKeys = callerKeys;
  }

  /**
   * Starts all processes of a fleet.
   *
   * @param folder the folder for settings and logs
   * @param jar the daemon's jar
   * @param plan the size and the settings of the fleet
   * @param callerKeys workspaces by caller key
   * @return the fleet, with all processes started
   * @throws IOException when a process does not start; the processes already started are stopped
   */
  public static LocalFleet start(
      Path folder, Path jar, FleetPlan plan, Map<String, String> callerKeys) throws IOException {
    LocalFleet fleet = new LocalFleet(folder, jar, plan, callerKeys);
    try {
      fleet.startAll();
      return fleet;
    } catch (IOException | RuntimeException e) {
      fleet.close();
      throw e;
    }
  }

  private void startAll() throws IOException {
    Files.createDirectories(folder);
    writeKeys();
    List<Callable<Void>> standIns = new ArrayList<>();
    for (String dataCentre : plan.dataCentres()) {
      standIns.add(() -> startEngine(dataCentre));
      standIns.add(() -> startService(dataCentre));
    }
    inParallel(standIns);
    startPlatform();
    List<Callable<Void>> daemons = new ArrayList<>();
    for (String dataCentre : plan.dataCentres()) {
      for (int i = 1; i <= plan.daemonsPerDataCentre(); i++) {
        String name = daemonName(dataCentre, i);
        daemons.add(
            () -> {
              startDaemon(name);
              return null;
            });
      }
    }
    inParallel(daemons);
  }

  private static void inParallel(Collection<Callable<Void>> tasks) throws IOException {
    ExecutorService executor = Executors.newFixedThreadPool(Math.max(1, tasks.size()));
    try {
      for (Future<Void> future : executor.invokeAll(tasks)) {
        future.get();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    } catch (ExecutionException e) {
      throw new IOException(e.getMessage(), e);
    } finally {
      executor.shutdown();
    }
  }

  /**
   * Returns the name of a daemon.
   *
   * @param dataCentre the daemon's data centre
   * @param number the daemon's number in its data centre, starting at 1
   * @return the name
   */
  public static String daemonName(String dataCentre, int number) {
    return dataCentre + "-entry-" + number;
  }

  private void writeKeys() throws IOException {
    MAPPER.writeValue(folder.resolve("callers.json").toFile(), callerKeys);
    MAPPER.writeValue(
        folder.resolve("operators.json").toFile(),
        Map.of(OPERATOR_KEY, "ana", SECOND_OPERATOR_KEY, "ben"));
    Files.writeString(folder.resolve("operator.key"), OPERATOR_KEY);
    Files.writeString(folder.resolve("peers.key"), "a key that all daemons of this fleet share");
  }

  private Void startEngine(String dataCentre) throws IOException {
    List<String> names = nodeNames(dataCentre).stream().map(each -> each[1]).toList();
    List<String> arguments = new ArrayList<>(List.of("engine", "--nodes", String.join(",", names)));
    arguments.addAll(plan.engineArguments());
    startStandIn("engine-" + dataCentre, arguments);
    return null;
  }

  private Void startService(String dataCentre) throws IOException {
    startStandIn("service-" + dataCentre, List.of("service", "--name", plan.service()));
    return null;
  }

  private void startPlatform() throws IOException {
    List<Node> nodes = new ArrayList<>();
    for (String dataCentre : plan.dataCentres()) {
      String engine = LOOPBACK + ":" + port("engine-" + dataCentre);
      for (String[] each : nodeNames(dataCentre)) {
        nodes.add(new Node(each[1], dataCentre, each[0], engine, "/nodes/" + each[1], null, false));
      }
      String service = LOOPBACK + ":" + port("service-" + dataCentre);
      nodes.add(
          new Node(
              dataCentre + "-" + plan.service(),
              dataCentre,
              "services",
              service,
              "",
              plan.service(),
              false));
    }
    Path file = folder.resolve("nodes.json");
    MAPPER.writeValue(file.toFile(), nodes);
    startStandIn("platform", List.of("platform", "--nodes", file.toString()));
    for (String dataCentre : plan.dataCentres()) {
      relays.put(dataCentre, Relay.start(port("platform")));
    }
  }

  /**
   * Blocks the connections from a data centre to the platform.
   *
   * @param dataCentre the data centre
   */
  public void cutFromPlatform(String dataCentre) {
    relays.get(dataCentre).cut();
  }

  /**
   * Restores the connections from a data centre to the platform.
   *
   * @param dataCentre the data centre
   */
  public void healToPlatform(String dataCentre) {
    relays.get(dataCentre).heal();
  }

  /** Returns pairs of a fabric domain's name and a node's name. */
  private List<String[]> nodeNames(String dataCentre) {
    List<String[]> names = new ArrayList<>();
    for (int domain = 1; domain <= plan.domainsPerDataCentre(); domain++) {
      for (int node = 1; node <= plan.nodesPerDomain(); node++) {
        String domainName = "fabric-" + domain;
        names.add(new String[] {domainName, dataCentre + "-" + domain + "-" + node});
      }
    }
    return names;
  }

  private void startStandIn(String name, List<String> arguments) throws IOException {
    List<String> command = new ArrayList<>(JVM_OPTIONS);
    command.add("-Xmx128m");
    command.add("-cp");
    command.add(System.getProperty("java.class.path"));
    command.add(STANDINS);
    command.addAll(arguments);
    Child child = Child.start(name, folder, command);
    synchronized (this) {
      children.put(name, child);
      ports.put(name, lastNumber(child.greeting()));
    }
  }

  private static int lastNumber(String text) {
    Matcher matcher = Pattern.compile("(\\d+)\\s*$").matcher(text);
    if (!matcher.find()) {
      throw new IllegalStateException("no port in: " + text);
    }
    return Integer.parseInt(matcher.group(1));
  }

  /**
   * Starts a daemon. A daemon that ran before gets the same ports.
   *
   * @param name the daemon's name
   * @throws IOException when the daemon does not start
   */
  public void startDaemon(String name) throws IOException {
    Path settings = folder.resolve(name + ".json");
    MAPPER.writeValue(settings.toFile(), settings(name));
    List<String> command = new ArrayList<>(JVM_OPTIONS);
    command.addAll(
        List.of(
            "-Xmx256m",
            "-jar",
            jar.toString(),
            "serve",
            "--settings",
            settings.toString(),
            "--until-input-ends"));
    Child child = Child.start(name, folder, command);
    Matcher matcher =
        Pattern.compile("callers=(\\d+) operators=(\\d+) peers=.*:(\\d+)")
            .matcher(child.greeting());
    if (!matcher.find()) {
      throw new IOException("unexpected greeting: " + child.greeting());
    }
    synchronized (this) {
      children.put(name, child);
      ports.put(name, Integer.parseInt(matcher.group(1)));
      ports.put(name + OPERATORS, Integer.parseInt(matcher.group(2)));
      ports.put(name + PEERS, Integer.parseInt(matcher.group(3)));
    }
  }

  private Map<String, Object> settings(String name) {
    String dataCentre = name.substring(0, name.indexOf("-entry-"));
    Map<String, Object> settings = new LinkedHashMap<>();
    settings.put("name", name);
    settings.put("dataCentre", dataCentre);
    settings.put("callers", listener(name));
    settings.put("operators", listener(name + OPERATORS));
    settings.put("peers", listener(name + PEERS));
    settings.put("platform", Map.of("address", LOOPBACK, "port", relays.get(dataCentre).port()));
    settings.put(
        "keyFiles",
        Map.of(
            "callers", folder.resolve("callers.json").toString(),
            "operators", folder.resolve("operators.json").toString(),
            "peers", folder.resolve("peers.key").toString()));
    settings.put("timing", plan.timing());
    settings.put("limits", plan.limits());
    return settings;
  }

  /** Returns a listener on the port that the daemon used before, or on any free port. */
  private synchronized Map<String, Object> listener(String name) {
    return Map.of("address", LOOPBACK, "port", ports.getOrDefault(name, 0));
  }

  /**
   * Returns a process of the fleet.
   *
   * @param name the name of the process
   * @return the process
   */
  public synchronized Child child(String name) {
    return children.get(name);
  }

  /**
   * Returns the port of a process; for a daemon, the port for callers.
   *
   * @param name the name of the process
   * @return the port
   */
  public synchronized int port(String name) {
    return ports.get(name);
  }

  /**
   * Returns a daemon's address for operators.
   *
   * @param daemon the daemon's name
   * @return the address as {@code host:port}
   */
  public synchronized String operators(String daemon) {
    return LOOPBACK + ":" + ports.get(daemon + OPERATORS);
  }

  /**
   * Returns a daemon's port for peers.
   *
   * @param daemon the daemon's name
   * @return the port
   */
  public synchronized String peerPort(String daemon) {
    return String.valueOf(ports.get(daemon + PEERS));
  }

  /**
   * Returns the URL of a path on a process.
   *
   * @param name the name of the process
   * @return the URL
   */
  public URI url(String name, String path) {
    return URI.create("http://" + LOOPBACK + ":" + port(name) + path);
  }

  /**
   * Injects a fault into a stand-in.
   *
   * @param standIn the stand-in's name
   * @param order the fault, as JSON
   * @throws IOException when the stand-in does not answer with status 200
   */
  public void control(String standIn, String order) throws IOException {
    HttpResponse<String> response =
        send(
            HttpRequest.newBuilder(url(standIn, "/control"))
                .POST(HttpRequest.BodyPublishers.ofString(order)));
    if (response.statusCode() != 200) {
      throw new IOException(standIn + " refused " + order + ": " + response.statusCode());
    }
  }

  /**
   * Reads a stand-in's counts.
   *
   * @param standIn the stand-in's name
   * @return the counts
   * @throws IOException when the stand-in does not answer
   */
  public JsonNode counts(String standIn) throws IOException {
    return MAPPER.readTree(send(HttpRequest.newBuilder(url(standIn, "/control")).GET()).body());
  }

  /**
   * Sends a request and waits up to 60 seconds for the complete response.
   *
   * @return the response
   * @throws IOException when no complete response arrives
   */
  public HttpResponse<String> send(HttpRequest.Builder request) throws IOException {
    try {
      return client.send(
          request.timeout(Duration.ofSeconds(60)).build(), HttpResponse.BodyHandlers.ofString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  /**
   * Reads a daemon's operator status.
   *
   * @param daemon the daemon's name
   * @return the status
   * @throws IOException when the daemon does not answer
   */
  public JsonNode status(String daemon) throws IOException {
    URI uri = URI.create("http://" + operators(daemon) + "/bundle/status");
    HttpRequest.Builder request =
        HttpRequest.newBuilder(uri).header("Authorization", "Bearer " + OPERATOR_KEY);
    return MAPPER.readTree(send(request.GET()).body());
  }

  /**
   * Returns the names of all daemons that were started.
   *
   * @return the names
   */
  public synchronized List<String> daemons() {
    return children.keySet().stream().filter(name -> name.contains("-entry-")).toList();
  }

  /** Stops all processes and relays. */
  @Override
  public void close() {
    List<Child> all;
    synchronized (this) {
      all = new ArrayList<>(children.values());
      children.clear();
    }
    List<Callable<Void>> tasks = new ArrayList<>();
    for (Child child : all) {
      tasks.add(
          () -> {
            child.close();
            return null;
          });
    }
    try {
      inParallel(tasks);
    } catch (IOException e) {
      all.forEach(Child::kill);
    }
    relays.values().forEach(Relay::close);
  }
}
