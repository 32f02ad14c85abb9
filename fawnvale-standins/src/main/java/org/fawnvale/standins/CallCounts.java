package org.fawnvale.standins;

/** Counts calls since the last reset, and the highest number of calls in one clock second. */
final class CallCounts {

  private static final long SECOND_NANOS = 1_000_000_000L;

  private long second;
  private long inSecond;
  private long maxInSecond;
  private long total;

  synchronized void count() {
    long now = System.nanoTime() / SECOND_NANOS;
    inSecond = now == second ? inSecond + 1 : 1;
    second = now;
    maxInSecond = Math.max(maxInSecond, inSecond);
    total++;
  }

  synchronized void reset() {
    total = 0;
    maxInSecond = 0;
    inSecond = 0;
  }

  synchronized long total() {
    return total;
  }

  synchronized long maxPerSecond() {
    return maxInSecond;
  }
}
