package org.fawnvale.soak;

import java.util.ArrayList;
import java.util.List;

/**
 * What came of a check.
 *
 * @param tempted how often the run could have broken the promise; 0 means that it was not put to
 *     the test
 * @param breaches one line for each breach
 */
record Verdict(int tempted, List<String> breaches) {

  /** Gathers a verdict. */
  static final class Builder {
    private final List<String> breaches = new ArrayList<>();
    private int tempted;

    void tempted() {
      tempted++;
    }

    void breach(String text) {
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
