package org.fawnvale.daemon.coordinate;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.fawnvale.daemon.FakeStore;

/**
 * Checks that two daemons never hold the lease at once despite clocks at different rates, pauses,
 * lost responses and store failures.
 */
class LeaseManagerFuzzTest {

  private static final int MANAGERS = 3;
  private static final long DURATION_MILLIS = 1000;
  private static final long NANOS = 1_000_000;

  /** One step of one manager after some time has passed. */
  record Event(int manager, long elapsedMillis, FakeStore.Fault fault, boolean releases) {}

  @Property(tries = 2000, seed = "20261202")
  void neverTwoHolders(
      @ForAll("events") List<Event> events, @ForAll("rates") List<Double> clockRates) {
    FakeStore store = new FakeStore();
    long[] trueNanos = {0};
    List<LeaseManager> managers = new ArrayList<>();
    for (int i = 0; i < MANAGERS; i++) {
      double rate = clockRates.get(i);
      managers.add(
          new LeaseManager(
              store, "lease", "daemon-" + i, DURATION_MILLIS, () -> (long) (trueNanos[0] * rate)));
    }
    for (Event event : events) {
      trueNanos[0] += event.elapsedMillis() * NANOS;
      store.failWith(event::fault);
      if (event.releases()) {
        managers.get(event.manager()).release();
      } else {
        managers.get(event.manager()).step();
      }
      long holders = managers.stream().filter(manager -> manager.isHeldFor(0)).count();
      assertThat(holders).isLessThanOrEqualTo(1);
    }
  }

  @Provide
  Arbitrary<List<Double>> rates() {
    return Arbitraries.doubles().between(0.96, 1.04).list().ofSize(MANAGERS);
  }

  @Provide
  Arbitrary<List<Event>> events() {
    Arbitrary<Integer> manager = Arbitraries.integers().between(0, MANAGERS - 1);
    Arbitrary<Long> elapsed = Arbitraries.longs().between(0, DURATION_MILLIS + 200);
    Arbitrary<FakeStore.Fault> fault =
        Arbitraries.frequency(
            net.jqwik.api.Tuple.of(6, FakeStore.Fault.NONE),
            net.jqwik.api.Tuple.of(1, FakeStore.Fault.REFUSED),
            net.jqwik.api.Tuple.of(2, FakeStore.Fault.ANSWER_LOST),
            net.jqwik.api.Tuple.of(1, FakeStore.Fault.CALL_LOST));
    Arbitrary<Boolean> releases =
        Arbitraries.frequency(net.jqwik.api.Tuple.of(12, false), net.jqwik.api.Tuple.of(1, true));
    return Combinators.combine(manager, elapsed, fault, releases)
        .as(Event::new)
        .list()
        .ofMinSize(10)
        .ofMaxSize(80);
  }
}
