package org.fawnvale.benchmarks;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.fawnvale.core.routing.Candidate;
import org.fawnvale.core.routing.Prefix;
import org.fawnvale.core.routing.PrefixIndex;
import org.fawnvale.core.routing.ReplicaLoad;
import org.fawnvale.core.routing.Router;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** Measures the time of one routing decision by number of candidate replicas. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class RoutingBenchmark {

  /** Number of candidate replicas. */
  @Param({"10", "100", "1000"})
  public int replicas;

  private final RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
  private final List<Candidate> candidates = new ArrayList<>();
  private Router router;
  private Prefix prefix;

  /** Creates candidates with random load; every tenth has the prefix cached. */
  @Setup
  public void prepare() {
    PrefixIndex index = PrefixIndex.create(4096);
    router = Router.create(index, Router.Settings.DEFAULT);
    prefix = Prefix.of("a shared prompt of some length ".repeat(200));
    for (int i = 0; i < replicas; i++) {
      ReplicaLoad load = new ReplicaLoad();
      load.reported(random.nextInt(8));
      candidates.add(new Candidate("replica-" + i, load, 8));
      if (i % 10 == 0) {
        index.store("replica-" + i, prefix);
      }
    }
  }

  /**
   * Measures one routing decision.
   *
   * @return the selected candidate
   */
  @Benchmark
  public Optional<Candidate> pick() {
    return router.pick(candidates, prefix, candidate -> true, random::nextInt);
  }

  /**
   * Measures hashing a prompt of 6,200 characters.
   *
   * @return the hashed prefix
   */
  @Benchmark
  public Prefix hash() {
    return Prefix.of("a shared prompt of some length ".repeat(200));
  }
}
