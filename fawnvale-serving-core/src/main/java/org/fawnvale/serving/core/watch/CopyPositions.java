package org.fawnvale.serving.core.watch;

/**
 * What a daemon tells others of its copies of the store's objects.
 *
 * @param configuration the place of the newest change in its copy of the configuration
 * @param version the version that it has in force; negative before the first
 * @param nodes the place of the newest change in its copy of the nodes
 */
public record CopyPositions(StorePosition configuration, long version, StorePosition nodes) {

  /** A daemon that knows nothing yet. */
  public static final CopyPositions NONE =
      new CopyPositions(StorePosition.NONE, -1, StorePosition.NONE);
}
