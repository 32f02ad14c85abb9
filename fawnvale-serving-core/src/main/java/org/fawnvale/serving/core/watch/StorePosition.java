package org.fawnvale.serving.core.watch;

/**
 * A position in the history of the platform's store. Revisions are assigned again after the store
 * was restored from a backup, so they can only be compared within one era. Compare positions with
 * the methods of this class only.
 *
 * @param revision the revision within the era; for calls to the platform only
 */
public record StorePosition(StoreEra era, long revision) {

  /** The position before anything is known. */
  public static final StorePosition NONE = new StorePosition(StoreEra.UNKNOWN, -1);

  /** Returns false for {@link #NONE}. */
  public boolean isKnown() {
    return revision >= 0;
  }

  /**
   * Tells whether this position is later than another one: in a later era, or further in the same
   * one. A known position is after {@link #NONE}.
   */
  public boolean isAfter(StorePosition other) {
    if (!isKnown() || !other.isKnown()) {
      return isKnown();
    }
    return era.equals(other.era) ? revision > other.revision : era.isAfter(other.era);
  }

  /** Tells whether both positions are known and belong to the same era. */
  public boolean isSameEra(StorePosition other) {
    return isKnown() && other.isKnown() && era.equals(other.era);
  }

  /** Returns the later one of two positions, or this one if neither is later. */
  public StorePosition orLater(StorePosition other) {
    return other.isAfter(this) ? other : this;
  }

  @Override
  public String toString() {
    return isKnown() ? era + "." + revision : "none";
  }
}
