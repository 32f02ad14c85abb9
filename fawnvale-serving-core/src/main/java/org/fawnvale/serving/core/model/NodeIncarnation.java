package org.fawnvale.serving.core.model;

import org.jspecify.annotations.Nullable;

/**
 * One incarnation of a node or daemon: a run from its start to its end. A node may restart under
 * the same id; the new incarnation has none of the earlier one's state.
 *
 * @param id the id, which may be that of an earlier incarnation
 * @param startedMillis when it started by its own clock, in milliseconds of Unix time; {@link
 *     #UNKNOWN_START} when it does not report a start
 */
public record NodeIncarnation(String id, long startedMillis) {

  /**
   * The start of a node that does not report one; all runs under its id count as one incarnation.
   */
  public static final long UNKNOWN_START = 0;

  /** Returns the incarnation of a node that does not report its start. */
  public static NodeIncarnation only(String id) {
    return new NodeIncarnation(id, UNKNOWN_START);
  }

  // Explicit, see "Records that are compared often" in docs/DEVELOPING.md.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof NodeIncarnation that
        && startedMillis == that.startedMillis
        && id.equals(that.id);
  }

  @Override
  public int hashCode() {
    return 31 * id.hashCode() + Long.hashCode(startedMillis);
  }
}
