package org.fawnvale.serving.core.formation;

import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;

/** Which nodes may join groups of which model. */
@FunctionalInterface
interface JoinRule {

  /** Any node joins any group, by a load where it lacks the weights. */
  JoinRule ANY = (node, model) -> true;

  /** Only nodes that hold a model's weights join its groups. */
  JoinRule HOLDERS = FormationPolicy::holds;

  /**
   * Judges one node.
   *
   * @param node the node
   * @param model the model of the group
   * @return true when it may join
   */
  boolean mayJoin(Node node, ModelSpec model);
}
