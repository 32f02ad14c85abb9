package org.fawnvale.serving.spi;

import java.util.List;
import org.fawnvale.serving.core.watch.StorePosition;

/**
 * A page of a list, or the events of a watch.
 *
 * @param items what the page holds
 * @param more whether another page follows
 * @param lastName the name that the next page begins after
 * @param place the store's place in its history
 * @param <T> the type of the items
 */
public record Page<T>(List<Item<T>> items, boolean more, String lastName, StorePosition place) {

  /**
   * One object.
   *
   * @param name its name
   * @param place the place of its last change
   * @param deleted whether it is gone
   * @param value its content; null when it is gone or can't be read
   * @param <T> the type of the content
   */
  public record Item<T>(
      String name,
      StorePosition place,
      boolean deleted,
      @org.jspecify.annotations.Nullable T value) {}
}
