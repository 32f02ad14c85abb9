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
 */
public record NodeView(Node node, @Nullable NodeReport report, long silentMillis, int failures) {

  /** Returns true while the node answers and has sent a report. */
  public boolean isAlive() {
    return silentMillis == 0 && report != null;
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
