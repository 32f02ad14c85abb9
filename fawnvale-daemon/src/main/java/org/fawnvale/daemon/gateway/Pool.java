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
import org.fawnvale.core.limits.TurnQueue;
import org.fawnvale.core.outcome.Outcome;
import org.fawnvale.core.routing.Candidate;
import org.fawnvale.core.routing.Prefix;
import org.fawnvale.core.routing.Router;
import org.fawnvale.upstream.Deadline;

/** The targets of one model or service, and the requests that wait for them. */
final class Pool {

  private final Supplier<TargetList> targets;
  private final Predicate<Target> mayServe;
  private final Router router;
  private final LongSupplier nanoClock;
  private final TurnQueue<Waiter> queue;

  /** What a request asks for. */
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
    this.queue = TurnQueue.create(maximumPerFlow);
  }

  /** Waits for a turn, or says at once that there will be none in time. */
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
              new Outcome.NotRun("Nothing here can serve it now.", 1), false));
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

  /** Takes a waiter out whose time is over; a turn that was granted meanwhile is kept. */
  private synchronized AdmissionResult withdraw(Waiter waiter) {
    queue.removeIf(each -> each == waiter);
    return waiter.result().getNow(deniedByDeadline());
  }

  private static AdmissionResult deniedByDeadline() {
    return new AdmissionResult.Denied(
        new Outcome.NotRun("Its deadline passed while it waited.", 1), true);
  }

  /** Gives turns to those who wait, as far as there is room. */
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

  /** Picks another target for a request that had its turn; it goes ahead of those who wait. */
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

  /** Notes how long a request of a flow ran. */
  synchronized void recordServiceTime(String flow, long nanos) {
    queue.served(flow, nanos);
  }

  synchronized int waiting() {
    return queue.size();
  }
}
