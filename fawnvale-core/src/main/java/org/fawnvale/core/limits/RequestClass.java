package org.fawnvale.core.limits;

import java.util.Locale;
import java.util.Optional;

/** The priority class of a request; classes divide the share of their workspace by weight. */
public enum RequestClass {
  /** A person is waiting for the response. */
  INTERACTIVE(4),
  /** The default class. */
  STANDARD(2),
  /** Background work without a waiting person. */
  BATCH(1);

  private final int weight;

  RequestClass(int weight) {
    this.weight = weight;
  }

  /** Returns the weight of the class within its workspace, relative to the other classes. */
  public int weight() {
    return weight;
  }

  /** Returns the lower-case name that requests, logs and metrics use. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  /**
   * Parses the name of a class.
   *
   * @param text the name, case-insensitive
   * @return the class, or nothing for an unknown name
   */
  public static Optional<RequestClass> parse(String text) {
    for (RequestClass each : values()) {
      if (each.name().equalsIgnoreCase(text)) {
        return Optional.of(each);
      }
    }
    return Optional.empty();
  }
}
