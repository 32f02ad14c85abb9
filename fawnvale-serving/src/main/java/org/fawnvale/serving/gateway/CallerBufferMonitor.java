package org.fawnvale.serving.gateway;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.fawnvale.serving.core.flow.CallerMemory;
import org.fawnvale.serving.core.flow.RequestBody;
import org.fawnvale.serving.core.flow.ResponseBuffer;
import org.fawnvale.serving.http.Timers;

/**
 * Holds the account of the bytes that the daemon holds for callers, and regularly checks the
 * exchanges that wait for their caller or for room. Callers of the methods hold the lock.
 */
final class CallerBufferMonitor {

  /**
   * How often waiting exchanges are checked, in milliseconds: short against the time that a caller
   * may leave its buffer full.
   */
  private static final long PERIOD_MILLIS = 100;

  private final CallerMemory memory;
  private final long stalledNanos;
  private final Timers timers;
  private final GatewayMetrics metrics;
  private final Set<CallerExchange> waiting = new LinkedHashSet<>();
  private boolean checkScheduled;

  CallerBufferMonitor(CallerMemory memory, Timers timers, GatewayMetrics metrics) {
    this.memory = memory;
    this.stalledNanos = memory.limits().stalledMillis() * 1_000_000L;
    this.timers = timers;
    this.metrics = metrics;
    metrics.registerCallerMemory(memory);
  }

  ResponseBuffer newResponse() {
    return new ResponseBuffer(memory);
  }

  RequestBody newBody() {
    return new RequestBody(memory);
  }

  GatewayMetrics metrics() {
    return metrics;
  }

  /** Returns whether a caller that was to notice something since a time has had long enough. */
  boolean isOverdue(long sinceNanos, long nowNanos) {
    return nowNanos - sinceNanos >= stalledNanos;
  }

  /** Starts to check an exchange; {@link CallerExchange#check} says when that ends. */
  void watch(CallerExchange exchange) {
    waiting.add(exchange);
    scheduleCheck();
  }

  /** Schedules a check if any exchange waits, so that a daemon without slow callers has none. */
  private void scheduleCheck() {
    if (!checkScheduled && !waiting.isEmpty()) {
      checkScheduled = true;
      timers.after(PERIOD_MILLIS, this::check);
    }
  }

  void unwatch(CallerExchange exchange) {
    waiting.remove(exchange);
  }

  /** Checks the waiting exchanges in the order in which they began to wait. */
  private void check() {
    checkScheduled = false;
    long now = System.nanoTime();
    for (CallerExchange exchange : List.copyOf(waiting)) {
      if (!exchange.check(now)) {
        waiting.remove(exchange);
      }
    }
    scheduleCheck();
  }
}
