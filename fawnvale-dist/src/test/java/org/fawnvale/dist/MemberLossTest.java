package org.fawnvale.dist;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against failed recovery after members die or freeze, or after a coordinator freezes. */
class MemberLossTest {

  private Fleet fleet;

  @AfterEach
  void stop() {
    fleet.close();
  }

  private JsonNode replicas(String daemon) throws IOException {
    return fleet.local().status(daemon).path("replicas");
  }

  private List<String> members(JsonNode replica) {
    List<String> members = new ArrayList<>();
    replica.path("members").forEach(each -> members.add(each.asText()));
    return members;
  }

  private void fault(String node, String fault) throws IOException {
    fleet
        .local()
        .control(
            "engine-" + Fleet.NORTH, "{\"node\": \"" + node + "\", \"fault\": \"" + fault + "\"}");
  }

  /** Loses a member; checks that callers are served meanwhile and that the replica is rebuilt. */
  private void lose(String fault) throws IOException {
    String daemon = fleet.daemon(Fleet.NORTH, 1);
    JsonNode replica = replicas(daemon).get(0);
    String lost = members(replica).get(2);
    long generation = replica.path("generation").asLong();
    fault(lost, fault);
    for (int i = 0; i < 20; i++) {
      HttpResponse<String> answer = fleet.chat(daemon, "during the loss " + i, 8, false);
      assertThat(answer.statusCode()).isEqualTo(200);
      assertThat(answer.body()).contains("during the loss " + i);
    }
    fleet.await("rebuilt without " + lost, () -> rebuilt(lost, generation));
    noNodeTwice(daemon);
  }

  private boolean rebuilt(String lost, long generation) throws IOException {
    for (int i = 1; i <= 2; i++) {
      JsonNode status = fleet.local().status(fleet.daemon(Fleet.NORTH, i));
      boolean without = !status.path("replicas").toString().contains("\"" + lost + "\"");
      if (!without || Fleet.servingReplicas(status) < 2) {
        return false;
      }
    }
    return generation > 0;
  }

  private void noNodeTwice(String daemon) throws IOException {
    Set<String> seen = new HashSet<>();
    for (JsonNode replica : replicas(daemon)) {
      for (String member : members(replica)) {
        assertThat(seen.add(member)).as(member).isTrue();
      }
    }
  }

  @Test
  void aDeadMemberIsReplacedAndReturnsAsASpare() throws IOException {
    fleet = Fleet.start();
    String daemon = fleet.daemon(Fleet.NORTH, 1);
    String lost = members(replicas(daemon).get(0)).get(2);
    lose("die");
    fault(lost, "none");
    fleet.await(
        "it is a spare",
        () -> fleet.local().status(daemon).path("stranded").toString().contains(lost));
    assertThat(Fleet.servingReplicas(fleet.local().status(daemon))).isEqualTo(2);
    noNodeTwice(daemon);
  }

  @Test
  void aFrozenMemberIsReplacedAndItsOldStateDoesNotCount() throws IOException {
    fleet = Fleet.start();
    lose("freeze");
  }

  @Test
  void aMemberThatRestartsEmptyRejoinsTheReplica() throws IOException {
    fleet = Fleet.start();
    String daemon = fleet.daemon(Fleet.NORTH, 1);
    fault(members(replicas(daemon).get(1)).get(1), "restart");
    fleet.await("seen as lost or rebuilt", () -> fleet.serves(1));
    for (int i = 0; i < 10; i++) {
      assertThat(fleet.chat(daemon, "after the restart", 2, true).statusCode()).isEqualTo(200);
    }
  }

  @Test
  void aCoordinatorResumedAfterLeaseExpiryHasNoEffect() throws IOException {
    fleet = Fleet.start();
    resumeAfterLeaseExpiry();
  }

  @Test
  void aCoordinatorResumedAfterLeaseExpiryHasNoEffectWithoutEngineFences() throws IOException {
    fleet = Fleet.start("--ignores-fences");
    resumeAfterLeaseExpiry();
  }

  private void resumeAfterLeaseExpiry() throws IOException {
    String first = fleet.daemon(Fleet.NORTH, 1);
    String second = fleet.daemon(Fleet.NORTH, 2);
    boolean firstHolds = fleet.local().status(first).path("holdsLease").asBoolean();
    String holder = firstHolds ? first : second;
    String other = firstHolds ? second : first;
    String lost = members(replicas(other).get(0)).get(1);
    fault(lost, "die");
    fleet.signal(holder, "STOP");
    fleet.await(
        "the other coordinates", () -> fleet.local().status(other).path("holdsLease").asBoolean());
    fleet.await(
        "rebuilt by the other", () -> Fleet.servingReplicas(fleet.local().status(other)) == 2);
    fleet.signal(holder, "CONT");
    fleet.await("both agree", () -> rebuilt(lost, 1));
    assertThat(replicas(holder)).isEqualTo(replicas(other));
    noNodeTwice(holder);
    HttpResponse<String> answer = fleet.chat(holder, "after all that", 2, false);
    assertThat(answer.statusCode()).isEqualTo(200);
  }
}
