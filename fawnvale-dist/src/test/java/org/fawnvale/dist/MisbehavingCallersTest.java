package org.fawnvale.dist;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;
import org.fawnvale.standins.CallerCrowd;
import org.fawnvale.standins.UsersConfiguration;
import org.fawnvale.standins.UsersPlatformStandIn;
import org.fawnvale.standins.fleet.EdgeDaemon;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against callers that end a daemon, or keep others out, by what they make it hold. The
 * daemon is a process of its own with half of its usual heap, so that a small crowd suffices.
 */
class MisbehavingCallersTest {

  private static final Path TARGET = Path.of(System.getProperty("fawnvale.root"), "target");

  /** Part of the loopback address of this test's daemon. */
  private static final int NETWORK = 97;

  private static final String HEAP = "-Xmx48m";

  /** Each holds 60 to 300 kB where nothing bounds it; together as much as the heap or more. */
  private static final int CROWD = 800;

  /** More than the connections that a daemon has places for. */
  private static final int CROWD_FOR_ALL_PLACES = 1_600;

  /** The memory of an entry machine, 430 MB, less the heap that this daemon goes without. */
  private static final long MEMORY_KILOBYTES = (430 - 48) * 1_000L;

  /** The descriptors of an entry machine, 4,100, less those that it keeps for files. */
  private static final int DESCRIPTORS = 3_900;

  /** Requests sent beside the crowd, so that the daemon has read what the crowd has sent. */
  private static final int REQUESTS_BESIDE_CROWD = 20;

  private static final int TIMEOUT_MILLIS = 4_000;

  private final AtomicInteger sent = new AtomicInteger();
  private UsersPlatformStandIn platform;
  private EdgeDaemon daemon;
  @TempDir private Path folder;

  @BeforeEach
  void start() throws IOException, InterruptedException {
    platform = UsersPlatformStandIn.start();
    for (int number = 0; number < 4; number++) {
      platform.addPlainWorker("p-" + number, "a");
      platform.addWorker("i-" + number, "a");
    }
    EdgeDaemon.Place place = new EdgeDaemon.Place(NETWORK, 0, "a", platform.storePort());
    daemon = EdgeDaemon.start(place, TARGET, folder, List.of(HEAP));
    EdgeFleet.await(() -> isServed(UsersConfiguration.SAFE_PATH));
    EdgeFleet.await(() -> isServed(UsersConfiguration.STREAM_PATH));
  }

  @AfterEach
  void stop() {
    daemon.close();
    platform.close();
  }

  /** Asks over a new connection, as a caller does whom the crowd may keep out. */
  private boolean isServed(String path) {
    String attempt = "m" + sent.incrementAndGet();
    Map<String, String> headers =
        UsersConfiguration.STREAM_PATH.equals(path)
            ? UsersConfiguration.headersOfACaller(attempt)
            : UsersConfiguration.headersOfAPlainCaller(attempt);
    StringBuilder head = new StringBuilder("POST " + path + "x HTTP/1.1\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    head.append("Connection: close\r\nContent-Length: 6\r\n\r\nprompt");
    String[] address = daemon.frontend().split(":");
    try (Socket socket = new Socket()) {
      socket.setSoTimeout(TIMEOUT_MILLIS);
      socket.connect(
          new InetSocketAddress(address[0], Integer.parseInt(address[1])), TIMEOUT_MILLIS);
      socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.US_ASCII));
      String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      return answer.startsWith("HTTP/1.1 200");
    } catch (IOException e) {
      return false;
    }
  }

  private void assertWithinBounds() throws IOException {
    assertThat(daemon.isAlive()).as("the process lives").isTrue();
    assertThat(peakMemoryKilobytes()).as("memory at its peak").isLessThan(MEMORY_KILOBYTES);
    try (Stream<Path> open = Files.list(processFolder().resolve("fd"))) {
      assertThat(open.count()).as("open descriptors").isLessThan(DESCRIPTORS);
    }
  }

  private Path processFolder() {
    return Path.of("/proc", String.valueOf(daemon.pid()));
  }

  private long peakMemoryKilobytes() throws IOException {
    return Files.readAllLines(processFolder().resolve("status")).stream()
        .filter(line -> line.startsWith("VmHWM:"))
        .mapToLong(line -> Long.parseLong(line.replaceAll("[^0-9]", "")))
        .findFirst()
        .orElseThrow();
  }

  /** Sends a crowd, expects that others are served beside it and that the daemon outlives it. */
  private void expectDaemonOutlives(String address, CallerCrowd.Kind kind, int size)
      throws IOException, InterruptedException {
    try (CallerCrowd crowd = CallerCrowd.send(address, kind, size)) {
      EdgeFleet.await(() -> crowd.connections() >= size || !daemon.isAlive());
      for (int request = 0; request < REQUESTS_BESIDE_CROWD && daemon.isAlive(); request++) {
        isServed(UsersConfiguration.SAFE_PATH);
      }
      EdgeFleet.await(() -> !daemon.isAlive() || isServed(UsersConfiguration.SAFE_PATH));
      assertWithinBounds();
    }
    EdgeFleet.await(() -> !daemon.isAlive() || isServed(UsersConfiguration.SAFE_PATH));
    EdgeFleet.await(() -> !daemon.isAlive() || isServed(UsersConfiguration.STREAM_PATH));
    assertWithinBounds();
  }

  @ParameterizedTest
  @EnumSource(
      mode = EnumSource.Mode.EXCLUDE,
      names = {"HEAD_BYTE_BY_BYTE", "BODY_BYTE_BY_BYTE", "IDLE"})
  void crowdThatHoldsMemoryEndsNoDaemon(CallerCrowd.Kind kind) throws Exception {
    expectDaemonOutlives(daemon.frontend(), kind, CROWD);
  }

  @ParameterizedTest
  @EnumSource(
      mode = EnumSource.Mode.INCLUDE,
      names = {"HEAD_BYTE_BY_BYTE", "BODY_BYTE_BY_BYTE", "IDLE"})
  void crowdThatHoldsAllPlacesKeepsNobodyOut(CallerCrowd.Kind kind) throws Exception {
    expectDaemonOutlives(daemon.frontend(), kind, CROWD_FOR_ALL_PLACES);
  }

  /** Ports for the balancer, for metrics, for queries of other daemons and for their requests. */
  @ParameterizedTest
  @ValueSource(ints = {EdgeDaemon.READY_PORT, EdgeDaemon.METRICS_PORT, 20_342, 20_343})
  void crowdAtAnotherPortEndsNoDaemon(int port) throws Exception {
    String address = daemon.frontend().split(":")[0] + ":" + port;
    expectDaemonOutlives(address, CallerCrowd.Kind.MANY_LINES_WITHOUT_END, CROWD);
  }
}
