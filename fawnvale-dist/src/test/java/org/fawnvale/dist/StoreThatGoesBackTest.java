package org.fawnvale.dist;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.fawnvale.standins.UsersConfiguration;
import org.fawnvale.standins.UsersPlatformStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The platform's store is restored from an older copy and issues its revisions again.
 *
 * <p>Guards against daemons that ignore the store's changes because their own copies show higher
 * revisions, and against daemons that list all objects repeatedly without a pause.
 */
class StoreThatGoesBackTest {

  /** Exceeds the number of later changes, so that the revision stays below the daemons' copies. */
  private static final int LOST_CHANGES = 200;

  /** Limit of list calls: one for each daemon, and one more for each failed call. */
  private static final int MAXIMUM_LISTS = 12;

  private EdgeFleet fleet;
  private UsersPlatformStandIn platform;

  @BeforeEach
  void start() throws IOException {
    fleet = EdgeFleet.start();
    platform = fleet.platform();
    platform.addPlainWorker("p-a", "a");
    platform.addPlainWorker("p-b", "b");
  }

  @AfterEach
  void stop() {
    fleet.close();
  }

  private void awaitServingOf(String path) throws InterruptedException {
    for (int daemon = 0; daemon < fleet.size(); daemon++) {
      int asked = daemon;
      EdgeFleet.await(() -> fleet.statusOf(asked, path, "wait" + asked) == 200);
    }
  }

  /** Makes irrelevant changes, waits until all daemons have applied them, and reverts the store. */
  private void loseChanges() throws InterruptedException {
    long copy = platform.copyOfStore();
    for (int change = 0; change < LOST_CHANGES; change++) {
      platform.configure(2, "/lost" + change + "/");
    }
    platform.configure(3, "/chat/");
    platform.listGroup("passing", "a", 1);
    awaitServingOf("/chat/x");
    platform.storeGoesBackTo(copy);
  }

  @Test
  void everyDaemonAppliesANewConfigurationAfterTheRestore() throws Exception {
    fleet.awaitServing();
    loseChanges();
    int lists = platform.listsOfConfiguration();
    platform.configure(9, "/after/");
    awaitServingOf("/after/x");
    for (int daemon = 0; daemon < fleet.size(); daemon++) {
      assertThat(fleet.statusOf(daemon, "/chat/x", "old" + daemon)).isEqualTo(404);
    }
    assertThat(platform.listsOfConfiguration() - lists).isLessThan(MAXIMUM_LISTS);
  }

  @Test
  void aNodeThatStartsDrainingAfterTheRestoreSoonGetsNoRequests() throws Exception {
    fleet.awaitServing();
    awaitServingOf(UsersConfiguration.SAFE_PATH);
    loseChanges();
    platform.drain("p-a");
    for (int daemon = 0; daemon < fleet.size(); daemon++) {
      awaitNothingAt("p-a", daemon);
    }
  }

  /**
   * The node reported that it leaves before the store was restored, so that the store shows it as
   * ready until the node writes again.
   */
  @Test
  void aNodeThatHadSaidItLeavesIsSentNothingThoughTheStoreShowsItAsReady() throws Exception {
    fleet.awaitServing();
    awaitServingOf(UsersConfiguration.SAFE_PATH);
    long copy = platform.copyOfStore();
    platform.drain("p-a");
    for (int daemon = 0; daemon < fleet.size(); daemon++) {
      awaitNothingAt("p-a", daemon);
    }
    platform.storeGoesBackTo(copy);
    platform.configure(9, "/after/");
    awaitServingOf("/after/x");
    for (int daemon = 0; daemon < fleet.size(); daemon++) {
      for (int number = 0; number < 20; number++) {
        String id = "back" + daemon + "-" + number;
        assertThat(fleet.statusOf(daemon, UsersConfiguration.SAFE_PATH, id)).isEqualTo(200);
        assertThat(platform.beganAt(id)).doesNotContain("p-a");
      }
    }
  }

  /** A configuration that the store has lost stays in force until it is written again. */
  @Test
  void aLostConfigurationStaysInForceAndOlderRoutesDoNotReturn() throws Exception {
    fleet.awaitServing();
    long copy = platform.copyOfStore();
    platform.configure(5, "/lost/");
    awaitServingOf("/lost/x");
    platform.storeGoesBackTo(copy);
    platform.addPlainWorker("p-c", "b");
    awaitServingOf(UsersConfiguration.SAFE_PATH);
    awaitServingOf("/lost/x");
    for (int daemon = 0; daemon < fleet.size(); daemon++) {
      assertThat(fleet.statusOf(daemon, "/chat/x", "former" + daemon)).isEqualTo(404);
    }
    platform.configure(6, "/after/");
    awaitServingOf("/after/x");
  }

  /** Waits until many consecutive requests avoid the worker, which would otherwise get half. */
  private void awaitNothingAt(String worker, int daemon) throws InterruptedException {
    int[] elsewhere = {0};
    int[] number = {0};
    EdgeFleet.await(
        () -> {
          String id = "to" + daemon + "-" + number[0]++;
          boolean answered = fleet.statusOf(daemon, UsersConfiguration.SAFE_PATH, id) == 200;
          boolean there = platform.beganAt(id).contains(worker);
          elsewhere[0] = answered && !there ? elsewhere[0] + 1 : 0;
          return elsewhere[0] >= 20;
        });
  }
}
