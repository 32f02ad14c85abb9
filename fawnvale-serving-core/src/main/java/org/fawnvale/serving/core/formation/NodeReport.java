package org.fawnvale.serving.core.formation;

import java.util.List;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.jspecify.annotations.Nullable;

/**
 * A node's report of itself.
 *
 * @param model the model of its group; null when it has none
 * @param staged the models on its host
 * @param membership its place in a group; null when it has none
 * @param orders the orders that it has taken in this life
 * @param startedMillis when this life began; {@link NodeIncarnation#UNKNOWN_START} when it does not
 *     tell
 */
public record NodeReport(
    @Nullable String model,
    List<String> staged,
    @Nullable Membership membership,
    long orders,
    long startedMillis) {

  /**
   * Tells whether it is the word of a node as it is known.
   *
   * @param node the node
   * @return false for another life of the same id
   */
  boolean isOf(Node node) {
    long known = node.incarnation().startedMillis();
    boolean untold =
        startedMillis == NodeIncarnation.UNKNOWN_START || known == NodeIncarnation.UNKNOWN_START;
    return untold || startedMillis == known;
  }
}
