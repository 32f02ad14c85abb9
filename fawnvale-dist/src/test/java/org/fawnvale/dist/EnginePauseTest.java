package org.fawnvale.dist;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against sound engines that stand still together being taken for dead ones. */
class EnginePauseTest {

  private static final long PAUSE_MILLIS = 1_300;
  private static final long GAP_MILLIS = 300;
  private static final int STREAMS = 8;
  private static final int ORDERS = 8;

  /** Long enough for a stream to last longer than two pauses and a rollout. */
  private static final int TOKENS = 250;

  private static final String TOKEN_MILLIS = "20";
  private static final List<String> DATA_CENTRES = List.of(Fleet.NORTH, Fleet.SOUTH);

  private final Queue<String> broken = new ConcurrentLinkedQueue<>();
  private final List<Thread> callers = new ArrayList<>();
  private Fleet fleet;

  @AfterEach
  void stop() {
    fleet.close();
  }

  private void startFleet() throws IOException {
    fleet = Fleet.start("--token-millis", TOKEN_MILLIS);
  }

  /** Opens streams at all daemons and waits until the engines run them. */
  private void startStreams() throws IOException {
    int before = startedEverywhere();
    List<String> daemons = fleet.local().daemons();
    for (int i = 0; i < STREAMS; i++) {
      String daemon = daemons.get(i % daemons.size());
      String text = "stream " + i;
      startCaller(() -> stream(daemon, text));
    }
    fleet.await("the streams run", () -> startedEverywhere() == before + STREAMS);
  }

  private void startCaller(Runnable call) {
    Thread caller = new Thread(call);
    caller.start();
    callers.add(caller);
  }

  private int startedEverywhere() throws IOException {
    return fleet.started(Fleet.NORTH) + fleet.started(Fleet.SOUTH);
  }

  private void stream(String daemon, String text) {
    try {
      HttpResponse<String> answer = fleet.chat(daemon, text, TOKENS, true);
      if (answer.statusCode() != 200 || !answer.body().endsWith("data: [DONE]\n\n")) {
        broken.add(daemon + ": " + answer.statusCode() + " " + ending(answer.body()));
      }
    } catch (IOException e) {
      broken.add(daemon + ": " + e);
    }
  }

  private static String ending(String body) {
    return body.substring(Math.max(0, body.length() - 200));
  }

  private void awaitCallers() throws IOException {
    for (Thread caller : callers) {
      try {
        caller.join();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IOException(e);
      }
    }
  }

  private void everyStreamIsWholeAndRanOnce() throws IOException {
    assertThat(broken).isEmpty();
    for (String dataCentre : DATA_CENTRES) {
      for (JsonNode node : fleet.local().counts("engine-" + dataCentre)) {
        for (Map.Entry<String, JsonNode> run : node.path("runs").properties()) {
          assertThat(run.getValue().asInt()).as(run.getKey()).isEqualTo(1);
        }
      }
    }
  }

  private JsonNode replicas(String dataCentre) throws IOException {
    return fleet.local().status(fleet.daemon(dataCentre, 1)).path("replicas");
  }

  /** Returns the members and the generation of each replica. */
  private Map<String, String> formation() throws IOException {
    Map<String, String> formation = new TreeMap<>();
    for (String dataCentre : DATA_CENTRES) {
      for (JsonNode replica : replicas(dataCentre)) {
        formation.put(
            dataCentre + "/" + replica.path("id").asText(),
            replica.path("generation") + " " + replica.path("members"));
      }
    }
    assertThat(formation).hasSize(2 * DATA_CENTRES.size());
    return formation;
  }

  private List<String> heads(String dataCentre) throws IOException {
    List<String> heads = new ArrayList<>();
    for (JsonNode replica : replicas(dataCentre)) {
      heads.add(replica.path("members").get(0).asText());
    }
    return heads;
  }

  private void fault(String dataCentre, List<String> nodes, String fault) throws IOException {
    for (String node : nodes) {
      fleet
          .local()
          .control(
              "engine-" + dataCentre, "{\"node\": \"" + node + "\", \"fault\": \"" + fault + "\"}");
    }
  }

  private void signalEngines(String signal) throws IOException {
    signalEach("engine-", signal);
  }

  private void signalEach(String prefix, String signal) throws IOException {
    for (String dataCentre : DATA_CENTRES) {
      fleet.signal(prefix + dataCentre, signal);
    }
  }

  /** Sends an unsafe request, which has to run once, or not at all if its caller is told so. */
  private void order(String daemon, String key) {
    try {
      HttpResponse<String> answer = fleet.order(daemon, key);
      String outcome = answer.headers().firstValue("Fawnvale-Outcome").orElse("");
      int expectedRuns = "answered".equals(outcome) ? 1 : 0;
      if ("unknown".equals(outcome) || fleet.runs(key) != expectedRuns) {
        broken.add(key + ": " + outcome + ", ran " + fleet.runs(key) + " times");
      }
    } catch (IOException e) {
      broken.add(key + ": " + e);
    }
  }

  /** Submits and approves a bundle, so that it can be rolled out by one command. */
  private void prepare(String bundle, long revision) throws IOException {
    Path file = Files.createTempFile("bundle", ".json");
    Files.writeString(file, bundle);
    String daemon = fleet.daemon(Fleet.NORTH, 1);
    fleet.command(daemon, "submit", file.toString());
    fleet.command(daemon, "approve", Long.toString(revision));
  }

  private void rollOut(long revision) throws IOException {
    fleet.command(fleet.daemon(Fleet.NORTH, 1), "roll-out", Long.toString(revision));
    fleet.await("in force everywhere", () -> isInForce(revision));
  }

  private boolean isInForce(long revision) throws IOException {
    for (String daemon : fleet.local().daemons()) {
      JsonNode rollout = fleet.local().status(daemon).path("rollout");
      if (rollout.path("accepted").asLong() != revision) {
        return false;
      }
    }
    return true;
  }

  @Test
  void headsThatStandStillTogetherTwiceKeepTheirReplicas() throws IOException {
    startFleet();
    Map<String, String> before = formation();
    List<String> heads = heads(Fleet.NORTH);
    startStreams();
    for (int i = 0; i < 2; i++) {
      fault(Fleet.NORTH, heads, "freeze");
      Fleet.pause(PAUSE_MILLIS);
      fault(Fleet.NORTH, heads, "none");
      Fleet.pause(GAP_MILLIS);
    }
    awaitCallers();
    everyStreamIsWholeAndRanOnce();
    assertThat(formation()).isEqualTo(before);
  }

  @Test
  void allEnginesThatStandStillTwiceBesideARolloutKeepTheirReplicas() throws IOException {
    startFleet();
    Map<String, String> before = formation();
    prepare(Fleet.bundle("1").replace("test-1", "renamed"), 2);
    startStreams();
    signalEngines("STOP");
    rollOut(2);
    Fleet.pause(PAUSE_MILLIS);
    signalEngines("CONT");
    Fleet.pause(GAP_MILLIS);
    signalEngines("STOP");
    Fleet.pause(PAUSE_MILLIS);
    signalEngines("CONT");
    awaitCallers();
    everyStreamIsWholeAndRanOnce();
    fleet.await("all serve", () -> fleet.serves(2));
    assertThat(formation()).isEqualTo(before);
  }

  @Test
  void aReplicaThatABundleDropsIsDrainedAlthoughItsHeadStandsStill() throws IOException {
    startFleet();
    prepare(Fleet.bundle("1").replace("\"drafting\"", "\"writing\""), 2);
    List<String> heads = heads(Fleet.NORTH);
    startStreams();
    fault(Fleet.NORTH, heads, "freeze");
    Fleet.pause(PAUSE_MILLIS / 2);
    rollOut(2);
    Fleet.pause(PAUSE_MILLIS / 2);
    fault(Fleet.NORTH, heads, "none");
    awaitCallers();
    everyStreamIsWholeAndRanOnce();
    fleet.await("replicas of the new role serve", () -> fleet.serves(2));
  }

  @Test
  void aStopOfADaemonAndASilentPlatformBesideAPauseEndNoAnswer() throws IOException {
    startFleet();
    Map<String, String> before = formation();
    String stopping = fleet.daemon(Fleet.NORTH, 2);
    startStreams();
    fleet.signal("platform", "STOP");
    signalEngines("STOP");
    fleet.local().child(stopping).terminate();
    Fleet.pause(PAUSE_MILLIS);
    signalEngines("CONT");
    fleet.signal("platform", "CONT");
    Fleet.pause(GAP_MILLIS);
    signalEngines("STOP");
    Fleet.pause(PAUSE_MILLIS);
    signalEngines("CONT");
    awaitCallers();
    everyStreamIsWholeAndRanOnce();
    assertThat(fleet.local().child(stopping).await()).isZero();
    fleet.local().startDaemon(stopping);
    fleet.await("all serve", () -> fleet.serves(1));
    assertThat(formation()).isEqualTo(before);
  }

  @Test
  void unsafeRequestsToServicesThatStandStillTogetherRunAtMostOnce() throws IOException {
    startFleet();
    signalEach("service-", "STOP");
    List<String> daemons = fleet.local().daemons();
    for (int i = 0; i < ORDERS; i++) {
      String daemon = daemons.get(i % daemons.size());
      String key = "pause-" + i;
      startCaller(() -> order(daemon, key));
    }
    Fleet.pause(PAUSE_MILLIS);
    signalEach("service-", "CONT");
    awaitCallers();
    assertThat(broken).isEmpty();
  }
}
