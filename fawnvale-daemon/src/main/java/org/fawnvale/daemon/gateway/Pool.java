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

/** The targets of one model or service, and the requests that wait for them. */
final class Pool {

  private final Supplier<TargetList> targets;
  private final Predicate<Target> mayServe;
  private final Router router;
  private final LongSupplier nanoClock;
  private final AdmissionQueue<Waiter> queue;

  /** What a request asks for. */
  record Wish(String flow, double weight, Prefix prefix, Deadline deadline, Set<String> excluded) {}

  private record Waiter(Wish wish, long sinceNanos, CompletableFuture<Turn> turn) {}

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

  /** Waits for a turn, or says at once that there will be none in time. */
  Turn await(Wish wish) {
    Waiter waiter = new Waiter(wish, nanoClock.getAsLong(), new CompletableFuture<>());
    Optional<Turn> denied = enqueue(waiter);
    if (denied.isPresent()) {
      return denied.get();
    }
    dispatch();
    try {
      return waiter
          .turn()
          .get(wish.deadline().timeoutMillis(Long.MAX_VALUE), TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      return leave(waiter);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return leave(waiter);
    } catch (ExecutionException e) {
      throw new IllegalStateException(e);
    }
  }

  private synchronized Optional<Turn> enqueue(Waiter waiter) {
    if (targets.get().targets().stream().noneMatch(mayServe)) {
      return Optional.of(
          new Turn.Denied(new Outcome.NotRun("Nothing here can serve it now.", 1), false));
    }
    Wish wish = waiter.wish();
    return queue
        .offer(wish.flow(), wish.weight(), wish.deadline().atNanos(), waiter.sinceNanos(), waiter)
        .map(notRun -> new Turn.Denied(notRun, true));
  }

  /** Takes a waiter out whose time is over; a turn that was granted meanwhile is kept. */
  private synchronized Turn leave(Waiter waiter) {
    queue.removeIf(each -> each == waiter);
    return waiter.turn().getNow(late());
  }

  private static Turn late() {
    return new Turn.Denied(new Outcome.NotRun("Its deadline passed while it waited.", 1), true);
  }

  /** Gives turns to those who wait, as far as there is room. */
  synchronized void dispatch() {
    long now = nanoClock.getAsLong();
    queue.dispatch(
        now,
        waiter -> pick(waiter.wish()),
        (waiter, target) -> grant(waiter, target, now),
        waiter -> waiter.turn().complete(late()));
  }

  private static void grant(Waiter waiter, Target target, long nowNanos) {
    target.candidate().load().started();
    waiter.turn().complete(new Turn.Granted(target, nowNanos - waiter.sinceNanos()));
  }

  /** Picks another target for a request that had its turn; it goes ahead of those who wait. */
  synchronized Optional<Target> again(Wish wish) {
    Optional<Target> target = pick(wish);
    target.ifPresent(each -> each.candidate().load().started());
    return target;
  }

  private Optional<Target> pick(Wish wish) {
    TargetList list = targets.get();
    Predicate<Candidate> usable =
        candidate ->
            !wish.excluded().contains(candidate.key()) && mayServe.test(list.target(candidate));
    return router
        .pick(list.candidates(), wish.prefix(), usable, ThreadLocalRandom.current()::nextInt)
        .map(list::target);
  }

  /** Notes how long a request of a flow ran. */
  synchronized void served(String flow, long nanos) {
    queue.recordServiceTime(flow, nanos);
  }

  synchronized int waiting() {
    return queue.size();
  }
}
