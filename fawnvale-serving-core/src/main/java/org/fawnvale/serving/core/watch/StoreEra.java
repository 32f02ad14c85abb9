package org.fawnvale.serving.core.watch;

/**
 * Which of its histories the platform's store is in. It begins a new one when it comes back from a
 * copy: what it had acknowledged since that copy was made is gone, and its revisions are given out
 * again.
 *
 * @param number rises by one with each history; {@link #UNKNOWN} when the store does not tell
 */
public record StoreEra(long number) {

  /** The only era of a store that tells of none, or whose word can't be read. */
  public static final StoreEra UNKNOWN = new StoreEra(0);

  /**
   * Tells whether this history began after another.
   *
   * @param other the other one
   * @return true when it is the later one
   */
  public boolean isAfter(StoreEra other) {
    return number > other.number;
  }

  @Override
  public String toString() {
    return Long.toString(number);
  }
}
