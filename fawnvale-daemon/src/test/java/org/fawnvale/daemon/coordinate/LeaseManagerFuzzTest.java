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

/** Never two holders at once: clocks of other rates, freezes, lost answers, outages. */
class LeaseManagerFuzzTest {

  private static final int KEEPERS = 3;
  private static final long DURATION_MILLIS = 1000;
  private static final long NANOS = 1_000_000;

  /** One thing that happens. */
  record Event(int keeper, long passMillis, FakeStore.Fault fault, boolean releases) {}

  @Property(tries = 2000, seed = "20261202")
  void neverTwoHolders(
      @ForAll("events") List<Event> events, @ForAll("rates") List<Double> clockRates) {
    FakeStore store = new FakeStore();
    long[] trueNanos = {0};
    List<LeaseManager> keepers = new ArrayList<>();
    for (int i = 0; i < KEEPERS; i++) {
      double rate = clockRates.get(i);
      keepers.add(
          new LeaseManager(
              store, "lease", "daemon-" + i, DURATION_MILLIS, () -> (long) (trueNanos[0] * rate)));
    }
    for (Event event : events) {
      trueNanos[0] += event.passMillis() * NANOS;
      store.failWith(event::fault);
      if (event.releases()) {
        keepers.get(event.keeper()).release();
      } else {
        keepers.get(event.keeper()).step();
      }
      long holders = keepers.stream().filter(keeper -> keeper.isHeldFor(0)).count();
      assertThat(holders).isLessThanOrEqualTo(1);
    }
  }

  @Provide
  Arbitrary<List<Double>> rates() {
    return Arbitraries.doubles().between(0.96, 1.04).list().ofSize(KEEPERS);
  }

  @Provide
  Arbitrary<List<Event>> events() {
    Arbitrary<Integer> keeper = Arbitraries.integers().between(0, KEEPERS - 1);
    Arbitrary<Long> pass = Arbitraries.longs().between(0, DURATION_MILLIS + 200);
    Arbitrary<FakeStore.Fault> fault =
        Arbitraries.frequency(
            net.jqwik.api.Tuple.of(6, FakeStore.Fault.NONE),
            net.jqwik.api.Tuple.of(1, FakeStore.Fault.REFUSED),
            net.jqwik.api.Tuple.of(2, FakeStore.Fault.ANSWER_LOST),
            net.jqwik.api.Tuple.of(1, FakeStore.Fault.CALL_LOST));
    Arbitrary<Boolean> releases =
        Arbitraries.frequency(net.jqwik.api.Tuple.of(12, false), net.jqwik.api.Tuple.of(1, true));
    return Combinators.combine(keeper, pass, fault, releases)
        .as(Event::new)
        .list()
        .ofMinSize(10)
        .ofMaxSize(80);
  }
}
