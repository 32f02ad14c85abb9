package org.fawnvale.serving.http;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * The open connections of callers, whose number is bounded. A new one that finds no room is closed
 * before anything is read from it, so that its caller's retry meets another daemon. Used by the
 * dispatch thread, but for the methods that say otherwise.
 */
public final class CallerConnections {

  /** The most open connections: 15 KB each, together a quarter of a heap of 96 MB. */
  private static final int MAX_OPEN = 1_500;

  /** How long a connection must have been idle before it makes room for a new one. */
  private static final long MIN_IDLE_NANOS = 1_000_000_000L;

  /** The oldest connections that are looked through for an idle one. */
  private static final int MAX_CHECKED = 64;

  /**
   * While the daemon is overloaded it takes one new connection in this time, so that callers who
   * reach no other daemon are served in the end.
   */
  private static final long OVERLOADED_INTERVAL_NANOS = 200_000_000L;

  private final int maxOpen;
  private final LongSupplier monotonicNanos;

  /** The time of the last input of each connection, longest ago first. */
  private final Map<CallerConnection, Long> lastInput = new LinkedHashMap<>(16, 0.75f, true);

  private volatile boolean overloaded;
  private volatile int open;
  private volatile long rejected;
  private volatile long evicted;
  private long lastAdmittedNanos;

  /** Creates the connections of a daemon. */
  public CallerConnections() {
    this(MAX_OPEN, System::nanoTime);
  }

  /**
   * Creates connections with another bound.
   *
   * @param maxOpen the most open connections
   * @param monotonicNanos the monotonic clock
   */
  CallerConnections(int maxOpen, LongSupplier monotonicNanos) {
    this.maxOpen = maxOpen;
    this.monotonicNanos = monotonicNanos;
    this.lastAdmittedNanos = monotonicNanos.getAsLong() - OVERLOADED_INTERVAL_NANOS;
  }

  /** The connection of a caller. */
  interface CallerConnection {

    /** Returns whether no request is in progress on it. */
    boolean isIdle();

    /** Closes it at once. */
    void close();
  }

  /**
   * Sets whether the daemon has more to do than it can, while others have less. Any thread.
   *
   * @param isOverloaded whether to close most new connections unread
   */
  public void setOverloaded(boolean isOverloaded) {
    overloaded = isOverloaded;
  }

  /** Decides whether a new connection is read; closes an idle one if there is no other room. */
  boolean admits() {
    long now = monotonicNanos.getAsLong();
    boolean tooSoon = overloaded && now - lastAdmittedNanos < OVERLOADED_INTERVAL_NANOS;
    if (tooSoon || lastInput.size() >= maxOpen && !closeIdle(now)) {
      rejected++;
      return false;
    }
    lastAdmittedNanos = now;
    return true;
  }

  private boolean closeIdle(long nowNanos) {
    CallerConnection idle = longestIdle(nowNanos);
    if (idle == null) {
      return false;
    }
    evicted++;
    closed(idle);
    idle.close();
    return true;
  }

  /** Copies the oldest ones first, since a look at a map in order of access must not change it. */
  private @Nullable CallerConnection longestIdle(long nowNanos) {
    List<Map.Entry<CallerConnection, Long>> oldest = new ArrayList<>();
    for (Map.Entry<CallerConnection, Long> entry : lastInput.entrySet()) {
      if (oldest.size() == MAX_CHECKED || nowNanos - entry.getValue() < MIN_IDLE_NANOS) {
        break;
      }
      oldest.add(entry);
    }
    for (Map.Entry<CallerConnection, Long> entry : oldest) {
      if (entry.getKey().isIdle()) {
        return entry.getKey();
      }
    }
    return null;
  }

  /** Records that a connection is open, or that bytes have arrived on it. */
  void active(CallerConnection connection) {
    lastInput.put(connection, monotonicNanos.getAsLong());
    open = lastInput.size();
  }

  void closed(CallerConnection connection) {
    lastInput.remove(connection);
    open = lastInput.size();
  }

  /**
   * Returns the number of open connections. Any thread.
   *
   * @return their number
   */
  public int openCount() {
    return open;
  }

  /**
   * Returns how many new connections were closed unread. Any thread.
   *
   * @return their number since the start
   */
  public long rejectedCount() {
    return rejected;
  }

  /**
   * Returns how many idle connections were closed to make room. Any thread.
   *
   * @return their number since the start
   */
  public long evictedCount() {
    return evicted;
  }
}
