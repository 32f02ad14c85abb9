package org.fawnvale.daemon.claim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.fawnvale.core.claims.ClaimSlot;
import org.fawnvale.daemon.FakeStore;

/**
 * Guards against granting a key to two owners, with several daemons whose group commits interleave,
 * lost calls and responses, outages and released keys.
 */
class SlotBatcherFuzzTest {

  private static final int DAEMONS = 3;
  private static final long WINDOW_MILLIS = 1000;

  /** The action of a step. */
  enum Kind {
    CLAIM,
    COMMIT,
    RELEASE
  }

  /** One action of one daemon, with the store's fault during it. */
  record Step(int daemon, Kind kind, int key, FakeStore.Fault fault, boolean commitOthersFirst) {}

  /** A simulated daemon: a batcher and its queued tasks, which run on {@link #commit}. */
  private static final class Daemon {
    private final Deque<Runnable> tasks = new ArrayDeque<>();
    private final SlotBatcher batcher;

    Daemon(FakeStore store, long[] wallMillis) {
      batcher = new SlotBatcher(0, store, tasks::add, () -> wallMillis[0], WINDOW_MILLIS);
    }

    void commit() {
      Runnable task = tasks.poll();
      if (task != null) {
        task.run();
      }
    }
  }

  @Property(tries = 1500, seed = "20261202")
  void eachKeyIsGrantedToOneOwner(@ForAll("steps") List<Step> steps) {
    FakeStore store = new FakeStore();
    long[] wallMillis = {1};
    List<Daemon> daemons = new ArrayList<>();
    for (int i = 0; i < DAEMONS; i++) {
      daemons.add(new Daemon(store, wallMillis));
    }
    Map<String, List<CompletableFuture<ClaimResult>>> submitted = new HashMap<>();
    Map<String, String> holders = new HashMap<>();
    List<String> violations = new ArrayList<>();
    int attempts = 0;
    for (Step step : steps) {
      Daemon daemon = daemons.get(step.daemon());
      String key = "key-" + step.key();
      store.failWith(once(step.fault()));
      store.beforeWrite(step.commitOthersFirst() ? commitOthers(daemons, daemon) : () -> {});
      switch (step.kind()) {
        case CLAIM -> {
          attempts++;
          String owner = step.daemon() + "/" + attempts;
          CompletableFuture<ClaimResult> verdict = daemon.batcher.submit(key, owner, false);
          verdict.thenAccept(each -> checkExclusive(holders, violations, key, owner, each));
          submitted.computeIfAbsent(key, name -> new ArrayList<>()).add(verdict);
        }
        case COMMIT -> daemon.commit();
        default -> release(daemon, key, holders);
      }
      assertThat(violations).isEmpty();
    }
    store.failWith(() -> FakeStore.Fault.NONE);
    store.beforeWrite(() -> {});
    daemons.forEach(Daemon::commit);
    assertThat(violations).isEmpty();
    submitted.values().forEach(list -> assertThat(list).allMatch(CompletableFuture::isDone));
  }

  /**
   * Records a violation if a key is granted while another owner holds it.
   *
   * <p>Violations are collected and not thrown, since the future would swallow an exception.
   */
  private static void checkExclusive(
      Map<String, String> holders,
      List<String> violations,
      String key,
      String owner,
      ClaimResult verdict) {
    if (verdict.verdict() == ClaimSlot.Verdict.GRANTED) {
      String holder = holders.put(key, owner);
      if (holder != null) {
        violations.add(key + " was granted to " + owner + " while " + holder + " held it");
      }
    }
  }

  private static void release(Daemon daemon, String key, Map<String, String> holders) {
    String owner = holders.get(key);
    if (owner != null) {
      holders.remove(key);
      daemon.batcher.submit(key, owner, true);
    }
  }

  private static java.util.function.Supplier<FakeStore.Fault> once(FakeStore.Fault fault) {
    boolean[] used = {false};
    return () -> {
      FakeStore.Fault next = used[0] ? FakeStore.Fault.NONE : fault;
      used[0] = true;
      return next;
    };
  }

  private static Runnable commitOthers(List<Daemon> daemons, Daemon self) {
    boolean[] running = {false};
    return () -> {
      if (!running[0]) {
        running[0] = true;
        daemons.stream().filter(other -> other != self).forEach(Daemon::commit);
      }
    };
  }

  @Provide
  Arbitrary<List<Step>> steps() {
    Arbitrary<FakeStore.Fault> fault =
        Arbitraries.frequency(
            Tuple.of(6, FakeStore.Fault.NONE),
            Tuple.of(1, FakeStore.Fault.REFUSED),
            Tuple.of(2, FakeStore.Fault.ANSWER_LOST),
            Tuple.of(1, FakeStore.Fault.CALL_LOST));
    Arbitrary<Kind> kind =
        Arbitraries.frequency(
            Tuple.of(4, Kind.CLAIM), Tuple.of(4, Kind.COMMIT), Tuple.of(1, Kind.RELEASE));
    return Combinators.combine(
            Arbitraries.integers().between(0, DAEMONS - 1),
            kind,
            Arbitraries.integers().between(0, 3),
            fault,
            Arbitraries.of(true, false))
        .as(Step::new)
        .list()
        .ofMinSize(8)
        .ofMaxSize(60);
  }
}
