package org.fawnvale.serving.store;

import org.jspecify.annotations.Nullable;

/**
 * Decides which of two versions of an object takes precedence, independently of their positions in
 * the store. After a rollback the store shows a version that is some seconds old, until the
 * object's writer writes it again.
 *
 * @param <T> the type of the objects
 */
@FunctionalInterface
public interface MergePolicy<T> {

  /**
   * Compares two versions of an object.
   *
   * @param version one version
   * @param other the other version; null when the other side has no such object
   * @return true when {@code version} takes precedence over {@code other}
   */
  boolean prefers(T version, @Nullable T other);

  /**
   * Creates a policy that prefers no version, so that the positions in the store alone decide.
   *
   * @param <T> the type of the objects
   */
  static <T> MergePolicy<T> byPosition() {
    return (version, other) -> false;
  }
}
