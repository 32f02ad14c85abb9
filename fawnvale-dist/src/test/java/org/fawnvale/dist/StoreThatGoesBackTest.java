package org.fawnvale.dist;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.fawnvale.standins.UsersConfiguration;
import org.fawnvale.standins.UsersPlatformStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * The platform's store goes back to a copy and gives its revisions out again.
 *
 * <p>The story: the store was away for three seconds and came back some seconds older. Then a
 * configuration was acknowledged and a plain node said that it leaves. Callers got 404 for a route
 * of that configuration more than two seconds later, and requests still reached the node. The
 * daemons' copies showed a higher revision than the store had; they dropped each list as older than
 * what they knew, asked for the changes since their own revision, were told that there is no such
 * history, and listed again without a pause. Only when the store's counter had passed their own did
 * they hear of changes again, and then of none that lay below.
 *
 * <p>The evidence: while it lasted each daemon made a hundred calls a second, half of them lists
 * that were answered; three of eight daemons skipped one configuration more than the others, and
 * their copies had shown just its revision before.
 */
class StoreThatGoesBackTest {

  /** More changes than all that follow, so that the counter does not pass where the copies are. */
  private static final int CHANGES_THAT_ARE_LOST = 200;

  /** A list of each daemon, one more where a call failed or was cut meanwhile. */
  private static final int MOST_LISTS = 12;

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

  /** Changes of no weight, which all daemons have taken in, and which the store then loses. */
  private void loseChanges() throws InterruptedException {
    long copy = platform.copyOfStore();
    for (int change = 0; change < CHANGES_THAT_ARE_LOST; change++) {
      platform.configure(2, "/lost" + change + "/");
    }
    platform.configure(3, "/chat/");
    platform.listGroup("passing", "a", 1);
    awaitServingOf("/chat/x");
    platform.storeGoesBackTo(copy);
  }

  @Test
  void aConfigurationThatFollowsIsInForceAtEveryDaemon() throws Exception {
    fleet.awaitServing();
    loseChanges();
    int lists = platform.listsOfConfiguration();
    platform.configure(9, "/after/");
    awaitServingOf("/after/x");
    for (int daemon = 0; daemon < fleet.size(); daemon++) {
      assertThat(fleet.statusOf(daemon, "/chat/x", "old" + daemon)).isEqualTo(404);
    }
    assertThat(platform.listsOfConfiguration() - lists).isLessThan(MOST_LISTS);
  }

  @Test
  void aNodeThatSaysItLeavesIsSentNothingSoonAfter() throws Exception {
    fleet.awaitServing();
    awaitServingOf(UsersConfiguration.SAFE_PATH);
    loseChanges();
    platform.drain("p-a");
    for (int daemon = 0; daemon < fleet.size(); daemon++) {
      awaitNothingAt("p-a", daemon);
    }
  }

  /**
   * The story goes on: the node had said that it leaves before the store went back, so that the
   * store shows it as ready until the node writes again.
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

  /** A configuration that the store has lost stays in force until its writer writes again. */
  @Test
  void aConfigurationThatIsLostStaysInForceAndNoRouteOfTheFormerOneComesBack() throws Exception {
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

  /** Waits until many requests in a row go elsewhere: half of them would go there otherwise. */
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
