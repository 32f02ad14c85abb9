package org.fawnvale.serving.core.watch;

/**
 * A place in the history of the platform's store. Revisions are given out again after the store has
 * come back from a copy, so a revision alone names no place: a daemon that compared them by number
 * took all that followed such a return for old. Places are compared here and nowhere else.
 *
 * @param era the history
 * @param revision how far in that history; for the platform's calls only, never to be compared
 */
public record StorePosition(StoreEra era, long revision) {

  /** Before anything is known. */
  public static final StorePosition NONE = new StorePosition(StoreEra.UNKNOWN, -1);

  /**
   * Tells whether this is a place at all.
   *
   * @return false for {@link #NONE}
   */
  public boolean isKnown() {
    return revision >= 0;
  }

  /**
   * Tells whether this place is later than another: of a later history, or further in the same one.
   *
   * @param other the other one
   * @return true when what is known here is newer
   */
  public boolean isAfter(StorePosition other) {
    if (!isKnown() || !other.isKnown()) {
      return isKnown();
    }
    return era.equals(other.era) ? revision > other.revision : era.isAfter(other.era);
  }

  /**
   * Tells whether another place is of the same history.
   *
   * @param other the other one
   * @return false when one of them is of another history, or no place at all
   */
  public boolean isSameEra(StorePosition other) {
    return isKnown() && other.isKnown() && era.equals(other.era);
  }

  /**
   * The later one of two places.
   *
   * @param other the other one
   * @return this place, unless the other one is after it
   */
  public StorePosition orLater(StorePosition other) {
    return other.isAfter(this) ? other : this;
  }

  @Override
  public String toString() {
    return isKnown() ? era + "." + revision : "none";
  }
}
