package org.fawnvale.serving.http;

/**
 * Limits on what a caller may send and how long it may take, which change with the configuration.
 * Any thread.
 */
public final class RequestLimits {

  /** The longest head while no configuration is known, in bytes. */
  public static final int DEFAULT_HEADER_BYTES = 64 << 10;

  /** Stands for a time without a limit. */
  private static final int UNLIMITED = 0;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private volatile int headerBytes = DEFAULT_HEADER_BYTES;
  private volatile int headerMillis = UNLIMITED;
  private volatile int idleMillis = UNLIMITED;
  private int formerIdleMillis = UNLIMITED;
  private long changedNanos;

  /**
   * Applies the limits of a configuration. Callers rely on the time for which a connection could be
   * idle when they left it, so a shorter one replaces a longer one only after that.
   *
   * @param newHeaderBytes the longest head of a request, in bytes
   * @param newHeaderMillis the longest time from a head's first byte to its end, in milliseconds; 0
   *     for no limit
   * @param newIdleMillis the longest time without a byte from the caller, in milliseconds; 0 for no
   *     limit
   * @param nowNanos the monotonic time in nanoseconds
   */
  public synchronized void update(
      int newHeaderBytes, int newHeaderMillis, int newIdleMillis, long nowNanos) {
    if (newIdleMillis != idleMillis) {
      formerIdleMillis = longer(idleMillis(nowNanos), idleMillis);
      changedNanos = nowNanos;
    }
    headerBytes = newHeaderBytes;
    headerMillis = newHeaderMillis;
    idleMillis = newIdleMillis;
  }

  private static int longer(int millis, int otherMillis) {
    boolean unlimited = millis == UNLIMITED || otherMillis == UNLIMITED;
    return unlimited ? UNLIMITED : Math.max(millis, otherMillis);
  }

  /** Returns the longest head of a request, in bytes. */
  int headerBytes() {
    return headerBytes;
  }

  private synchronized int idleMillis(long nowNanos) {
    long formerNanos = formerIdleMillis * NANOS_PER_MILLI;
    boolean formerHolds = formerIdleMillis > 0 && nowNanos - changedNanos < formerNanos;
    return formerHolds ? longer(formerIdleMillis, idleMillis) : idleMillis;
  }

  /** Returns whether a head whose first byte arrived at a time has taken too long. */
  boolean isHeadLate(long sinceNanos, long nowNanos) {
    return isOver(headerMillis, sinceNanos, nowNanos);
  }

  /** Returns whether a connection whose last byte arrived at a time has been idle for too long. */
  boolean isIdleTooLong(long sinceNanos, long nowNanos) {
    return isOver(idleMillis(nowNanos), sinceNanos, nowNanos);
  }

  private static boolean isOver(int millis, long sinceNanos, long nowNanos) {
    return millis != UNLIMITED && nowNanos - sinceNanos > millis * NANOS_PER_MILLI;
  }
}
