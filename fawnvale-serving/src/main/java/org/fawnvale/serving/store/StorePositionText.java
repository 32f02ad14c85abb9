package org.fawnvale.serving.store;

import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePosition;

/** A place in the store's history as text, for the questions that daemons ask each other. */
final class StorePositionText {

  private static final String SEPARATOR = ".";
  private static final String NONE = "none";

  private StorePositionText() {}

  static String write(StorePosition place) {
    return place.isKnown() ? place.era().number() + SEPARATOR + place.revision() : NONE;
  }

  /**
   * Reads a place.
   *
   * @throws NumberFormatException when the text names none
   */
  static StorePosition read(String text) {
    if (NONE.equals(text)) {
      return StorePosition.NONE;
    }
    int separator = text.indexOf(SEPARATOR);
    if (separator < 0) {
      throw new NumberFormatException("A place is written as 3.120 or none, not as " + text + ".");
    }
    StoreEra era = new StoreEra(Long.parseLong(text.substring(0, separator)));
    return new StorePosition(era, Long.parseLong(text.substring(separator + 1)));
  }
}
