package org.fawnvale.serving.core.watch;

import org.jspecify.annotations.Nullable;

/**
 * One history of the platform's store. A new era begins when the store is restored from a backup:
 * writes that it acknowledged after the backup are lost, and their revisions are assigned again.
 *
 * @param number increases by one with each era; 0 when the store reports none
 */
public record StoreEra(long number) {

  /** The era of a store that reports none, or none that can be parsed. */
  public static final StoreEra UNKNOWN = new StoreEra(0);

  /** Tells whether this era is later than another one. */
  public boolean isAfter(StoreEra other) {
    return number > other.number;
  }

  @Override
  public String toString() {
    return Long.toString(number);
  }

  // Explicit, see "Records that are compared often" in docs/DEVELOPING.md.
  @Override
  public boolean equals(@Nullable Object other) {
    return other instanceof StoreEra that && number == that.number;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(number);
  }
}
