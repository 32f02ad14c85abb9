package org.fawnvale.serving.core.model;

/**
 * One life of a node or daemon: from a start to its end. A node may start again under the id that
 * it had; it then holds and knows nothing of before.
 *
 * @param id the id, which may be that of an earlier life
 * @param startedMillis when it started, in milliseconds of Unix time as it tells it; {@link
 *     #UNKNOWN_START} when it does not tell
 */
public record NodeIncarnation(String id, long startedMillis) {

  /** The start of a node that does not tell when it started: each of its ids has one life. */
  public static final long UNKNOWN_START = 0;

  /**
   * The only life of an id.
   *
   * @param id the id
   * @return the life
   */
  public static NodeIncarnation only(String id) {
    return new NodeIncarnation(id, UNKNOWN_START);
  }
}
