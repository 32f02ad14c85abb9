package org.fawnvale.serving.core.formation;

import java.util.List;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeLife;
import org.jspecify.annotations.Nullable;

/**
 * A node's report of itself.
 *
 * @param model the model of its group; null when it has none
 * @param staged the models on its host
 * @param membership its place in a group; null when it has none
 * @param orders the orders that it has taken in this life
 * @param startedMillis when this life began; {@link NodeLife#UNTOLD} when it does not tell
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
  boolean isFromIncarnationOf(Node node) {
    long known = node.life().startedMillis();
    boolean startUnknown = startedMillis == NodeLife.UNTOLD || known == NodeLife.UNTOLD;
    return startUnknown || startedMillis == known;
  }
}
