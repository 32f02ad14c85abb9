package org.fawnvale.serving.core.formation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.jspecify.annotations.Nullable;

/**
 * Chooses which nodes load which weights onto their hosts, beside everything else that they do.
 * Nodes that hold nothing come first, since they can join no group. Then each member of a group
 * stages a second model: whatever the survivors of a loss are needed for, they join it from their
 * hosts instead of the weight store.
 */
final class StagingPlanner {

  private static final long MILLI = 1_000_000L;

  /** A load may take this many times its usual time, when others share the weight store. */
  private static final long TIMEOUT_FACTOR = 3;

  private final boolean stageSecondModel;
  private final Map<String, Staging> inProgress = new HashMap<>();

  StagingPlanner(boolean stageSecondModel) {
    this.stageSecondModel = stageSecondModel;
  }

  /** A load onto the host of a node, until the node holds the model, is gone or takes too long. */
  private record Staging(ModelSpec model, long untilNanos) {
    boolean isFinished(@Nullable Node node, long now) {
      return node == null || now > untilNanos || FormationPolicy.holds(node, model);
    }
  }

  /**
   * A load that is worth its while.
   *
   * @param node the node
   * @param model the model whose weights it loads
   */
  record Candidate(Node node, ModelSpec model) {}

  int inProgress() {
    return inProgress.size();
  }

  /** Forgets loads that are done or over. */
  void removeFinished(Map<String, Node> nodes, long now) {
    inProgress
        .entrySet()
        .removeIf(entry -> entry.getValue().isFinished(nodes.get(entry.getKey()), now));
  }

  /** Notes that a node was told to load. */
  void started(Candidate candidate, long now) {
    long until = now + TIMEOUT_FACTOR * candidate.model().loadMillis() * MILLI;
    inProgress.put(candidate.node().id(), new Staging(candidate.model(), until));
  }

  /**
   * The loads that are worth their while, most useful first.
   *
   * @param nodes the nodes of all domains
   * @param engine the arithmetic of the engines
   * @param mix tells what one more group of a model is worth
   * @param standing the groups of each model that stand or are being formed
   * @param forming the models of groups on their way, by domain
   * @return the loads
   */
  List<Candidate> candidates(
      Collection<Node> nodes,
      EngineSpec engine,
      MixPlanner mix,
      Map<String, Integer> groupCounts,
      Map<String, List<ModelSpec>> forming) {
    List<ModelSpec> useful = new ArrayList<>(engine.models());
    useful.sort(
        Comparator.comparingDouble(
                (ModelSpec model) ->
                    mix.gainOfNextGroup(model, groupCounts.getOrDefault(model.name(), 0))
                        / model.size())
            .reversed());
    Map<String, ModelSpec> largest = largestByDomain(nodes, engine, forming);
    List<Candidate> empty = new ArrayList<>();
    List<Candidate> seconds = new ArrayList<>();
    for (Node node : nodes) {
      boolean eligible = !node.draining() && !isJoining(node) && !inProgress.containsKey(node.id());
      if (!eligible) {
        continue;
      }
      if (node.model() == null && node.staged().isEmpty()) {
        empty.add(new Candidate(node, largest.getOrDefault(node.domain(), useful.get(0))));
      } else if (stageSecondModel && node.model() != null) {
        useful.stream()
            .filter(model -> !FormationPolicy.holds(node, model))
            .findFirst()
            .ifPresent(model -> seconds.add(new Candidate(node, model)));
      }
    }
    seconds.sort(Comparator.comparingInt(candidate -> useful.indexOf(candidate.model())));
    empty.addAll(seconds);
    return empty;
  }

  /**
   * The largest model that groups of each domain serve. The survivors of such a group are most, and
   * one node more that holds its weights makes them whole again.
   */
  private static Map<String, ModelSpec> largestByDomain(
      Collection<Node> nodes, EngineSpec engine, Map<String, List<ModelSpec>> forming) {
    Map<String, ModelSpec> largest = new HashMap<>();
    for (Node node : nodes) {
      String name = node.model();
      ModelSpec model = name == null || node.membership() == null ? null : engine.model(name);
      if (model != null) {
        largest.merge(node.domain(), model, StagingPlanner::larger);
      }
    }
    forming.forEach(
        (domain, models) ->
            models.forEach(model -> largest.merge(domain, model, StagingPlanner::larger)));
    return largest;
  }

  private static ModelSpec larger(ModelSpec one, ModelSpec other) {
    return one.size() >= other.size() ? one : other;
  }

  private static boolean isJoining(Node node) {
    Membership place = node.membership();
    return place != null && place.state() == MemberState.JOINING;
  }
}
