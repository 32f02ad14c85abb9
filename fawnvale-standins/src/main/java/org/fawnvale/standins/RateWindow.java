package org.fawnvale.standins;

/** Limits the number of calls in each clock second. */
final class RateWindow {

  private static final long SECOND_MILLIS = 1000;

  private final long limit;
  private long second;
  private long used;
  private long total;
  private long refused;

  RateWindow(long limit) {
    this.limit = limit;
  }

  synchronized boolean tryAcquire() {
    long now = System.currentTimeMillis() / SECOND_MILLIS;
    if (now != second) {
      second = now;
      used = 0;
    }
    if (used >= limit) {
      refused++;
      return false;
    }
    used++;
    total++;
    return true;
  }

  synchronized long total() {
    return total;
  }

  synchronized long refused() {
    return refused;
  }
}
