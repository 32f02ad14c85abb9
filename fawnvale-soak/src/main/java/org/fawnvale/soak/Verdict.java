package org.fawnvale.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * The result of a check.
 *
 * @param tempted how many observations could have violated the guarantee; 0 means that the run did
 *     not exercise it
 * @param breaches one line for each violation
 */
record Verdict(int tempted, List<String> breaches) {

  /** Collects the result of a check. */
  static final class Builder {
    private final List<String> breaches = new ArrayList<>();
    private int tempted;

    void countCase() {
      tempted++;
    }

    void addBreach(String text) {
      breaches.add(text);
    }

    Verdict build() {
      return new Verdict(tempted, List.copyOf(breaches));
    }
  }

  Verdict plus(Verdict other) {
    List<String> all = new ArrayList<>(breaches);
    all.addAll(other.breaches());
    return new Verdict(tempted + other.tempted(), List.copyOf(all));
  }
}
