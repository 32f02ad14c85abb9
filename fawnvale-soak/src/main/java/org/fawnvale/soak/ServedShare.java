package org.fawnvale.soak;

/** Counts the requests of callers and those of them that were served. */
final class ServedShare {

  private int sent;
  private int served;

  void count(boolean isServed) {
    sent++;
    served += isServed ? 1 : 0;
  }

  int sent() {
    return sent;
  }

  int served() {
    return served;
  }

  int failed() {
    return sent - served;
  }

  double share() {
    return (double) served / sent;
  }

  @Override
  public String toString() {
    return served + " of " + sent;
  }
}
