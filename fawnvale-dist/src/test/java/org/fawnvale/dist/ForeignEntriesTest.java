package org.fawnvale.dist;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.util.RawValue;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.fawnvale.standins.UsersConfiguration;
import org.fawnvale.standins.UsersPlatformStandIn;
import org.fawnvale.standins.fleet.EdgeDaemon;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Another program writes an entry among those of the workers that is none. The daemons, processes
 * of their own, run on, serve requests and follow the list.
 */
class ForeignEntriesTest {

  private static final Path TARGET = Path.of(System.getProperty("fawnvale.root"), "target");

  /** Part of the loopback addresses of this test's daemons. */
  private static final int NETWORK = 83;

  private static final List<String> DATA_CENTRES = List.of("a", "a", "b");
  private static final int DEPTH = 200_000;
  private static final int DIGITS = 1_000_000;
  private static final int LONG_TEXT = 2_000;
  private static final String STREAM = UsersConfiguration.STREAM_PATH + "x";

  private final List<EdgeDaemon> daemons = new ArrayList<>();
  private final AtomicInteger sent = new AtomicInteger();
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private UsersPlatformStandIn platform;
  private int plainWorkers;
  private int groupWorkers;
  @TempDir private Path folder;

  @BeforeEach
  void startPlatform() throws IOException {
    platform = UsersPlatformStandIn.start();
    addPlainWorker();
    addGroupWorkers();
  }

  @AfterEach
  void stop() {
    daemons.forEach(EdgeDaemon::close);
    platform.close();
  }

  private void startDaemons() throws IOException {
    for (int number = 0; number < DATA_CENTRES.size(); number++) {
      EdgeDaemon.Place place =
          new EdgeDaemon.Place(NETWORK, number, DATA_CENTRES.get(number), platform.storePort());
      daemons.add(EdgeDaemon.start(place, TARGET, folder, List.of()));
    }
  }

  private static Map<String, String> oddEntries() {
    Map<String, String> entries = new LinkedHashMap<>();
    entries.put("deep", "[".repeat(DEPTH) + "]".repeat(DEPTH));
    entries.put("deep-field", with("staged", "{\"a\":".repeat(DEPTH) + "1" + "}".repeat(DEPTH)));
    entries.put("large-number", with("slots", "1e999999999"));
    entries.put("small-number", with("slots", "-1e-999999999"));
    entries.put("long-number", with("slots", "9".repeat(DIGITS)));
    entries.put("long-fraction", with("slots", "0." + "9".repeat(DIGITS)));
    entries.put("long-start", with("born", "9".repeat(DIGITS)));
    for (String port : List.of("0", "70000", "-1", "99999999999999", "", "x")) {
      entries.put("port-" + port, with("address", "\"127.0.0.1:" + port + "\""));
    }
    for (String host : List.of("999.1.1.1", "...", "1.2.3.4.5", "", "nowhere.invalid", "[::1]")) {
      entries.put("host-" + host, with("address", "\"" + host + ":80\""));
    }
    for (String other : List.of("null", "7", "true", "[]", "{}", "\"worker\"", "[[1],{}]")) {
      entries.put("other-" + other.length() + other.hashCode(), other);
    }
    entries.put("not-utf8", with("zone", "\"" + UsersPlatformStandIn.INVALID_UTF8 + "\""));
    entries.put("lone-surrogates", with("domain", "\"" + "\\ud800".repeat(LONG_TEXT) + "\""));
    entries.put("controls", with("service", "\"a\\r\\nb\\u0000\""));
    entries.put("many-slots", with("slots", "2147483647"));
    entries.put("cold-for-long", with("cold_remaining_ms", "2147483647"));
    return entries;
  }

  /** Returns an entry with one unusual field, of a model worker at which nothing listens. */
  private static String with(String key, String value) {
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("service", "\"" + UsersConfiguration.SERVICE + "\"");
    fields.put("address", "\"127.0.0.1:1\"");
    fields.put("zone", "\"elsewhere\"");
    fields.put("domain", "\"elsewhere\"");
    fields.put("slots", "4");
    fields.put("state", "\"ready\"");
    fields.put(key, value);
    List<String> members = new ArrayList<>();
    fields.forEach((name, content) -> members.add("\"" + name + "\":" + content));
    return "{" + String.join(",", members) + "}";
  }

  private void write(String name, String entry) {
    platform.spoilEntry("odd-" + name, new RawValue(entry));
  }

  private static String plain(int number) {
    return "p-" + number;
  }

  private void addPlainWorker() throws IOException {
    platform.addPlainWorker(plain(++plainWorkers), "a");
  }

  /** Adds the two members of a group and returns one of them. */
  private String addGroupWorkers() throws IOException {
    groupWorkers++;
    platform.addWorker("i-" + groupWorkers + "-0", "a");
    platform.addWorker("i-" + groupWorkers + "-1", "a");
    return "i-" + groupWorkers + "-0";
  }

  private void awaitServing() throws InterruptedException {
    for (EdgeDaemon daemon : daemons) {
      EdgeFleet.await(() -> isServed(daemon, UsersConfiguration.SAFE_PATH + "x", nextId()));
      EdgeFleet.await(() -> isServed(daemon, STREAM, nextId()));
    }
  }

  /**
   * Replaces the only plain worker and adds a group. Each daemon must send its requests to the new
   * worker, which it can know from the list alone, and none to the removed one.
   */
  private void expectTheListIsFollowed() throws IOException, InterruptedException {
    String former = plain(plainWorkers);
    addPlainWorker();
    platform.drain(former);
    for (EdgeDaemon daemon : daemons) {
      EdgeFleet.await(() -> beginsAt(daemon, plain(plainWorkers)));
    }
    platform.remove(former);
    String added = addGroupWorkers();
    EdgeFleet.await(
        () -> platform.openGroups().stream().anyMatch(members -> members.contains(added)));
    for (EdgeDaemon daemon : daemons) {
      String id = nextId();
      assertThat(isServed(daemon, UsersConfiguration.SAFE_PATH + "x", id)).isTrue();
      assertThat(platform.beganAt(id)).containsExactly(plain(plainWorkers));
      assertThat(isServed(daemon, STREAM, nextId())).isTrue();
    }
  }

  private boolean beginsAt(EdgeDaemon daemon, String worker) {
    String id = nextId();
    return isServed(daemon, UsersConfiguration.SAFE_PATH + "x", id)
        && platform.beganAt(id).equals(List.of(worker));
  }

  private String nextId() {
    return "f" + sent.incrementAndGet();
  }

  /** Returns whether the response is a success, and complete when it is a stream. */
  private boolean isServed(EdgeDaemon daemon, String path, String id) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + daemon.frontend() + path))
            .header("Host", UsersConfiguration.HOST)
            .header(UsersConfiguration.ATTEMPT_HEADER, id)
            .header("X-Deadline-Ms", "20000")
            .header("Authorization", "Bearer " + UsersConfiguration.KEY)
            .POST(HttpRequest.BodyPublishers.ofString("prompt"));
    boolean streamed = STREAM.equals(path);
    if (streamed) {
      request.header(UsersConfiguration.MODEL_HEADER, UsersConfiguration.MODEL);
    }
    try {
      HttpResponse<String> answer =
          client.send(request.build(), HttpResponse.BodyHandlers.ofString());
      boolean whole = !streamed || answer.body().contains("id: " + UsersConfiguration.EVENTS);
      return answer.statusCode() == 200 && whole;
    } catch (IOException e) {
      return false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private List<Long> processes() {
    assertThat(daemons).allMatch(EdgeDaemon::isAlive);
    return daemons.stream().map(EdgeDaemon::pid).toList();
  }

  @Test
  void oddEntriesWrittenOneAfterTheOtherEndNothingAndTheListIsFollowed() throws Exception {
    startDaemons();
    awaitServing();
    List<Long> before = processes();
    for (Map.Entry<String, String> odd : oddEntries().entrySet()) {
      write(odd.getKey(), odd.getValue());
      awaitRead(odd.getKey());
    }
    expectTheListIsFollowed();
    assertThat(processes()).isEqualTo(before);
    assertThat(platform.violations()).isEmpty();
  }

  /** Replaces the plain worker after each entry, so that the entry has been read by all daemons. */
  private void awaitRead(String name) throws Exception {
    String former = plain(plainWorkers);
    addPlainWorker();
    platform.drain(former);
    for (EdgeDaemon daemon : daemons) {
      EdgeFleet.await(() -> beginsAt(daemon, plain(plainWorkers)));
      assertThat(isServed(daemon, STREAM, nextId())).as(name).isTrue();
      assertThat(daemon.isAlive()).as(name).isTrue();
    }
    platform.remove(former);
  }

  @Test
  void daemonsThatStartWithOddEntriesInTheListServeAndFollowIt() throws Exception {
    oddEntries().forEach(this::write);
    startDaemons();
    awaitServing();
    List<Long> before = processes();
    expectTheListIsFollowed();
    assertThat(processes()).isEqualTo(before);
    assertThat(platform.violations()).isEmpty();
    assertThat(logs())
        .contains("object=odd-deep ", "object=odd-long-number ", "object=odd-host-999.1.1.1 ");
  }

  /** Returns the lines of all daemons. */
  private String logs() throws IOException {
    StringBuilder lines = new StringBuilder();
    try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, "*.log")) {
      for (Path file : files) {
        lines.append(Files.readString(file));
      }
    }
    return lines.toString();
  }

  @Test
  void daemonThatStartsWithoutTheStoreGetsItsCopyFromPeersThatHaveReadOddEntries()
      throws Exception {
    startDaemons();
    awaitServing();
    oddEntries().forEach(this::write);
    expectTheListIsFollowed();
    platform.storeDown(true);
    EdgeDaemon restarted = daemons.get(daemons.size() - 1);
    restarted.kill();
    assertThat(restarted.startAgain()).isTrue();
    List<Long> before = processes();
    EdgeFleet.await(() -> beginsAt(restarted, plain(plainWorkers)));
    EdgeFleet.await(() -> isServed(restarted, STREAM, nextId()));
    platform.storeDown(false);
    expectTheListIsFollowed();
    assertThat(processes()).isEqualTo(before);
    assertThat(platform.violations()).isEmpty();
  }
}
