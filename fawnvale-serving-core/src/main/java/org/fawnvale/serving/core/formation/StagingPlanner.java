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
 * Chooses which nodes load which weights onto their hosts, in addition to their other work. Nodes
 * without any weights come first, since they can't join a group. Then each group member stages a
 * second model, so that the survivors of a failure can join a group of that model from their hosts
 * instead of the weight store.
 */
final class StagingPlanner {

  private static final long MILLI = 1_000_000L;

  /** A load may take this many times its normal duration while others use the weight store. */
  private static final long TIMEOUT_FACTOR = 3;

  private final boolean stageSecondModel;
  private final Map<String, Staging> inProgress = new HashMap<>();

  StagingPlanner(boolean stageSecondModel) {
    this.stageSecondModel = stageSecondModel;
  }

  /**
   * A load onto a node's host. It ends when the node holds the model, is no longer listed or
   * exceeds the deadline.
   */
  private record Staging(ModelSpec model, long untilNanos) {
    boolean isFinished(@Nullable Node node, long now) {
      return node == null || now > untilNanos || FormationPolicy.holds(node, model);
    }
  }

  /**
   * A load that may be started.
   *
   * @param node the node that loads
   * @param model the model whose weights it loads
   */
  record Candidate(Node node, ModelSpec model) {}

  int inProgress() {
    return inProgress.size();
  }

  /** Removes loads that have finished, failed or timed out. */
  void removeFinished(Map<String, Node> nodes, long now) {
    inProgress
        .entrySet()
        .removeIf(entry -> entry.getValue().isFinished(nodes.get(entry.getKey()), now));
  }

  /** Records that a node was ordered to load. */
  void started(Candidate candidate, long now) {
    long until = now + TIMEOUT_FACTOR * candidate.model().loadMillis() * MILLI;
    inProgress.put(candidate.node().id(), new Staging(candidate.model(), until));
  }

  /**
   * Returns the loads that may be started, most useful first.
   *
   * @param nodes the nodes of all domains
   * @param engine the engines' configuration and capacity model
   * @param mix computes the gain of one more group of a model
   * @param groupCounts the groups of each model that exist or are being formed
   * @param forming the models of groups that are being formed, by domain
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
    empty.sort(Comparator.comparingInt(candidate -> missingMembers(candidate, nodes)));
    seconds.sort(Comparator.comparingInt(candidate -> useful.indexOf(candidate.model())));
    empty.addAll(seconds);
    return empty;
  }

  /**
   * Counts the nodes that a domain's next group of a model lacks. Few loads run at a time, so those
   * that complete a group come first: spread over all domains, they would complete none for long.
   */
  private int missingMembers(Candidate candidate, Collection<Node> nodes) {
    ModelSpec model = candidate.model();
    int spare = 0;
    for (Node node : nodes) {
      if (node.domain().equals(candidate.node().domain())
          && node.membership() == null
          && !node.draining()
          && (FormationPolicy.holds(node, model) || isLoading(node, model))) {
        spare++;
      }
    }
    return model.size() - spare % model.size();
  }

  private boolean isLoading(Node node, ModelSpec model) {
    Staging staging = inProgress.get(node.id());
    return staging != null && staging.model().equals(model);
  }

  /**
   * The largest model that the groups of each domain serve. A failure leaves the most survivors in
   * such a group, and one more node that holds its weights completes the group again.
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
    Membership membership = node.membership();
    return membership != null && membership.state() == MemberState.JOINING;
  }
}
