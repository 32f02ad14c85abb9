package org.fawnvale.core.check;

import java.util.Map;

/** Remedies for values that violate a rule of a schema. */
final class Remedies {

  private static final String GENERAL = "Use a value that satisfies the rule.";

  private static final Map<String, String> BY_RULE =
      Map.of(
          "required", "Add the key.",
          "additionalProperties", "Remove the key, or correct its spelling.",
          "type", "Use a value of the expected type.",
          "enum", "Use one of the listed values.",
          "minimum", "Use a larger number.",
          "exclusiveMinimum", "Use a larger number.",
          "maximum", "Use a smaller number.",
          "pattern", "Use a value that matches the pattern.",
          "minLength", "Use a value that is not empty.");

  private Remedies() {}

  static String forRule(String rule) {
    return BY_RULE.getOrDefault(rule, GENERAL);
  }
}
