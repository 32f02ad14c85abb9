package org.fawnvale.core.result;

import java.util.function.Function;

/**
 * The result of an operation: either a value or a problem.
 *
 * @param <T> the type of the value
 */
public sealed interface Result<T> {

  /**
   * A successful result.
   *
   * @param <T> the type of the value
   */
  record Success<T>(T value) implements Result<T> {}

  /**
   * A failed result.
   *
   * @param <T> the type of the value that is missing
   */
  record Failure<T>(Problem problem) implements Result<T> {}

  /**
   * Creates a successful result.
   *
   * @param <T> the type of the value
   */
  static <T> Result<T> success(T value) {
    return new Success<>(value);
  }

  /**
   * Creates a failed result.
   *
   * @param <T> the type of the value that is missing
   */
  static <T> Result<T> failure(Problem problem) {
    return new Failure<>(problem);
  }

  /**
   * Maps a success or a failure to a value of the same type.
   *
   * @param onSuccess applied to the value
   * @param onFailure applied to the problem
   * @param <R> the type of the mapped value
   * @return the mapped value
   */
  default <R> R fold(Function<? super T, R> onSuccess, Function<Problem, R> onFailure) {
    if (this instanceof Success<T> success) {
      return onSuccess.apply(success.value());
    }
    return onFailure.apply(((Failure<T>) this).problem());
  }

  /**
   * Maps the value of a success; a failure stays as it is.
   *
   * @param mapper applied to the value
   * @param <R> the new type of the value
   * @return a success with the mapped value, or the same failure
   */
  default <R> Result<R> map(Function<? super T, R> mapper) {
    return fold(value -> success(mapper.apply(value)), Result::failure);
  }

  /** Returns true for a success. */
  default boolean isSuccess() {
    return this instanceof Success;
  }
}
