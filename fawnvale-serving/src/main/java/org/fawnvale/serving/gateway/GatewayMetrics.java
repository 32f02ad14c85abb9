package org.fawnvale.serving.gateway;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Meter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.fawnvale.serving.core.admission.WaitingQueue;
import org.fawnvale.serving.core.flow.CallerMemory;
import org.fawnvale.serving.core.quarantine.PartQuarantine;
import org.fawnvale.serving.core.quarantine.Quarantine;
import org.jspecify.annotations.Nullable;

/** Counters and histograms of the gateway. */
public final class GatewayMetrics {

  /** The route of requests that were not taken on. */
  static final String NO_ROUTE = "none";

  private static final String REQUESTS = "fawnvale.requests";
  private static final String ANSWER_MILLIS = "fawnvale.answer.ms";
  private static final String FIRST_PIECE_MILLIS = "fawnvale.first.piece.ms";
  private static final List<String> ROUTE_COUNTERS = List.of(REQUESTS);
  private static final List<String> ROUTE_HISTOGRAMS = List.of(ANSWER_MILLIS, FIRST_PIECE_MILLIS);

  private final MeterRegistry registry;

  /** By name, then by the value of the tag: two look-ups instead of a new key for each event. */
  private final Map<String, Map<String, Counter>> counters = new HashMap<>();

  private final Map<String, Map<String, DistributionSummary>> histograms = new HashMap<>();
  private final Set<String> levels = new HashSet<>();

  /**
   * Creates the metrics.
   *
   * @param registry registry that holds them
   */
  public GatewayMetrics(MeterRegistry registry) {
    this.registry = registry;
  }

  void received(String route) {
    count(REQUESTS, "route", route);
  }

  void ended(String route, int status, long millis) {
    count("fawnvale.answers", "status", String.valueOf(status));
    record(ANSWER_MILLIS, "route", route, millis);
  }

  /** Counts an answer that does not name the request to which it came. */
  void foreignAnswer(int status) {
    count("fawnvale.answers.foreign", "status", String.valueOf(status));
  }

  void firstResponsePart(String route, long millis) {
    record(FIRST_PIECE_MILLIS, "route", route, millis);
  }

  void event(@Nullable String model, boolean betweenEvents, long millis) {
    String name = betweenEvents ? "fawnvale.event.gap.ms" : "fawnvale.first.event.ms";
    record(name, "model", model == null ? "none" : model, millis);
  }

  void forecast(String model, double predictedMillis, double observedMillis) {
    record("fawnvale.admission.predicted.ms", "model", model, Math.round(predictedMillis));
    record("fawnvale.admission.observed.ms", "model", model, Math.round(observedMillis));
  }

  /** Registers the admission level of a model, once. */
  void admissionLevel(String model, Supplier<Number> level) {
    if (levels.add(model)) {
      Gauge.builder("fawnvale.admission.level", level).tag("model", model).register(registry);
    }
  }

  void admissionRefused(int urgency, String reason) {
    registry
        .counter("fawnvale.admission.refused", "urgency", String.valueOf(urgency), "reason", reason)
        .increment();
  }

  /** Registers the number of requests that wait for an upstream. */
  void registerWaiting(WaitingQueue<?> queue) {
    registry.gauge("fawnvale.waiting.requests", queue, WaitingQueue::size);
  }

  void waitingEnded(String outcome, long waitedNanos) {
    count("fawnvale.waiting.ended", "outcome", outcome);
    registry.timer("fawnvale.waiting.time").record(waitedNanos, TimeUnit.NANOSECONDS);
  }

  void retry(boolean taken) {
    count("fawnvale.repeats", "outcome", taken ? "sent" : "over_budget");
  }

  /** Registers how many daemons share the retry budgets. */
  void registerRetryDaemons(Supplier<Number> daemons) {
    Gauge.builder("fawnvale.repeats.daemons", daemons).register(registry);
  }

  /**
   * Registers the retry budget of a service.
   *
   * @param left the retries that this daemon may send now
   * @param share this daemon's share of the slack
   */
  void registerRetryBudget(String service, Supplier<Number> left, Supplier<Number> share) {
    Gauge.builder("fawnvale.repeats.left", left).tag("service", service).register(registry);
    Gauge.builder("fawnvale.repeats.share", share).tag("service", service).register(registry);
  }

  /** Counts a head whose streams are silent for longer than those of a working group. */
  void silentHead(String outcome) {
    count("fawnvale.heads.silent", "outcome", outcome);
  }

  /** Counts a request that was sent to a node. */
  void sent(SendPayment payment) {
    count("fawnvale.sends", "paid_by", payment.toString());
  }

  /** Counts an attempt that this daemon itself has ended, though it might have gone on. */
  void givenUp() {
    count("fawnvale.attempts.ended", "outcome", "given_up");
  }

  /** Counts a request that a fault of this daemon has ended. */
  void failedInside() {
    count("fawnvale.attempts.ended", "outcome", "daemon_fault");
  }

  /** Counts an answer that this daemon has cut after its caller had received a part. */
  void cut() {
    count("fawnvale.attempts.ended", "outcome", "cut");
  }

  /** Counts a request that another daemon is to serve. */
  void forwarded() {
    count("fawnvale.forwarded", "direction", "out");
  }

  /** Counts a request that another daemon forwards to this one. */
  void forwardedHere() {
    count("fawnvale.forwarded", "direction", "in");
  }

  void refusedForEvacuation() {
    count("fawnvale.evacuation.requests", "outcome", "refused");
  }

  void registerQuarantine(Quarantine quarantine) {
    registry.gauge("fawnvale.quarantine.records", quarantine, Quarantine::size);
    registry.gauge("fawnvale.quarantine.barred", quarantine, Quarantine::quarantinedCount);
  }

  void registerPartQuarantine(PartQuarantine quarantine) {
    registry.gauge("fawnvale.parts.records", quarantine, PartQuarantine::size);
    registry.gauge("fawnvale.parts.barred", quarantine, PartQuarantine::barredCount);
  }

  void partBarred() {
    registry.counter("fawnvale.parts.bars").increment();
  }

  /** Counts a request that is refused because of a part of its prompt. */
  void refusedForPart() {
    registry.counter("fawnvale.parts.refused").increment();
  }

  void nodeExit(boolean quarantined) {
    count("fawnvale.ends.under.requests", "outcome", quarantined ? "barred" : "noted");
  }

  void registerCallerMemory(CallerMemory memory) {
    registry.gauge("fawnvale.callers.held.bytes", memory, CallerMemory::held);
    registry.gauge("fawnvale.callers.connections.bytes", memory, CallerMemory::connectionBytes);
  }

  void callerClosedUnread() {
    count("fawnvale.callers.closed", "reason", "unread");
  }

  void inputSuspended(String input) {
    count("fawnvale.inputs.suspended", "input", input);
  }

  /** Drops the meters of all other routes, which the configuration no longer has. */
  void retainRoutes(Set<String> names) {
    ROUTE_COUNTERS.forEach(name -> retain(counters.get(name), names));
    ROUTE_HISTOGRAMS.forEach(name -> retain(histograms.get(name), names));
  }

  private <T extends Meter> void retain(@Nullable Map<String, T> byRoute, Set<String> names) {
    if (byRoute == null) {
      return;
    }
    byRoute
        .entrySet()
        .removeIf(
            meter -> {
              boolean gone = !names.contains(meter.getKey()) && !NO_ROUTE.equals(meter.getKey());
              if (gone) {
                registry.remove(meter.getValue());
              }
              return gone;
            });
  }

  private void count(String name, String tag, String value) {
    Map<String, Counter> byValue = counters.computeIfAbsent(name, key -> new HashMap<>());
    Counter counter = byValue.get(value);
    if (counter == null) {
      counter = registry.counter(name, tag, value);
      byValue.put(value, counter);
    }
    counter.increment();
  }

  private void record(String name, String tag, String value, long millis) {
    Map<String, DistributionSummary> byValue =
        histograms.computeIfAbsent(name, key -> new HashMap<>());
    DistributionSummary histogram = byValue.get(value);
    if (histogram == null) {
      histogram =
          DistributionSummary.builder(name)
              .tag(tag, value)
              .serviceLevelObjectives(
                  5, 10, 20, 30, 50, 75, 100, 125, 150, 200, 250, 300, 400, 600, 1000, 2000, 5000)
              .register(registry);
      byValue.put(value, histogram);
    }
    histogram.record(millis);
  }
}
