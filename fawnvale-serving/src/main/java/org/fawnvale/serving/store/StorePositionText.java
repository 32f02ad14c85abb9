package org.fawnvale.serving.store;

import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePosition;

/** Text form of a store position, {@code ERA.REVISION}, in the queries that daemons send peers. */
final class StorePositionText {

  private static final String SEPARATOR = ".";
  private static final String NONE = "none";

  private StorePositionText() {}

  static String write(StorePosition position) {
    return position.isKnown() ? position.era().number() + SEPARATOR + position.revision() : NONE;
  }

  /**
   * Parses a position.
   *
   * @throws NumberFormatException when the text is not a position
   */
  static StorePosition read(String text) {
    if (NONE.equals(text)) {
      return StorePosition.NONE;
    }
    int separator = text.indexOf(SEPARATOR);
    if (separator < 0) {
      throw new NumberFormatException(
          "Invalid store position: expected ERA.REVISION or none, got " + text + ".");
    }
    StoreEra era = new StoreEra(Long.parseLong(text.substring(0, separator)));
    return new StorePosition(era, Long.parseLong(text.substring(separator + 1)));
  }
}
