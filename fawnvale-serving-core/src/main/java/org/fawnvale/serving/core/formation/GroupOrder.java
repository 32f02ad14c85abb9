package org.fawnvale.serving.core.formation;

import java.util.List;
import org.fawnvale.serving.core.model.Node;
import org.jspecify.annotations.Nullable;

/**
 * An order to a node, or a request for its report.
 *
 * @param kind the kind of order
 * @param group the name of the group; empty for a report and for staging
 * @param epoch the group's epoch
 * @param model the model; null where the kind names none
 * @param members the ids of the members, head first; empty where the kind names none
 * @param fence the fencing token
 * @param expectedOrders the number of orders that the node must have taken to accept this one;
 *     negative for any
 */
public record GroupOrder(
    Node node,
    Kind kind,
    String group,
    long epoch,
    @Nullable String model,
    List<String> members,
    long fence,
    long expectedOrders) {

  /** A report does not depend on the number of orders that the node has taken. */
  private static final int ANY_COUNT = -1;

  /**
   * Creates the query for a node's report.
   *
   * @param node the node that is asked
   * @param fence the fencing token of the sender; 0 if it does not lead
   * @return the query
   */
  public static GroupOrder reportQuery(Node node, long fence) {
    return new GroupOrder(node, Kind.REPORT, "", 0, null, List.of(), fence, ANY_COUNT);
  }

  /** What the node is ordered to do. */
  public enum Kind {
    /** Join a group. */
    JOIN,
    /** Start to serve, as head. */
    OPEN,
    /** Accept no further requests, as head. */
    CLOSE,
    /** Leave the group. */
    LEAVE,
    /** Load a model onto the host. */
    STAGE,
    /** Report its state. */
    REPORT
  }

  /** The result of an order. */
  public enum Outcome {
    /** The node accepted the order and carries it out. */
    BEGUN,
    /** The node was in the ordered state already. */
    DONE,
    /** The order doesn't fit the node's state or order count. */
    CONFLICT,
    /** The node has seen a higher fencing token or epoch. */
    FENCED,
    /** Another node answered at the address. */
    OTHER_NODE,
    /** The connection was refused: the process may have ended. */
    GONE,
    /** The order was not sent because the node is in a Retry-After pause. */
    HELD,
    /** No answer was received; the node may still carry the order out. */
    UNKNOWN
  }
}
