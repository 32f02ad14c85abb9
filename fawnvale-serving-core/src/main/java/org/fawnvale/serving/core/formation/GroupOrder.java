package org.fawnvale.serving.core.formation;

import java.util.List;
import org.fawnvale.serving.core.model.Node;
import org.jspecify.annotations.Nullable;

/**
 * An order to a node, or a question for its report.
 *
 * @param node the node
 * @param kind what it is to do
 * @param group the group concerned; empty for a report and for staging
 * @param epoch the group's epoch
 * @param model the model; null where the kind names none
 * @param members the ids of the members, head first; empty where the kind names none
 * @param fence the fencing token
 * @param expectedOrders the count of orders that the node must have taken; negative for any
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

  /** What a node is to do. */
  public enum Kind {
    /** Become a member. */
    JOIN,
    /** Begin to serve, as head. */
    OPEN,
    /** Take nothing new, as head. */
    CLOSE,
    /** Leave the group. */
    LEAVE,
    /** Load a model onto the host. */
    STAGE,
    /** Tell its state. */
    REPORT
  }

  /** What came of an order. */
  public enum Outcome {
    /** It has begun. */
    BEGUN,
    /** It holds already. */
    DONE,
    /** It does not fit the node's state. */
    CONFLICT,
    /** A higher fencing token or epoch was seen there. */
    FENCED,
    /** Another node answers there. */
    OTHER_NODE,
    /** Nothing listens there: the node's process is gone. */
    GONE,
    /** It was not sent, since the node rests. */
    HELD,
    /** No answer came; it may be carried out later. */
    UNKNOWN
  }
}
