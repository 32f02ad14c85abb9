package org.fawnvale.serving.core.formation;

import java.util.List;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.jspecify.annotations.Nullable;

/**
 * A node's report on itself.
 *
 * @param model the model of its group; null when it has none
 * @param staged the models on its host
 * @param membership its membership of a group; null when it has none
 * @param orders the number of orders that it has taken in this incarnation
 * @param startedMillis when this incarnation started by the node's clock, in milliseconds of Unix
 *     time; {@link NodeIncarnation#UNKNOWN_START} when it is not known
 * @param pace the factor by which the node's own work takes longer than the engine's published
 *     times; 1 when it is as fast as published
 */
public record NodeReport(
    @Nullable String model,
    List<String> staged,
    @Nullable Membership membership,
    long orders,
    long startedMillis,
    double pace) {

  /** Creates the report of a node that is as fast as published. */
  public NodeReport(
      @Nullable String model,
      List<String> staged,
      @Nullable Membership membership,
      long orders,
      long startedMillis) {
    this(model, staged, membership, orders, startedMillis, 1);
  }

  /**
   * Tells whether the report is of the known incarnation of a node.
   *
   * @return false when it is of another incarnation; true also when either start is not known
   */
  boolean isFromIncarnationOf(Node node) {
    long known = node.life().startedMillis();
    boolean startUnknown =
        startedMillis == NodeIncarnation.UNKNOWN_START || known == NodeIncarnation.UNKNOWN_START;
    return startUnknown || startedMillis == known;
  }
}
