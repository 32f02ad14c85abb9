package org.fawnvale.standins;

/** Counts calls since a moment, and the most within any second of them. */
final class CallCounts {

  private static final long SECOND_NANOS = 1_000_000_000L;

  private long second;
  private long inSecond;
  private long most;
  private long total;

  synchronized void count() {
    long now = System.nanoTime() / SECOND_NANOS;
    inSecond = now == second ? inSecond + 1 : 1;
    second = now;
    most = Math.max(most, inSecond);
    total++;
  }

  synchronized void reset() {
    total = 0;
    most = 0;
    inSecond = 0;
  }

  synchronized long total() {
    return total;
  }

  synchronized long mostASecond() {
    return most;
  }
}
