package org.fawnvale.core.planning;

import org.fawnvale.core.model.Node;
import org.fawnvale.core.model.NodeReport;
import org.jspecify.annotations.Nullable;

/**
 * What the planner knows about a node.
 *
 * @param node the node as the platform lists it
 * @param report the node's last report; null when there is none
 * @param silentMillis how long the node has not answered, milliseconds; 0 while it answers
 * @param failures number of recent failures of the node
 * @param acceptsConnections false when the node, while it does not answer, also accepts no new
 *     connection or closes it at once
 */
public record NodeView(
    Node node,
    @Nullable NodeReport report,
    long silentMillis,
    int failures,
    boolean acceptsConnections) {

  /**
   * Longest pause of a sound engine, milliseconds. Engines of whole data centres stand still for up
   * to two seconds; a failed engine that still accepts connections is replaced after this time.
   */
  public static final long MAXIMUM_PAUSE_MILLIS = 3_000;

  /** Creates the view of a node that accepts no connections while it does not answer. */
  public NodeView(Node node, @Nullable NodeReport report, long silentMillis, int failures) {
    this(node, report, silentMillis, failures, false);
  }

  /** Returns true while the node answers and has sent a report. */
  public boolean isAlive() {
    return silentMillis == 0 && report != null;
  }

  /** Returns true while the node does not answer, but may be sound and go on by itself. */
  public boolean isPausing() {
    return !isAlive() && acceptsConnections && silentMillis < MAXIMUM_PAUSE_MILLIS;
  }

  /**
   * Returns whether the node has already loaded the given weights.
   *
   * @param weights model and version, as {@code model@version}
   * @return true when the node does not need to load them again
   */
  public boolean holds(String weights) {
    return report != null && weights.equals(report.loadedVersion());
  }
}
