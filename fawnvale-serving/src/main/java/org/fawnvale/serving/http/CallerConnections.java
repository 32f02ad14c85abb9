package org.fawnvale.serving.http;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.fawnvale.serving.core.flow.CallerHolding;
import org.fawnvale.serving.core.flow.CallerMemory;

/**
 * The open connections of callers, whose number is bounded. A new one that finds no room is closed
 * before anything is read from it, so that its caller's retry meets another daemon. Any thread.
 */
public final class CallerConnections {

  /** How long a connection must have had no whole request before it makes room for a new one. */
  private static final long MIN_AGE_NANOS = 1_000_000_000L;

  /**
   * While the daemon is overloaded it takes one new connection in this time, so that callers who
   * reach no other daemon are served in the end.
   */
  private static final long OVERLOADED_INTERVAL_NANOS = 200_000_000L;

  private final int maxOpen;
  private final CallerMemory memory;
  private final LongSupplier monotonicNanos;

  /** What tells of each open connection whether it has taken longer than callers may. */
  private final Map<CallerHolding, BooleanSupplier> open = new LinkedHashMap<>();

  private boolean overloaded;
  private long rejected;
  private long evicted;
  private long expired;
  private long lastAdmittedNanos;

  /**
   * Creates the connections of a daemon.
   *
   * @param maxOpen the most open connections
   * @param memory the account of what callers hold
   */
  public CallerConnections(int maxOpen, CallerMemory memory) {
    this(maxOpen, memory, System::nanoTime);
  }

  /**
   * Creates connections with another clock.
   *
   * @param maxOpen the most open connections
   * @param memory the account of what callers hold
   * @param monotonicNanos the monotonic clock
   */
  CallerConnections(int maxOpen, CallerMemory memory, LongSupplier monotonicNanos) {
    this.maxOpen = maxOpen;
    this.memory = memory;
    this.monotonicNanos = monotonicNanos;
    this.lastAdmittedNanos = monotonicNanos.getAsLong() - OVERLOADED_INTERVAL_NANOS;
  }

  /**
   * Sets whether the daemon has more to do than it can, while others have less.
   *
   * @param isOverloaded whether to close most new connections unread
   */
  public synchronized void setOverloaded(boolean isOverloaded) {
    overloaded = isOverloaded;
  }

  /** Decides whether a new connection is read; closes another one if there is no other room. */
  synchronized boolean admits() {
    long now = monotonicNanos.getAsLong();
    boolean tooSoon = overloaded && now - lastAdmittedNanos < OVERLOADED_INTERVAL_NANOS;
    if (tooSoon || open.size() >= maxOpen && !closeOne(now)) {
      rejected++;
      return false;
    }
    lastAdmittedNanos = now;
    return true;
  }

  private boolean closeOne(long nowNanos) {
    CallerHolding first = memory.firstToGiveWay(open.keySet(), nowNanos, MIN_AGE_NANOS);
    if (first == null || !first.closeUnlessServed()) {
      return false;
    }
    evicted++;
    open.remove(first);
    return true;
  }

  /**
   * Records that a connection is open. Others give way if all together hold too much.
   *
   * @param giveWay closes the connection
   * @param isExpired tells whether it has taken longer than callers may
   * @return what the connection holds
   */
  CallerHolding open(Runnable giveWay, BooleanSupplier isExpired) {
    CallerHolding holding = memory.open(giveWay, monotonicNanos.getAsLong());
    synchronized (this) {
      open.put(holding, isExpired);
    }
    makeRoom();
    return holding;
  }

  /** Returns whether more may be received from callers now. */
  boolean mayReceive() {
    return memory.mayReceive();
  }

  /** Closes connections without a whole request while all together hold too much. */
  void makeRoom() {
    memory.makeRoom(monotonicNanos.getAsLong());
  }

  /** Records that a connection is closed. */
  void closed(CallerHolding holding) {
    synchronized (this) {
      open.remove(holding);
    }
    holding.close();
  }

  /** Closes the connections whose callers have taken longer than they may. */
  public void closeExpired() {
    List<Map.Entry<CallerHolding, BooleanSupplier>> all;
    synchronized (this) {
      all = new ArrayList<>(open.entrySet());
    }
    for (Map.Entry<CallerHolding, BooleanSupplier> each : all) {
      if (each.getValue().getAsBoolean() && each.getKey().closeUnlessServed()) {
        countExpired();
      }
    }
  }

  private synchronized void countExpired() {
    expired++;
  }

  /**
   * Returns the number of open connections.
   *
   * @return their number
   */
  public synchronized int openCount() {
    return open.size();
  }

  /**
   * Returns how many new connections were closed unread.
   *
   * @return their number since the start
   */
  public synchronized long rejectedCount() {
    return rejected;
  }

  /**
   * Returns how many connections were closed to make room for new ones, or because all together
   * held too much.
   *
   * @return their number since the start
   */
  public synchronized long evictedCount() {
    return evicted + memory.gaveWayCount();
  }

  /**
   * Returns how many connections were closed because their callers had taken longer than they may.
   *
   * @return their number since the start
   */
  public synchronized long expiredCount() {
    return expired;
  }
}
