package org.fawnvale.serving.core.admission;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Admits requests to plain services by urgency: the most urgent ones up to the full queue of the
 * upstreams, others up to a shorter one. Not thread-safe.
 */
public final class PlainAdmission {

  /** The load from which on an upstream of a plain service is full for the most urgent requests. */
  private static final double FULL_LOAD = 3;

  /** The least bound: requests find a free slot below it. */
  private static final double MIN_BOUND = 1;

  /** How long an urgency counts as present after a request of it, in nanoseconds. */
  private static final long PRESENT_NANOS = 2_000_000_000L;

  /** More services than any configuration names; bounds the state if names change for ever. */
  private static final int MAX_SERVICES = 256;

  private static final long NEVER = Long.MIN_VALUE;

  private final Map<String, long[]> lastSeenNanos = new HashMap<>();

  /**
   * Counts a request and decides whether it is admitted.
   *
   * @param service the name of the service
   * @param urgency 0, the most urgent, to 9
   * @param load the load of the least loaded upstream: requests in flight relative to slots
   * @param nowNanos the monotonic time, in nanoseconds
   * @return false if more urgent requests should find the remaining room
   */
  public boolean admit(String service, int urgency, double load, long nowNanos) {
    long[] seen = lastSeenNanos.get(service);
    if (seen == null) {
      if (lastSeenNanos.size() >= MAX_SERVICES) {
        return true;
      }
      seen = new long[OfferedByUrgency.URGENCIES];
      Arrays.fill(seen, NEVER);
      lastSeenNanos.put(service, seen);
    }
    seen[urgency] = nowNanos;
    int moreUrgent = 0;
    for (int other = 0; other < urgency; other++) {
      boolean present = seen[other] != NEVER && nowNanos - seen[other] < PRESENT_NANOS;
      moreUrgent += present ? 1 : 0;
    }
    return moreUrgent == 0 || load < Math.max(MIN_BOUND, FULL_LOAD / (1 + moreUrgent));
  }
}
