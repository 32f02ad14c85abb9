package org.fawnvale.dist;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Guards against lost service, or reverted bundles, while the platform is unreachable. */
class OutageTest {

  private static Fleet fleet;

  @BeforeAll
  static void start() throws IOException {
    fleet = Fleet.start();
  }

  @AfterAll
  static void stop() {
    fleet.close();
  }

  @AfterEach
  void heal() throws IOException {
    fleet.local().control("platform", "{\"fault\": \"none\"}");
    fleet.local().healToPlatform(Fleet.NORTH);
  }

  private static long accepted(String daemon) throws IOException {
    return fleet.local().status(daemon).path("rollout").path("accepted").asLong();
  }

  @Test
  void chatsAreServedDuringAPlatformOutageEvenByANewlyStartedDaemon() throws IOException {
    String restarted = fleet.daemon(Fleet.NORTH, 2);
    long revision = accepted(restarted);
    fleet.local().control("platform", "{\"fault\": \"outage\"}");
    fleet.local().child(restarted).kill();
    fleet.local().startDaemon(restarted);
    fleet.await("it has the bundle from its peers", () -> accepted(restarted) == revision);
    fleet.await(
        "it serves", () -> fleet.chat(restarted, "during the outage", 2, true).statusCode() == 200);
    fleet.await(
        "the status says how old this is",
        () -> {
          JsonNode status = fleet.local().status(restarted);
          return status.path("confirmedMillisAgo").asLong() > 10_000
              && !status.path("limits").isEmpty();
        });

    ByteArrayOutputStream printed = new ByteArrayOutputStream();
    int code = fleet.tryCommand(printed, restarted, "stop", Long.toString(revision));
    assertThat(code).isEqualTo(1);
    assertThat(printed.toString()).contains("when the platform is back");
  }

  @Test
  void aDataCentreCutOffFromThePlatformReceivesABundleFromAPeer() throws IOException {
    long next = accepted(fleet.daemon(Fleet.SOUTH, 1)) + 1;
    fleet.local().cutFromPlatform(Fleet.NORTH);
    String bundle = Fleet.bundle("1").replace("test-1", "heard-from-the-neighbour");
    java.nio.file.Path file = java.nio.file.Files.createTempFile("bundle", ".json");
    java.nio.file.Files.writeString(file, bundle);
    String south = fleet.daemon(Fleet.SOUTH, 1);
    fleet.command(south, "submit", file.toString());
    fleet.command(south, "approve", Long.toString(next));
    fleet.command(south, "roll-out", Long.toString(next));
    for (int i = 1; i <= 2; i++) {
      String north = fleet.daemon(Fleet.NORTH, i);
      fleet.await("in force at " + north, () -> accepted(north) == next);
      assertThat(fleet.chat(north, "still here", 2, false).statusCode()).isEqualTo(200);
    }
    fleet.local().healToPlatform(Fleet.NORTH);
    fleet.await(
        "confirmed again",
        () ->
            fleet.local().status(fleet.daemon(Fleet.NORTH, 1)).path("confirmedMillisAgo").asLong()
                < 5000);
    assertThat(accepted(fleet.daemon(Fleet.NORTH, 1))).isEqualTo(next);
  }
}
