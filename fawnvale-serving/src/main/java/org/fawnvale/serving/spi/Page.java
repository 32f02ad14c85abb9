package org.fawnvale.serving.spi;

import java.util.List;
import org.fawnvale.serving.core.watch.StorePosition;

/**
 * A page of a list, or the events of a watch.
 *
 * @param items objects or events
 * @param more whether another page follows
 * @param lastName name after which the next page begins
 * @param place position of the store in its history
 * @param <T> type of the content of the items
 */
public record Page<T>(List<Item<T>> items, boolean more, String lastName, StorePosition place) {

  /**
   * An object, or a change of one.
   *
   * @param name name of the object
   * @param place position of its last change
   * @param deleted whether the object was deleted
   * @param value content; null if the object was deleted or is malformed
   * @param <T> type of the content
   */
  public record Item<T>(
      String name,
      StorePosition place,
      boolean deleted,
      @org.jspecify.annotations.Nullable T value) {}
}
