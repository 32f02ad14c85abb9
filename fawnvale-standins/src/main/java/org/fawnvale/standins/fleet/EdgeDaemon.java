package org.fawnvale.standins.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/**
 * An entry daemon for the users' platform in a separate process, started from the built jar as in
 * production. Each daemon has its own loopback address and its own settings file.
 */
public final class EdgeDaemon implements AutoCloseable {

  /** The retries that all daemons may send for each request to a service. */
  public static final double RETRY_RATIO = 0.2;

  /**
   * The retries that all daemons may send to a service in addition, in one window. Few beside what
   * the ratio allows for the callers of a soak, so that retries without a budget go beyond both.
   */
  public static final int RETRY_SLACK = 136;

  /** The window of the retry budget, in seconds. */
  public static final int RETRY_WINDOW_SECONDS = 10;

  private static final int FRONTEND_PORT = 20_227;

  /** The port of the readiness endpoint at each daemon's address. */
  public static final int READY_PORT = 20_220;

  /** The port of the metrics at each daemon's address. */
  public static final int METRICS_PORT = 20_341;

  /** Less than the deadline of callers, 5 s, which would otherwise end a silent caller first. */
  private static final int STALLED_CALLER_MILLIS = 2_000;

  private static final int PEER_PORT = 20_340;
  private static final int SEEDS = 3;
  private static final int GRACE_SECONDS = 8;
  private static final int STOP_SECONDS = 20;

  private final Place place;
  private final Path target;
  private final Path folder;
  private final List<String> options;
  private final boolean admitsByUrgency;
  private Process process;
  private boolean closed;

  /**
   * Identity and location of a daemon.
   *
   * @param network third octet of the fleet's loopback addresses, 1 to 255; fleets with different
   *     networks use different addresses
   * @param number the daemon's number in the fleet, starting at 0
   * @param dataCentre the daemon's data centre
   * @param storePort the port of the store on 127.0.0.1
   */
  public record Place(int network, int number, String dataCentre, int storePort) {

    String address() {
      return address(number);
    }

    private String address(int daemonNumber) {
      return "127.0." + network + "." + (daemonNumber + 1);
    }

    String name() {
      return String.format(Locale.ROOT, "edge-%s-%03d", dataCentre, number);
    }
  }

  private EdgeDaemon(
      Place place, Path target, Path folder, List<String> options, boolean admitsByUrgency)
      throws IOException {
    this.place = place;
    this.target = target;
    this.folder = folder;
    this.options = options;
    this.admitsByUrgency = admitsByUrgency;
    this.process = launch(true);
  }

  /**
   * Starts a daemon.
   *
   * @param place identity and location of the daemon
   * @param target the folder that contains the jar and the class data archive
   * @param folder the folder for the settings file and the log
   * @param options additional JVM options
   * @return the daemon; it may not accept connections yet
   * @throws IOException when the process cannot be started
   */
  public static EdgeDaemon start(Place place, Path target, Path folder, List<String> options)
      throws IOException {
    return new EdgeDaemon(place, target, folder, options, false);
  }

  /**
   * Starts a daemon whose settings turn on {@code policy.admission}, {@code policy.urgency} and
   * {@code policy.pace}.
   *
   * @param place identity and location of the daemon
   * @param target the folder that contains the jar and the class data archive
   * @param folder the folder for the settings file and the log
   * @param options additional JVM options
   * @return the daemon; it may not accept connections yet
   * @throws IOException when the process cannot be started
   */
  public static EdgeDaemon startAdmittingByUrgency(
      Place place, Path target, Path folder, List<String> options) throws IOException {
    return new EdgeDaemon(place, target, folder, options, true);
  }

  private Process launch(boolean firstStart) throws IOException {
    Path settings = folder.resolve(place.name() + ".json");
    Files.writeString(settings, settings(firstStart));
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(
        List.of(
            "-XX:CICompilerCount=1",
            "-XX:-UseDynamicNumberOfCompilerThreads",
            "-XX:-UseContainerSupport",
            "-XX:-UsePerfData",
            "-Xmx96m",
            "-Xss512k",
            "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1",
            "-Xshare:auto"));
    command.add("-XX:SharedArchiveFile=" + target.resolve("fawnvale.jsa"));
    command.addAll(options);
    command.addAll(List.of("-jar", target.resolve("fawnvale.jar").toString(), "edge"));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("FAWNVALE_SETTINGS", settings.toString());
    builder.redirectErrorStream(true);
    File log = folder.resolve(place.name() + ".log").toFile();
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log));
    return builder.start();
  }

  private String settings(boolean firstStart) {
    ObjectNode root = new ObjectMapper().createObjectNode();
    String address = place.address();
    root.put("name", place.name());
    root.put("address", address);
    root.put("dataCentre", place.dataCentre());
    root.putObject("listen")
        .put("frontend", address + ":" + FRONTEND_PORT)
        .put("ready", address + ":" + READY_PORT)
        .put("metrics", address + ":" + METRICS_PORT);
    ObjectNode peers = root.putObject("peers");
    peers.put("port", PEER_PORT);
    for (int seed = 0; seed < SEEDS; seed++) {
      peers.withArray("seeds").add(place.address(seed) + ":1");
    }
    root.putObject("store").put("address", "127.0.0.1:" + place.storePort());
    root.putObject("bounds")
        .put("stallMillis", 4_000)
        .put("graceSeconds", GRACE_SECONDS)
        .put("retryRatio", RETRY_RATIO)
        .put("retrySlack", RETRY_SLACK)
        .put("retryWindowSeconds", RETRY_WINDOW_SECONDS)
        .put("loadWindowSeconds", 5)
        .put("leavingMillis", 4_000)
        .put("evacuationMillis", 5_000);
    root.putObject("callerBuffers").put("stalledMillis", STALLED_CALLER_MILLIS);
    if (admitsByUrgency) {
      root.putObject("policy").put("admission", true).put("urgency", true).put("pace", true);
    }
    root.put("firstStart", firstStart);
    return root.toPrettyString();
  }

  /**
   * Returns the daemon's number in the fleet.
   *
   * @return the number, starting at 0
   */
  public int number() {
    return place.number();
  }

  /**
   * Returns the address for callers.
   *
   * @return the address as {@code host:port}
   */
  public String frontend() {
    return place.address() + ":" + FRONTEND_PORT;
  }

  /**
   * Returns the process id.
   *
   * @return the id of the current process
   */
  public long pid() {
    return process.pid();
  }

  /** Returns whether the process runs. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Kills the process with SIGKILL and waits for its exit. */
  public void kill() {
    process.destroyForcibly();
    await(STOP_SECONDS);
  }

  /** Sends SIGTERM to the process. */
  public void terminate() {
    process.destroy();
  }

  /**
   * Waits until the process exits, and kills it when the grace period elapses first.
   *
   * @return true when the process exited within the grace period
   */
  public boolean awaitStop() {
    boolean stopped = await(GRACE_SECONDS);
    if (!stopped) {
      kill();
    }
    return stopped;
  }

  private boolean await(int seconds) {
    try {
      return process.waitFor(seconds, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  /**
   * Starts the daemon again if its process has exited. The new process has no state of the former
   * one.
   *
   * @return false when the process is still running or the daemon has been closed
   * @throws IOException when the process cannot be started
   */
  public synchronized boolean startAgain() throws IOException {
    boolean starts = !closed && !process.isAlive();
    if (starts) {
      process = launch(false);
    }
    return starts;
  }

  /** Kills the process; {@link #startAgain} has no effect afterwards. */
  @Override
  public synchronized void close() {
    closed = true;
    process.destroyForcibly();
    await(STOP_SECONDS);
  }

  /**
   * Suspends the process with SIGSTOP.
   *
   * @throws IOException when the signal cannot be sent
   */
  public void freeze() throws IOException {
    signal("STOP");
  }

  /**
   * Resumes the process with SIGCONT.
   *
   * @throws IOException when the signal cannot be sent
   */
  public void thaw() throws IOException {
    signal("CONT");
  }

  /**
   * Sends SIGHUP to the process, which rereads its settings.
   *
   * @throws IOException when the signal cannot be sent
   */
  public void hangUp() throws IOException {
    signal("HUP");
  }

  private void signal(String name) throws IOException {
    Process kill = new ProcessBuilder("kill", "-" + name, String.valueOf(pid())).start();
    try {
      kill.waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
