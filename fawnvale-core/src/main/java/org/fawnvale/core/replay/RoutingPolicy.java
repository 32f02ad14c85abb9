package org.fawnvale.core.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.fawnvale.core.routing.Candidate;
import org.fawnvale.core.routing.Prefix;
import org.fawnvale.core.routing.PrefixIndex;
import org.fawnvale.core.routing.Router;

/**
 * A policy for selecting replicas, with or without a fair queue at the daemon.
 *
 * @param name the name of the policy
 * @param queues true for admission control and a queue at the daemon, false to send immediately
 * @param pickerFactory creates the picker of each daemon
 */
public record RoutingPolicy(String name, boolean queues, PickerFactory pickerFactory) {

  private static final int CACHED_BLOCKS = 4096;

  /** Selects a replica for a request. */
  @FunctionalInterface
  interface Picker {
    Optional<Candidate> pick(
        List<Candidate> candidates, Prefix prefix, Predicate<Candidate> usable);
  }

  /** Creates the picker of a daemon. */
  @FunctionalInterface
  public interface PickerFactory {

    /**
     * Creates a picker.
     *
     * @param index the prefix index of the daemon
     * @param random the random numbers of the daemon
     */
    Picker create(PrefixIndex index, RandomGenerator random);
  }

  /** Returns all policies by name: the daemons' policy, variants of it, and the baselines. */
  public static Map<String, RoutingPolicy> all() {
    Map<String, RoutingPolicy> policies = new LinkedHashMap<>();
    add(policies, router("expected", true, Router.Settings.DEFAULT));
    add(policies, router("expected-without-cache", true, new Router.Settings(16, 0, false, 0)));
    add(policies, router("expected-without-affinity", true, new Router.Settings(16, 0, true, 0)));
    add(policies, router("expected-without-queue", false, new Router.Settings(16, 2, true, 1e9)));
    add(policies, router("expected-of-four", true, new Router.Settings(4, 2, true, 0)));
    add(policies, router("expected-overcommit-0.25", true, new Router.Settings(16, 2, true, 0.25)));
    add(
        policies,
        new RoutingPolicy("least-outstanding", false, (index, random) -> leastOutstanding()));
    add(policies, new RoutingPolicy("round-robin", false, (index, random) -> roundRobin()));
    add(policies, new RoutingPolicy("random", false, (index, random) -> uniformRandom(random)));
    return policies;
  }

  private static void add(Map<String, RoutingPolicy> policies, RoutingPolicy policy) {
    policies.put(policy.name(), policy);
  }

  private static RoutingPolicy router(String name, boolean queues, Router.Settings settings) {
    return new RoutingPolicy(
        name,
        queues,
        (index, random) -> {
          Router router = Router.create(index, settings);
          return (candidates, prefix, usable) ->
              router.pick(candidates, prefix, usable, random::nextInt);
        });
  }

  private static Picker leastOutstanding() {
    return (candidates, prefix, usable) ->
        candidates.stream()
            .filter(usable)
            .min(Comparator.comparingInt(candidate -> candidate.load().own()));
  }

  private static Picker roundRobin() {
    int[] next = {0};
    return (candidates, prefix, usable) -> {
      List<Candidate> usableCandidates = new ArrayList<>(candidates);
      usableCandidates.removeIf(usable.negate());
      next[0]++;
      return usableCandidates.isEmpty()
          ? Optional.empty()
          : Optional.of(usableCandidates.get(next[0] % usableCandidates.size()));
    };
  }

  private static Picker uniformRandom(RandomGenerator random) {
    return (candidates, prefix, usable) -> {
      List<Candidate> usableCandidates = new ArrayList<>(candidates);
      usableCandidates.removeIf(usable.negate());
      return usableCandidates.isEmpty()
          ? Optional.empty()
          : Optional.of(usableCandidates.get(random.nextInt(usableCandidates.size())));
    };
  }

  /** Creates the prefix index of a daemon. */
  static PrefixIndex newIndex() {
    return PrefixIndex.create(CACHED_BLOCKS);
  }
}
