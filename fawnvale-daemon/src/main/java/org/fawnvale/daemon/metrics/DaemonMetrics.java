package org.fawnvale.daemon.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fawnvale.core.limits.RequestClass;

/** The daemon's metrics; docs/METRICS.md lists them. */
public final class DaemonMetrics {

  private static final Duration[] BUCKETS = {
    Duration.ofMillis(2),
    Duration.ofMillis(5),
    Duration.ofMillis(10),
    Duration.ofMillis(25),
    Duration.ofMillis(52),
    Duration.ofMillis(100),
    Duration.ofMillis(250),
    Duration.ofMillis(490),
    Duration.ofSeconds(1),
    Duration.ofMillis(2500),
    Duration.ofSeconds(5),
    Duration.ofSeconds(15),
    Duration.ofSeconds(60)
  };

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Map<TimerKey, Timer> timers = new ConcurrentHashMap<>();

  private record TimerKey(
      String name, String workspace, RequestClass requestClass, String outcome) {}

  /**
   * Records a request that has ended.
   *
   * @param outcome the label of its outcome
   * @param nanos how long it took, nanoseconds
   */
  public void recordRequest(
      String workspace, RequestClass requestClass, String outcome, long nanos) {
    timer("fawnvale.request", workspace, requestClass, outcome).record(nanos, NANOS);
  }

  /**
   * Records how long a request waited in the admission queue.
   *
   * @param nanos how long, nanoseconds
   */
  public void recordQueueTime(String workspace, RequestClass requestClass, long nanos) {
    timer("fawnvale.queue", workspace, requestClass, "").record(nanos, NANOS);
  }

  /**
   * Records the time from sending a request upstream to the first piece of its stream.
   *
   * @param nanos how long, nanoseconds
   */
  public void recordTimeToFirstToken(String workspace, RequestClass requestClass, long nanos) {
    timer("fawnvale.first.token", workspace, requestClass, "").record(nanos, NANOS);
  }

  /**
   * Records the time between two pieces of a stream.
   *
   * @param nanos how long, nanoseconds
   */
  public void recordInterTokenTime(String workspace, RequestClass requestClass, long nanos) {
    timer("fawnvale.between.tokens", workspace, requestClass, "").record(nanos, NANOS);
  }

  private Timer timer(String name, String workspace, RequestClass requestClass, String outcome) {
    TimerKey key = new TimerKey(name, workspace, requestClass, outcome);
    return timers.computeIfAbsent(key, this::build);
  }

  private Timer build(TimerKey key) {
    Timer.Builder builder =
        Timer.builder(key.name())
            .tag("workspace", key.workspace())
            .tag("class", key.requestClass().label())
            .serviceLevelObjectives(BUCKETS);
    if (!key.outcome().isEmpty()) {
      builder.tag("outcome", key.outcome());
    }
    return builder.register(registry);
  }

  /**
   * Registers a gauge whose value is read at each scrape.
   *
   * @param unit its unit; empty for none
   * @param description the description shown with the metric
   * @param value supplies the current value; called by the scraping thread
   */
  public void gauge(String name, String unit, String description, Supplier<Number> value) {
    Gauge.builder(name, value)
        .baseUnit(unit.isEmpty() ? null : unit)
        .description(description)
        .strongReference(true)
        .register(registry);
  }

  /**
   * Returns the counter with a name and a tag; registers it on first use.
   *
   * @param tag the name of its tag
   * @param value the tag's value
   */
  public Counter counter(String name, String tag, String value) {
    return Counter.builder(name).tag(tag, value).register(registry);
  }

  /** Returns all metrics in the Prometheus text format. */
  public String scrape() {
    return registry.scrape();
  }

  private static final TimeUnit NANOS = TimeUnit.NANOSECONDS;
}
