package org.fawnvale.core.check;

import java.util.List;
import org.fawnvale.core.result.Problem;
import org.jspecify.annotations.Nullable;

/**
 * The result of validating a document.
 *
 * @param value the document; null when there are problems
 * @param problems all problems; empty for a valid document
 * @param <T> the type of the document
 */
public record CheckedDocument<T>(@Nullable T value, List<Problem> problems) {

  /** Copies the list. */
  public CheckedDocument {
    problems = List.copyOf(problems);
  }
}
