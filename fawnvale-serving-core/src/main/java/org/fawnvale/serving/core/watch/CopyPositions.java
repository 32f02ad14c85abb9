package org.fawnvale.serving.core.watch;

/**
 * The positions of a daemon's local copies of the store's objects, which it sends to its peers.
 *
 * @param configuration the position of the newest change in its copy of the configuration
 * @param version the configuration version in force; negative if there is none yet
 * @param nodes the position of the newest change in its copy of the nodes
 */
public record CopyPositions(StorePosition configuration, long version, StorePosition nodes) {

  /** The positions of a daemon without any copy. */
  public static final CopyPositions NONE =
      new CopyPositions(StorePosition.NONE, -1, StorePosition.NONE);
}
