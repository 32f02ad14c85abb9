package org.fawnvale.serving.core.formation;

import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;

/** Decides which nodes may join groups of which model. */
@FunctionalInterface
interface JoinRule {

  /** Any node may join any group; it loads the weights if it lacks them. */
  JoinRule ANY = (node, model) -> true;

  /** Only nodes that hold a model's weights may join its groups. */
  JoinRule HOLDERS = FormationPolicy::holds;

  /**
   * Decides for one node.
   *
   * @param model the model of the group
   * @return true when it may join
   */
  boolean mayJoin(Node node, ModelSpec model);
}
