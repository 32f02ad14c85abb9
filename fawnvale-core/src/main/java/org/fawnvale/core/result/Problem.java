package org.fawnvale.core.result;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.jspecify.annotations.Nullable;

/**
 * An error in an input, or a refusal by the system.
 *
 * @param kind the kind of the problem
 * @param key the path of the invalid key; null when the problem does not concern a single key
 * @param value the invalid value; null when it is absent or secret
 * @param message what is wrong, in one sentence
 * @param remedy how to fix it, in one sentence
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Problem(
    ProblemKind kind, @Nullable String key, @Nullable String value, String message, String remedy) {

  /** Creates a problem without a key. */
  public static Problem of(ProblemKind kind, String message, String remedy) {
    return new Problem(kind, null, null, message, remedy);
  }

  /** Creates a problem of kind {@link ProblemKind#INVALID} for a key and its value. */
  public static Problem invalid(String key, @Nullable Object value, String message, String remedy) {
    String text = value == null ? null : String.valueOf(value);
    return new Problem(ProblemKind.INVALID, key, text, message, remedy);
  }

  /** Returns the problem as one line: key, value, message, remedy. */
  public String describe() {
    StringBuilder line = new StringBuilder();
    if (key != null) {
      line.append(key);
      if (value != null) {
        line.append(" = ").append(value);
      }
      line.append(": ");
    }
    return line.append(message).append(' ').append(remedy).toString();
  }
}
