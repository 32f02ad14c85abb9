package org.fawnvale.core.routing;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntUnaryOperator;
import java.util.function.Predicate;
import org.fawnvale.core.hash.Rendezvous;

/**
 * Selects the replica with the shortest expected time to the first token.
 *
 * <p>The router compares a random sample of the candidates, so that several daemons do not all
 * select the same replica. It adds the candidates that the first block of the prompt hashes to, so
 * that all daemons send requests with a common prefix to the same replicas without coordination.
 */
public final class Router {

  private final PrefixIndex index;
  private final Settings settings;

  /**
   * Settings of the router.
   *
   * @param sampled number of randomly sampled candidates
   * @param affine number of candidates selected by the hash of the prefix; 0 for none
   * @param useCache whether expected cache hits reduce the expected time
   * @param overcommit requests that may wait at a replica, as a share of those that it runs
   *     concurrently
   */
  public record Settings(int sampled, int affine, boolean useCache, double overcommit) {

    /** The settings that daemons use. */
    public static final Settings DEFAULT = new Settings(16, 2, true, 0);
  }

  private Router(PrefixIndex index, Settings settings) {
    this.index = index;
    this.settings = settings;
  }

  /**
   * Creates a router.
   *
   * @param index estimates of the prefixes that each replica has cached
   */
  public static Router create(PrefixIndex index, Settings settings) {
    return new Router(index, settings);
  }

  /**
   * Selects a replica that can take another request.
   *
   * @param candidates all replicas of the model
   * @param prefix the prompt's prefixes
   * @param usable whether a replica may be used for this request; called only for candidates that
   *     would be selected
   * @param random returns a random number from 0, less than its argument
   * @return the replica, or nothing when no candidate is usable and has capacity
   */
  public Optional<Candidate> pick(
      List<Candidate> candidates,
      Prefix prefix,
      Predicate<Candidate> usable,
      IntUnaryOperator random) {
    Optional<Candidate> best = best(sample(candidates, prefix, random), prefix, usable);
    if (best.isPresent() || candidates.size() <= settings.sampled() + settings.affine()) {
      return best;
    }
    return best(candidates, prefix, usable);
  }

  private Optional<Candidate> best(
      Iterable<Candidate> considered, Prefix prefix, Predicate<Candidate> usable) {
    Candidate best = null;
    double bestMillis = Double.POSITIVE_INFINITY;
    for (Candidate candidate : considered) {
      double millis = expectedMillis(candidate, prefix);
      boolean better =
          millis < bestMillis
              || millis == bestMillis
                  && best != null
                  && candidate.load().outstanding() < best.load().outstanding();
      if (better && hasCapacity(candidate) && usable.test(candidate)) {
        best = candidate;
        bestMillis = millis;
      }
    }
    return Optional.ofNullable(best);
  }

  private double expectedMillis(Candidate candidate, Prefix prefix) {
    int cached = settings.useCache() ? index.cachedCharacters(candidate.key(), prefix) : 0;
    return candidate
        .load()
        .firstTokenMillis(prefix.characters(), cached, candidate.maximumConcurrent());
  }

  private boolean hasCapacity(Candidate candidate) {
    double limit = candidate.maximumConcurrent() * (1 + settings.overcommit());
    return candidate.load().outstanding() < limit;
  }

  private Set<Candidate> sample(
      List<Candidate> candidates, Prefix prefix, IntUnaryOperator random) {
    if (candidates.size() <= settings.sampled() + settings.affine()) {
      return new LinkedHashSet<>(candidates);
    }
    Set<Candidate> sample = new LinkedHashSet<>();
    for (int i = 0; i < settings.sampled(); i++) {
      sample.add(candidates.get(random.applyAsInt(candidates.size())));
    }
    if (prefix.length() > 0) {
      sample.addAll(affine(candidates, prefix.block(0)));
    }
    return sample;
  }

  /**
   * Selects candidates by hash; all daemons must have the same list of candidates, sorted by key.
   */
  private List<Candidate> affine(List<Candidate> candidates, long hash) {
    List<Candidate> chosen = new ArrayList<>();
    for (int i = 0; i < settings.affine(); i++) {
      long mixed = Rendezvous.hash(hash + ":" + i);
      chosen.add(candidates.get((int) Long.remainderUnsigned(mixed, candidates.size())));
    }
    return chosen;
  }
}
