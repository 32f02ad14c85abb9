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
 * An entry daemon for the users' platform as a process of its own, started from the built jar as
 * machines do. Its settings are those of one machine; each machine has a loopback address.
 */
public final class EdgeDaemon implements AutoCloseable {

  private static final int FRONTEND_PORT = 20_227;
  private static final int READY_PORT = 20_220;
  private static final int METRICS_PORT = 20_341;
  private static final int PEER_PORT = 20_340;
  private static final int SEEDS = 3;
  private static final int GRACE_SECONDS = 8;
  private static final int STOP_SECONDS = 20;

  private final Place place;
  private final Path target;
  private final Path folder;
  private final List<String> options;
  private Process process;
  private boolean over;

  /**
   * Where a daemon stands.
   *
   * @param network the fleet's network on loopback, 1 to 255: fleets of two networks don't meet
   * @param number its number in the fleet, from 0 on
   * @param dataCentre its data centre
   * @param storePort where the store listens on the loopback address
   */
  public record Place(int network, int number, String dataCentre, int storePort) {

    String address() {
      return address(number);
    }

    private String address(int ofNumber) {
      return "127.0." + network + "." + (ofNumber + 1);
    }

    String name() {
      return String.format(Locale.ROOT, "edge-%s-%03d", dataCentre, number);
    }
  }

  private EdgeDaemon(Place place, Path target, Path folder, List<String> options)
      throws IOException {
    this.place = place;
    this.target = target;
    this.folder = folder;
    this.options = options;
    this.process = launch(true);
  }

  /**
   * Starts a daemon.
   *
   * @param place where it stands
   * @param target the folder that holds the jar and the class archive
   * @param folder where its settings and its log go
   * @param options further options of its JVM
   * @return the daemon, which may not listen yet
   * @throws IOException when no process can be started
   */
  public static EdgeDaemon start(Place place, Path target, Path folder, List<String> options)
      throws IOException {
    return new EdgeDaemon(place, target, folder, options);
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
        .put("retryRatio", 0.2)
        .put("retrySlack", 296)
        .put("retryWindowSeconds", 10)
        .put("loadWindowSeconds", 5)
        .put("leavingMillis", 4_000);
    root.put("firstStart", firstStart);
    return root.toPrettyString();
  }

  /**
   * Its number.
   *
   * @return the number, from 0 on
   */
  public int number() {
    return place.number();
  }

  /**
   * Where callers reach it.
   *
   * @return address and port
   */
  public String frontend() {
    return place.address() + ":" + FRONTEND_PORT;
  }

  /**
   * Its process.
   *
   * @return the id of the process
   */
  public long pid() {
    return process.pid();
  }

  /** Ends it without notice. */
  public void kill() {
    process.destroyForcibly();
    await(STOP_SECONDS);
  }

  /** Asks it to stop. */
  public void terminate() {
    process.destroy();
  }

  /**
   * Waits for its end; one that outlasts its grace is ended.
   *
   * @return true when it ended by itself in time
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
   * Starts it anew if it has ended: it knows nothing of before.
   *
   * @return false when it runs still, or has been closed
   * @throws IOException when no process can be started
   */
  public synchronized boolean startAgain() throws IOException {
    boolean starts = !over && !process.isAlive();
    if (starts) {
      process = launch(false);
    }
    return starts;
  }

  /** Ends it for good: nobody can start it again. */
  @Override
  public synchronized void close() {
    over = true;
    process.destroyForcibly();
    await(STOP_SECONDS);
  }

  /**
   * Stops its process where it is.
   *
   * @throws IOException when it can't be signalled
   */
  public void freeze() throws IOException {
    signal("STOP");
  }

  /**
   * Lets it go on.
   *
   * @throws IOException when it can't be signalled
   */
  public void thaw() throws IOException {
    signal("CONT");
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
