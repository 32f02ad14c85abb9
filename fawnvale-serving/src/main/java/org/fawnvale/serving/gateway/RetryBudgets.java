package org.fawnvale.serving.gateway;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.dispatch.RetryBudget;
import org.fawnvale.serving.core.model.Settings;

/**
 * The retry budgets of all services, with their metrics and log lines. Callers of the methods hold
 * the daemon's lock.
 */
final class RetryBudgets {

  private static final Logger LOG = LogManager.getLogger("retry");

  /** The shortest time between two lines about refused retries of one service. */
  private static final long REFUSAL_LOG_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Settings.Bounds bounds;
  private final GatewayMetrics metrics;
  private final long startedNanos;
  private final Map<String, Entry> entries = new HashMap<>();
  private int daemonCount;
  private long countedNanos;

  /** The budget of one service, and what is logged about it. */
  private static final class Entry {
    private final RetryBudget budget;
    private long sent;
    private long refused;
    private long reported;
    private long lastRefusalLogNanos;

    Entry(RetryBudget budget, long nowNanos) {
      this.budget = budget;
      this.lastRefusalLogNanos = nowNanos - REFUSAL_LOG_NANOS;
    }
  }

  /**
   * Creates the budgets of a daemon that has just started.
   *
   * @param bounds the ratio, slack and window of the retries
   * @param startedNanos the monotonic time at which the process started, in nanoseconds
   */
  RetryBudgets(Settings.Bounds bounds, GatewayMetrics metrics, long startedNanos) {
    this.bounds = bounds;
    this.metrics = metrics;
    this.startedNanos = startedNanos;
    this.countedNanos = startedNanos;
    metrics.registerRetryDaemons(() -> daemonCount);
  }

  /** Sets how many daemons share the budgets, this one included; 0 if not known. */
  void setDaemonCount(int count) {
    if (count == daemonCount) {
      return;
    }
    LOG.info("daemons={} before={} outcome=counted", count, daemonCount);
    daemonCount = count;
    countedNanos = System.nanoTime();
  }

  /** Counts a request of a caller. */
  void recordRequest(String service, long receivedNanos) {
    entry(service).budget.recordRequest(daemonCount, receivedNanos);
  }

  /**
   * Takes one retry from a service's budget.
   *
   * @return false if the budget is exhausted; the retry must not be sent then
   */
  boolean take(String service) {
    long now = System.nanoTime();
    Entry entry = entry(service);
    boolean taken = entry.budget.tryTake(daemonCount, now);
    metrics.retry(taken);
    if (taken) {
      entry.sent++;
    } else {
      entry.refused++;
      logRefusal(service, entry, now);
    }
    return taken;
  }

  private void logRefusal(String service, Entry entry, long now) {
    if (now - entry.lastRefusalLogNanos >= REFUSAL_LOG_NANOS) {
      entry.lastRefusalLogNanos = now;
      log(service, entry, now, "over_budget");
    }
  }

  /**
   * Logs the budget of each service that retries were sent to or refused for since the last call.
   */
  void logSummary() {
    long now = System.nanoTime();
    entries.forEach(
        (service, entry) -> {
          if (entry.sent + entry.refused > entry.reported) {
            entry.reported = entry.sent + entry.refused;
            log(service, entry, now, "summary");
          }
        });
  }

  private void log(String service, Entry entry, long now, String outcome) {
    LOG.info(
        "service={} left={} share={} sent={} refused={} daemons={} counted_ms={} life_ms={}"
            + " outcome={}",
        service,
        oneDecimal(entry.budget.left(daemonCount, now)),
        oneDecimal(entry.budget.slackShare(daemonCount)),
        entry.sent,
        entry.refused,
        daemonCount,
        TimeUnit.NANOSECONDS.toMillis(now - countedNanos),
        TimeUnit.NANOSECONDS.toMillis(now - startedNanos),
        outcome);
  }

  private static String oneDecimal(double retries) {
    return String.format(Locale.ROOT, "%.1f", retries);
  }

  private Entry entry(String service) {
    Entry known = entries.get(service);
    return known == null ? create(service) : known;
  }

  private Entry create(String service) {
    long windowNanos = TimeUnit.MILLISECONDS.toNanos(bounds.retryWindowMillis());
    RetryBudget budget =
        new RetryBudget(bounds.retryRatio(), bounds.retrySlack(), windowNanos, startedNanos);
    metrics.registerRetryBudget(
        service,
        () -> budget.left(daemonCount, System.nanoTime()),
        () -> budget.slackShare(daemonCount));
    Entry created = new Entry(budget, System.nanoTime());
    entries.put(service, created);
    return created;
  }
}
