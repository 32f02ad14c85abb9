package org.fawnvale.serving.core.quarantine;

import java.util.ArrayList;
import java.util.List;

/** Selects some elements of a list for each message, so that all are sent in turn. */
final class Rotation {

  private Rotation() {}

  /**
   * Selects elements.
   *
   * @param limit the most to select
   * @param message the number of the message
   */
  static <T> List<T> select(List<T> all, int limit, int message) {
    if (all.size() <= limit) {
      return all;
    }
    List<T> selected = new ArrayList<>();
    for (int index = 0; index < limit; index++) {
      selected.add(all.get(Math.floorMod(message * limit + index, all.size())));
    }
    return selected;
  }
}
