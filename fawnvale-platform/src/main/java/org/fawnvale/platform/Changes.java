package org.fawnvale.platform;

import java.util.List;

/**
 * The result of a watch.
 *
 * @param revision the platform's revision up to which the changes are complete
 * @param objects the objects that changed, each in its newest version
 */
public record Changes(long revision, List<StoredObject> objects) {

  /** Copies the list. */
  public Changes {
    objects = List.copyOf(objects);
  }
}
