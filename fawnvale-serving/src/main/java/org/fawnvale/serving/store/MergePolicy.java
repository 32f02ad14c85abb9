package org.fawnvale.serving.store;

import org.jspecify.annotations.Nullable;

/**
 * Whether what is known of an object stays in force against what the store shows. A store that has
 * come back from a copy shows what was in force some seconds ago, until its writer writes again.
 *
 * @param <T> the type of the objects
 */
@FunctionalInterface
public interface MergePolicy<T> {

  /**
   * Compares what is known with what is told.
   *
   * @param known what this daemon knows
   * @param told what the store shows, or a peer tells; null when it shows none
   * @return true when what is known goes before
   */
  boolean keeps(T known, @Nullable T told);

  /**
   * The store's word holds, whatever it is.
   *
   * @param <T> the type of the objects
   * @return the rule
   */
  static <T> MergePolicy<T> ofStore() {
    return (known, told) -> false;
  }
}
