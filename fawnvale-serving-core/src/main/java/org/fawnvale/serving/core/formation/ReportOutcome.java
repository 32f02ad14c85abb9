package org.fawnvale.serving.core.formation;

import org.fawnvale.serving.core.model.Node;
import org.jspecify.annotations.Nullable;

/** The result of a request for a node's report. */
public sealed interface ReportOutcome {

  /**
   * The node has sent its report.
   *
   * @param report the report
   */
  record Received(NodeReport report) implements ReportOutcome {}

  /** Why no report was received. */
  enum Missing implements ReportOutcome {
    /** The connection was refused: the process has ended. */
    REFUSED,
    /** No connection opened within the time of the call. */
    UNREACHABLE,
    /** The connection broke after the request was handed to it. */
    BROKEN,
    /** The connection stood, and no whole answer came within the time of the call. */
    SILENT,
    /** The node answered, but not with a report. */
    UNREADABLE
  }

  /**
   * Returns the report of the incarnation that was asked.
   *
   * @param node the node that was asked
   * @return null when no report was received, or one of another incarnation, which shows that the
   *     one that was asked has ended
   */
  default @Nullable NodeReport reportOf(Node node) {
    return this instanceof Received received && received.report().isFromIncarnationOf(node)
        ? received.report()
        : null;
  }
}
