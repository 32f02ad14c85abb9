package org.fawnvale.dist;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import org.fawnvale.standins.UsersPlatformStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Three daemons of two data centres with the real adapter and a stand-in of the users' platform.
 * Guards against failures to form groups, to serve requests, and to recover from losses.
 */
class UsersPlatformTest {

  private static final String WHOLE_ANSWER_END = "id: 12\ndata: 12\n\n";

  private EdgeFleet fleet;
  private UsersPlatformStandIn platform;

  @BeforeEach
  void start() throws IOException {
    fleet = EdgeFleet.start();
    platform = fleet.platform();
  }

  @AfterEach
  void stop() {
    fleet.close();
  }

  @Test
  void everyDaemonServesWhileOnePerDataCentreWatchesTheWorkers() throws Exception {
    fleet.awaitServing();
    EdgeFleet.await(() -> platform.watchersOfWorkers() <= 2);
    platform.addWorker("i-b4", "b");
    platform.addWorker("i-b5", "b");
    EdgeFleet.await(() -> platform.openGroups().size() == 5);
    for (int daemon = 0; daemon < fleet.size(); daemon++) {
      HttpResponse<String> answer = fleet.send(daemon, "/chat/x", "r" + daemon);
      assertThat(answer.body()).startsWith("id: 1\n").endsWith(WHOLE_ANSWER_END);
      assertThat(answer.headers().firstValue("X-Attempt-Id")).contains("r" + daemon);
    }
  }

  @Test
  void aNewConfigurationIsInForceAtEveryDaemon() throws Exception {
    fleet.awaitServing();
    platform.configure(5, "/talk/");
    for (int daemon = 0; daemon < fleet.size(); daemon++) {
      int asked = daemon;
      EdgeFleet.await(() -> fleet.statusOf(asked, "/talk/x", "new") == 200);
      assertThat(fleet.statusOf(daemon, "/chat/x", "old")).isEqualTo(404);
    }
  }

  @Test
  void silentStoreConnectionsDoNotBlockNewConfigurations() throws Exception {
    fleet.awaitServing();
    platform.silenceWaitingCalls();
    platform.configure(5, "/talk/");
    for (int daemon = 0; daemon < fleet.size(); daemon++) {
      int asked = daemon;
      EdgeFleet.await(() -> fleet.statusOf(asked, "/talk/x", "silent") == 200);
    }
    assertThat(platform.shortestConfigurationWaitMillis()).isLessThanOrEqualTo(2_500);
  }

  @Test
  void aStreamContinuesAtAnotherGroupAfterItsGroupLosesAMember() throws Exception {
    fleet.awaitServing();
    platform.loseAMemberDuring("lossy");
    HttpResponse<String> answer = fleet.send(0, "/chat/x", "lossy");
    assertThat(answer.body()).startsWith("id: 1\n").endsWith(WHOLE_ANSWER_END);
    assertThat(answer.body().split("\n\n")).hasSize(12);
    assertThat(platform.beganAt("lossy")).hasSizeGreaterThan(1);
  }

  @Test
  void afterAnOutageOfTheStoreOnlyWhatChangedIsAskedFor() throws Exception {
    fleet.awaitServing();
    int pages = platform.pagesOfWorkers();
    platform.storeDown(true);
    EdgeFleet.await(() -> platform.watchersOfWorkers() == 0);
    platform.storeDown(false);
    platform.configure(2, "/after/");
    EdgeFleet.await(() -> fleet.statusOf(0, "/after/x", "after") == 200);
    EdgeFleet.await(() -> platform.watchersOfWorkers() > 0);
    assertThat(platform.pagesOfWorkers()).isEqualTo(pages);
  }

  @Test
  void requestsAreServedDuringAStoreOutageAndNewConfigurationsArriveAfterwards() throws Exception {
    fleet.awaitServing();
    platform.storeDown(true);
    assertThat(fleet.statusOf(1, "/chat/x", "r1")).isEqualTo(200);
    assertThat(fleet.statusOf(2, "/chat/x", "r2")).isEqualTo(200);
    platform.storeDown(false);
    platform.configure(9, "/later/");
    for (int daemon = 0; daemon < fleet.size(); daemon++) {
      int asked = daemon;
      EdgeFleet.await(() -> fleet.statusOf(asked, "/later/x", "later") == 200);
    }
  }

  /**
   * A request crashes each worker that runs it, and its caller retries at all daemons. After three
   * workers have crashed (one possibly twice, since workers restart under their ids), no daemon
   * forwards the request, even after all daemons have lost their in-memory state.
   */
  @Test
  void aRequestThatEndsWorkersIsSentToNoneMoreByAnyDaemonEvenAfterAllStartedAgain()
      throws Exception {
    fleet.awaitServing();
    platform.endWith("deadly");
    for (int attempt = 0; attempt < 30 && platform.endedWorkers().size() < 3; attempt++) {
      statusOfDeadly(attempt % fleet.size(), "r" + attempt);
    }
    EdgeFleet.await(() -> !platform.keptRequests().isEmpty());
    fleet.awaitFigure("fawnvale_quarantine_barred 1.0");
    int ended = platform.endedWorkers().size();
    assertThat(ended).isLessThanOrEqualTo(4);
    for (int daemon = 0; daemon < fleet.size(); daemon++) {
      assertThat(statusOfDeadly(daemon, "again" + daemon)).isEqualTo(503);
    }
    fleet.restartAllDaemons();
    fleet.awaitServing();
    fleet.awaitFigure("fawnvale_quarantine_barred 1.0");
    for (int daemon = 0; daemon < fleet.size(); daemon++) {
      assertThat(statusOfDeadly(daemon, "after" + daemon)).isEqualTo(503);
    }
    assertThat(platform.endedWorkers()).hasSize(ended);
  }

  /** Restoring the store discards records that the daemons wrote, which they write again. */
  @Test
  void aRequestThatEndsWorkersIsKeptAgainAfterTheStoreHasGoneBack() throws Exception {
    fleet.awaitServing();
    long copy = platform.copyOfStore();
    platform.endWith("deadly");
    for (int attempt = 0; attempt < 30 && platform.endedWorkers().size() < 3; attempt++) {
      statusOfDeadly(attempt % fleet.size(), "r" + attempt);
    }
    EdgeFleet.await(() -> !platform.keptRequests().isEmpty());
    platform.storeGoesBackTo(copy);
    assertThat(platform.keptRequests()).isEmpty();
    EdgeFleet.await(() -> !platform.keptRequests().isEmpty());
  }

  private int statusOfDeadly(int daemon, String id) {
    return fleet.statusOf(daemon, "/chat/x", id, "deadly");
  }
}
