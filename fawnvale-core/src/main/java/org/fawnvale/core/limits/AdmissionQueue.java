package org.fawnvale.core.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.fawnvale.core.outcome.Outcome;

/**
 * A fair queue of requests with admission control.
 *
 * <p>The queue refuses a request that is expected to end after its deadline, both on arrival and
 * before dispatch, because it would use capacity that other requests could use in time. It also
 * refuses a request whose flow has too many waiting requests. Not thread-safe; the owner has to
 * synchronize. All times are in nanoseconds of one monotonic clock.
 *
 * @param <T> the type of the requests
 */
public final class AdmissionQueue<T> {

  private static final double MINIMUM_SERVICE_FACTOR = 0.7;
  private static final double SMOOTHING_FACTOR = 0.1;

  private final FairQueue<Waiting<T>> queue;
  private final Map<String, FlowEstimate> estimates = new HashMap<>();

  private record Waiting<T>(T request, String flow, long deadlineNanos) {}

  /** Estimates for one flow: the waiting time in its queue and the service time of its requests. */
  private static final class FlowEstimate {
    private final WaitEstimate wait = new WaitEstimate();
    private double serviceNanos;

    /**
     * A lower estimate of the service time, so that only requests that would almost surely be late
     * are refused.
     */
    long minimumServiceNanos() {
      return (long) (serviceNanos * MINIMUM_SERVICE_FACTOR);
    }
  }

  private AdmissionQueue(int maximumPerFlow) {
    this.queue = FairQueue.create(maximumPerFlow);
  }

  /**
   * Creates an empty queue.
   *
   * @param maximumPerFlow maximum number of waiting requests of one flow
   * @param <T> the type of the requests
   */
  public static <T> AdmissionQueue<T> create(int maximumPerFlow) {
    return new AdmissionQueue<>(maximumPerFlow);
  }

  /**
   * Queues a request, or refuses it.
   *
   * @param flow the flow of the request
   * @param weight the weight of the flow, greater than 0
   * @param deadlineNanos the deadline of the request
   * @param nowNanos the current time
   * @return the reason for the refusal and the time to retry after; nothing when the request is
   *     queued
   */
  public Optional<Outcome.NotRun> offer(
      String flow, double weight, long deadlineNanos, long nowNanos, T request) {
    FlowEstimate estimate = estimateOf(flow);
    long waitNanos = estimate.wait.waitNanos(queue.size(flow));
    if (waitNanos + estimate.minimumServiceNanos() > deadlineNanos - nowNanos) {
      return Optional.of(notRun("It would end after its deadline.", waitNanos));
    }
    if (!queue.offer(flow, weight, 1, new Waiting<>(request, flow, deadlineNanos))) {
      return Optional.of(notRun("Too many requests of its workspace wait.", waitNanos));
    }
    return Optional.empty();
  }

  private static Outcome.NotRun notRun(String reason, long waitNanos) {
    return new Outcome.NotRun(reason, 1 + TimeUnit.NANOSECONDS.toSeconds(waitNanos));
  }

  /**
   * Dispatches requests until the queue is empty or there is no target for the next request.
   *
   * @param nowNanos the current time
   * @param selectTarget selects a target for the next request, if there is one
   * @param onDispatch called with each dispatched request and its target
   * @param onLate called with each request that can no longer meet its deadline
   * @param <P> the type of the targets
   */
  public <P> void dispatch(
      long nowNanos,
      Function<T, Optional<P>> selectTarget,
      BiConsumer<T, P> onDispatch,
      Consumer<T> onLate) {
    Waiting<T> next = queue.peek();
    while (next != null) {
      FlowEstimate estimate = estimateOf(next.flow());
      if (next.deadlineNanos() - nowNanos <= estimate.minimumServiceNanos()) {
        queue.poll();
        onLate.accept(next.request());
      } else {
        Optional<P> target = selectTarget.apply(next.request());
        if (target.isEmpty()) {
          return;
        }
        queue.poll();
        estimate.wait.recordDeparture(nowNanos, queue.size(next.flow()) > 0);
        onDispatch.accept(next.request(), target.get());
      }
      next = queue.peek();
    }
  }

  /**
   * Records the service time of a request.
   *
   * @param flow the flow of the request
   * @param nanos time from dispatch to the end of the request, nanoseconds
   */
  public void recordServiceTime(String flow, long nanos) {
    FlowEstimate estimate = estimateOf(flow);
    estimate.serviceNanos =
        estimate.serviceNanos == 0
            ? nanos
            : estimate.serviceNanos * (1 - SMOOTHING_FACTOR) + nanos * SMOOTHING_FACTOR;
  }

  private FlowEstimate estimateOf(String flow) {
    return estimates.computeIfAbsent(flow, name -> new FlowEstimate());
  }

  /**
   * Removes all waiting requests that match.
   *
   * @param condition true for the requests to remove
   */
  public void removeIf(Predicate<T> condition) {
    queue.removeIf(waiting -> condition.test(waiting.request()));
  }

  /** Returns the number of waiting requests. */
  public int size() {
    return queue.size();
  }
}
