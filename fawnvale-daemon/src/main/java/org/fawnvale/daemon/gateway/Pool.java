package org.fawnvale.daemon.gateway;

import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.fawnvale.core.limits.AdmissionQueue;
import org.fawnvale.core.outcome.Outcome;
import org.fawnvale.core.routing.Candidate;
import org.fawnvale.core.routing.Prefix;
import org.fawnvale.core.routing.Router;
import org.fawnvale.upstream.Deadline;

/** The targets of one model or plain service and the queue of requests that wait for them. */
final class Pool {

  private final Supplier<TargetList> targets;
  private final Predicate<Target> mayServe;
  private final Router router;
  private final LongSupplier nanoClock;
  private final AdmissionQueue<Waiter> queue;

  /**
   * What the pool needs to know of a request to pick a target.
   *
   * @param flow the queue's flow: workspace and request class
   * @param weight the flow's weight in fair queueing
   * @param prefix the prompt's prefixes
   * @param deadline the request's deadline
   * @param excluded the keys of targets that must not be picked
   */
  record TargetRequest(
      String flow, double weight, Prefix prefix, Deadline deadline, Set<String> excluded) {}

  private record Waiter(
      TargetRequest targetRequest, long sinceNanos, CompletableFuture<AdmissionResult> result) {}

  Pool(
      Supplier<TargetList> targets,
      Predicate<Target> mayServe,
      Router router,
      LongSupplier nanoClock,
      int maximumPerFlow) {
    this.targets = targets;
    this.mayServe = mayServe;
    this.router = router;
    this.nanoClock = nanoClock;
    this.queue = AdmissionQueue.create(maximumPerFlow);
  }

  /**
   * Waits until the request is admitted or its deadline passes. Denies it at once if no target is
   * ready, its flow's queue is full or the estimated wait exceeds the deadline.
   */
  AdmissionResult await(TargetRequest targetRequest) {
    Waiter waiter = new Waiter(targetRequest, nanoClock.getAsLong(), new CompletableFuture<>());
    Optional<AdmissionResult> denied = enqueue(waiter);
    if (denied.isPresent()) {
      return denied.get();
    }
    dispatch();
    try {
      return waiter
          .result()
          .get(targetRequest.deadline().timeoutMillis(Long.MAX_VALUE), TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      return withdraw(waiter);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return withdraw(waiter);
    } catch (ExecutionException e) {
      throw new IllegalStateException(e);
    }
  }

  private synchronized Optional<AdmissionResult> enqueue(Waiter waiter) {
    if (targets.get().targets().stream().noneMatch(mayServe)) {
      return Optional.of(
          new AdmissionResult.Denied(
              new Outcome.NotRun(
                  "No upstream in this data centre is ready to serve the request.", 1),
              false));
    }
    TargetRequest targetRequest = waiter.targetRequest();
    return queue
        .offer(
            targetRequest.flow(),
            targetRequest.weight(),
            targetRequest.deadline().atNanos(),
            waiter.sinceNanos(),
            waiter)
        .map(notRun -> new AdmissionResult.Denied(notRun, true));
  }

  /** Removes a waiter from the queue; returns the grant if it was admitted in the meantime. */
  private synchronized AdmissionResult withdraw(Waiter waiter) {
    queue.removeIf(each -> each == waiter);
    return waiter.result().getNow(deniedByDeadline());
  }

  private static AdmissionResult deniedByDeadline() {
    return new AdmissionResult.Denied(
        new Outcome.NotRun("The request could not be admitted in time for its deadline.", 1), true);
  }

  /** Admits queued requests while targets have capacity. */
  synchronized void dispatch() {
    long now = nanoClock.getAsLong();
    queue.dispatch(
        now,
        waiter -> pick(waiter.targetRequest()),
        (waiter, target) -> grant(waiter, target, now),
        waiter -> waiter.result().complete(deniedByDeadline()));
  }

  private static void grant(Waiter waiter, Target target, long nowNanos) {
    target.candidate().load().started();
    waiter.result().complete(new AdmissionResult.Granted(target, nowNanos - waiter.sinceNanos()));
  }

  /**
   * Picks another target for a request that was already admitted; it does not wait in the queue.
   */
  synchronized Optional<Target> pickForRetry(TargetRequest targetRequest) {
    Optional<Target> target = pick(targetRequest);
    target.ifPresent(each -> each.candidate().load().started());
    return target;
  }

  private Optional<Target> pick(TargetRequest targetRequest) {
    TargetList list = targets.get();
    Predicate<Candidate> usable =
        candidate ->
            !targetRequest.excluded().contains(candidate.key())
                && mayServe.test(list.target(candidate));
    return router
        .pick(
            list.candidates(), targetRequest.prefix(), usable, ThreadLocalRandom.current()::nextInt)
        .map(list::target);
  }

  /** Records how long a request of a flow ran. */
  synchronized void recordServiceTime(String flow, long nanos) {
    queue.recordServiceTime(flow, nanos);
  }

  synchronized int queuedCount() {
    return queue.size();
  }
}
