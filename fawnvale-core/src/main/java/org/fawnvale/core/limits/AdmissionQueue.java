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
 * Requests that wait for a turn: a fair queue with admission.
 *
 * <p>A request that is expected to end after its deadline is refused at once, when it comes and
 * again when its turn is there: running it would take the place of one that can still be in time.
 * So is one whose flow already has too many waiting. Not safe for several threads; the owner locks.
 * All moments are one monotonic clock in nanoseconds.
 *
 * @param <T> the requests
 */
public final class AdmissionQueue<T> {

  private static final double HOPELESS_SHARE = 0.7;
  private static final double WEIGHT_OF_NEW = 0.1;

  private final FairQueue<Waiting<T>> queue;
  private final Map<String, FlowEstimate> estimates = new HashMap<>();

  private record Waiting<T>(T request, String flow, long deadlineNanos) {}

  /** What is known of one flow: how fast its queue moves, and how long its requests run. */
  private static final class FlowEstimate {
    private final WaitEstimate wait = new WaitEstimate();
    private double serviceNanos;

    /** Most requests of the flow take longer than this, so it refuses only the hopeless. */
    long shortestServiceNanos() {
      return (long) (serviceNanos * HOPELESS_SHARE);
    }
  }

  private AdmissionQueue(int maximumPerFlow) {
    this.queue = FairQueue.create(maximumPerFlow);
  }

  /**
   * Creates an empty queue.
   *
   * @param maximumPerFlow requests that one flow may have waiting
   * @param <T> the requests
   * @return the queue
   */
  public static <T> AdmissionQueue<T> create(int maximumPerFlow) {
    return new AdmissionQueue<>(maximumPerFlow);
  }

  /**
   * Lets a request wait, or refuses it.
   *
   * @param flow its flow
   * @param weight the flow's weight, over 0
   * @param deadlineNanos when nobody waits for it any more
   * @param nowNanos now
   * @param request the request
   * @return why it is refused and when to come back; nothing when it waits
   */
  public Optional<Outcome.NotRun> offer(
      String flow, double weight, long deadlineNanos, long nowNanos, T request) {
    FlowEstimate estimate = estimateOf(flow);
    long waitNanos = estimate.wait.waitNanos(queue.size(flow));
    if (waitNanos + estimate.shortestServiceNanos() > deadlineNanos - nowNanos) {
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
   * Gives turns for as long as there are places.
   *
   * @param nowNanos now
   * @param place finds the place for a request whose turn it is, if there is one
   * @param onTurn told of each request that got a place
   * @param onLate told of each request that can no longer be in time
   * @param <P> the places
   */
  public <P> void dispatch(
      long nowNanos, Function<T, Optional<P>> place, BiConsumer<T, P> onTurn, Consumer<T> onLate) {
    Waiting<T> next = queue.peek();
    while (next != null) {
      FlowEstimate estimate = estimateOf(next.flow());
      if (next.deadlineNanos() - nowNanos <= estimate.shortestServiceNanos()) {
        queue.poll();
        onLate.accept(next.request());
      } else {
        Optional<P> found = place.apply(next.request());
        if (found.isEmpty()) {
          return;
        }
        queue.poll();
        estimate.wait.recordDeparture(nowNanos, queue.size(next.flow()) > 0);
        onTurn.accept(next.request(), found.get());
      }
      next = queue.peek();
    }
  }

  /**
   * Notes how long a request ran.
   *
   * @param flow its flow
   * @param nanos from its turn to its end, nanoseconds
   */
  public void recordServiceTime(String flow, long nanos) {
    FlowEstimate estimate = estimateOf(flow);
    estimate.serviceNanos =
        estimate.serviceNanos == 0
            ? nanos
            : estimate.serviceNanos * (1 - WEIGHT_OF_NEW) + nanos * WEIGHT_OF_NEW;
  }

  private FlowEstimate estimateOf(String flow) {
    return estimates.computeIfAbsent(flow, name -> new FlowEstimate());
  }

  /**
   * Takes requests out that no longer wait.
   *
   * @param condition tells which
   */
  public void removeIf(Predicate<T> condition) {
    queue.removeIf(waiting -> condition.test(waiting.request()));
  }

  /**
   * Requests that wait.
   *
   * @return how many
   */
  public int size() {
    return queue.size();
  }
}
