package org.fawnvale.core.planning;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.fawnvale.core.model.Bundle;
import org.fawnvale.core.model.DomainState;
import org.fawnvale.core.model.Model;
import org.fawnvale.core.model.Node;
import org.fawnvale.core.model.NodeReport;
import org.fawnvale.core.model.Policy;
import org.fawnvale.core.model.Replica;
import org.fawnvale.core.model.Role;
import org.fawnvale.core.model.RoleKind;
import org.junit.jupiter.api.Test;

/** Tests the planner on one fabric domain with seven nodes and two replicas of three nodes. */
class PlannerTest {

  private static final int NODES = 7;
  private static final long SHORT_GRACE_MILLIS = 500;

  private DomainState state = DomainState.empty("dc", "f");
  private final Map<String, NodeView> views = new HashMap<>();
  private String version = "1";
  private String role = "r";
  private boolean rolling = true;
  private PlannerSettings settings = PlannerSettings.DEFAULT;

  PlannerTest() {
    for (int i = 0; i < NODES; i++) {
      applyState("n" + i);
    }
  }

  /** Makes a node report the state that the domain's state prescribes for it. */
  private void applyState(String name) {
    Optional<Replica> replica = state.replicaOf(name);
    NodeReport.State reported =
        replica.map(Replica::draining).orElse(false)
            ? NodeReport.State.DRAINING
            : NodeReport.State.READY;
    NodeReport report =
        replica
            .map(
                each ->
                    new NodeReport(
                        name,
                        "1",
                        each.id(),
                        each.generation(),
                        each.version(),
                        "m@" + each.version(),
                        reported,
                        0,
                        0))
            .orElse(new NodeReport(name, "1", null, 0, null, null, NodeReport.State.IDLE, 0, 0));
    setView(name, report, 0, false);
  }

  private void applyStateToAll() {
    views.keySet().stream().toList().forEach(this::applyState);
  }

  private void setView(String name, NodeReport report, long silentMillis, boolean leaving) {
    Node node = new Node(name, "dc", "f", "", "", null, leaving);
    views.put(name, new NodeView(node, report, silentMillis, 0));
  }

  private void setPausing(String name, long silentMillis) {
    NodeView view = views.get(name);
    views.put(name, new NodeView(view.node(), view.report(), silentMillis, 0, true));
  }

  private void setFailed(String name, long silentMillis) {
    setView(name, views.get(name).report(), silentMillis, false);
  }

  private Plan plan() {
    Bundle bundle =
        new Bundle(
            "b",
            List.of(new Model("m", version, 1, List.of())),
            List.of(new Role(role, "m", RoleKind.COMBINED, 3, 2, 0, 1, 8, List.of())),
            List.of(),
            List.of(),
            new Policy(1, 1, 5));
    Plan plan =
        Planner.plan(new PlanInput("dc", bundle, rolling, List.of(state), views, settings, "o"));
    plan.changed().forEach(changed -> state = changed);
    return plan;
  }

  private Plan planAndApply() {
    Plan plan = plan();
    applyStateToAll();
    return plan;
  }

  @Test
  void formsTheReplicasOfTheBundleAndKeepsASpare() {
    planAndApply();
    assertThat(state.replicas()).hasSize(2);
    assertThat(plan().complete()).isTrue();
    assertThat(plan().changed()).isEmpty();
  }

  @Test
  void replacesASilentMemberAfterTheGracePeriod() {
    planAndApply();
    Replica before = state.replicas().get(0);
    String lost = before.members().get(1);
    setView(lost, views.get(lost).report(), 4999, false);
    assertThat(plan().changed()).isEmpty();

    setView(lost, views.get(lost).report(), 5000, false);
    plan();
    Replica after =
        state.replicas().stream()
            .filter(each -> each.id().equals(before.id()))
            .findFirst()
            .orElseThrow();
    assertThat(after.generation()).isGreaterThan(before.generation());
    assertThat(after.members()).doesNotContain(lost).contains(before.members().get(0), "n6");
  }

  @Test
  void disbandsOneOfTwoBrokenReplicasToCompleteTheOther() {
    planAndApply();
    for (Replica replica : state.replicas()) {
      String lost = replica.members().get(0);
      setView(lost, views.get(lost).report(), 60_000, false);
    }
    setView("n6", views.get("n6").report(), 60_000, false);
    plan();
    assertThat(state.replicas())
        .as("one replica keeps its nodes and is completed by the next plan")
        .hasSize(1);
    plan();
    assertThat(state.replicas()).hasSize(1);
    assertThat(state.replicas().get(0).members())
        .allMatch(name -> views.get(name).isAlive())
        .hasSize(3);
  }

  @Test
  void changesNothingWhenMostNodesAreSilent() {
    planAndApply();
    for (int i = 0; i < 5; i++) {
      setView("n" + i, views.get("n" + i).report(), 60_000, false);
    }
    assertThat(plan().changed()).isEmpty();
  }

  @Test
  void drainsAReplicaBeforeItReplacesALeavingMember() {
    planAndApply();
    Replica before = state.replicas().get(0);
    String leaving = before.members().get(2);
    setView(leaving, views.get(leaving).report(), 0, true);
    plan();
    assertThat(state.replicaOf(leaving)).get().matches(Replica::draining);
    assertThat(plan().changed()).as("no change before the engine has drained").isEmpty();

    applyStateToAll();
    setView(leaving, views.get(leaving).report(), 0, true);
    plan();
    assertThat(state.replicaOf(leaving)).isEmpty();
    assertThat(state.replicas()).hasSize(2).noneMatch(Replica::draining);
  }

  @Test
  void upgradesOneReplicaAtATime() {
    planAndApply();
    version = "2";
    plan();
    assertThat(state.replicas()).filteredOn(Replica::draining).hasSize(1);
    plan();
    assertThat(state.replicas())
        .as("minimumReady is respected")
        .filteredOn(Replica::draining)
        .hasSize(1);
    applyStateToAll();
    for (int i = 0; i < 6; i++) {
      planAndApply();
    }
    assertThat(state.replicas()).allMatch(each -> "2".equals(each.version()));
    assertThat(plan().complete()).isTrue();
  }

  @Test
  void upgradesNothingWhenTheRolloutIsStopped() {
    planAndApply();
    version = "2";
    rolling = false;
    assertThat(plan().changed()).isEmpty();
  }

  @Test
  void aPausingMemberIsNotReplacedBeforeTheLongestPauseIsOver() {
    planAndApply();
    settings = settings.withGrace(SHORT_GRACE_MILLIS);
    String pausing = state.replicas().get(0).head();
    setPausing(pausing, NodeView.MAXIMUM_PAUSE_MILLIS - 1);
    assertThat(plan().changed()).isEmpty();

    setPausing(pausing, NodeView.MAXIMUM_PAUSE_MILLIS);
    plan();
    assertThat(state.replicaOf(pausing)).isEmpty();
    assertThat(state.replicas()).hasSize(2);
  }

  @Test
  void aMemberThatAcceptsNoConnectionIsReplacedAfterTheGracePeriod() {
    planAndApply();
    settings = settings.withGrace(SHORT_GRACE_MILLIS);
    String failed = state.replicas().get(0).head();
    setFailed(failed, SHORT_GRACE_MILLIS);
    plan();
    assertThat(state.replicaOf(failed)).isEmpty();
    assertThat(state.replicas()).hasSize(2);
  }

  @Test
  void aDrainingReplicaIsNotChangedWhileItsHeadPausesWithRequests() {
    planAndApply();
    settings = settings.withGrace(SHORT_GRACE_MILLIS);
    Replica draining = state.replicas().get(0);
    String leaving = draining.members().get(2);
    setView(leaving, views.get(leaving).report(), 0, true);
    plan();
    applyStateToAll();
    setView(leaving, views.get(leaving).report(), 0, true);
    setPausing(draining.head(), NodeView.MAXIMUM_PAUSE_MILLIS - 1);
    assertThat(plan().changed()).isEmpty();
  }

  @Test
  void aReplicaThatIsNoLongerRequiredIsDrainedWhileItsHeadPauses() {
    planAndApply();
    Replica before = state.replicas().get(0);
    role = "other";
    setPausing(before.head(), 1300);
    plan();
    assertThat(state.replicaOf(before.head())).get().matches(Replica::draining);

    assertThat(plan().changed()).as("no change before the engine has drained").isEmpty();
  }

  @Test
  void aReplicaThatIsNoLongerRequiredIsRemovedAtOnceWhenItsHeadHasFailed() {
    planAndApply();
    Replica before = state.replicas().get(0);
    role = "other";
    setFailed(before.head(), 1);
    plan();
    assertThat(state.replicaOf(before.head())).isEmpty();
  }
}
