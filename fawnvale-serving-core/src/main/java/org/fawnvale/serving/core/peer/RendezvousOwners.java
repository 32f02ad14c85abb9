package org.fawnvale.serving.core.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Assigns each key to one daemon, which decides for all daemons where something must be counted in
 * one place: the limit of a node, or the trial of a quarantined request. The owner is chosen by
 * rendezvous hashing among the reachable daemons, preferably those in the data centre of the key.
 * One owner per key is used, rather than a share per daemon, because such shares would be below one
 * request when many daemons share a low limit.
 *
 * <p>Daemons that are not reachable may be on the other side of a network partition and choose an
 * owner as well. An owner therefore uses only a share of the limit: the number of reachable daemons
 * divided by the number of recently seen daemons. The shares of all sides add up to the whole.
 *
 * <p>Not thread-safe.
 */
public final class RendezvousOwners {

  /**
   * Time from a change of the reachable daemons to the first decision of a new owner, in
   * nanoseconds. It covers the time in which the previous owner notices the change, which is three
   * messages at most.
   */
  private static final long HANDOVER_NANOS = 1_500_000_000L;

  /**
   * Time from the start of a daemon to its first decision as an owner, in nanoseconds. Until it has
   * heard its peers, a daemon takes itself for the owner of every key; the time is that in which
   * daemons that start together hear of each other.
   */
  private static final long START_NANOS = 2_000_000_000L;

  /** Number of keys whose owners are cached. */
  private static final int MAX_CACHED_KEYS = 16_384;

  private static final Comparator<Ranked> BY_RANK =
      Comparator.comparingLong(Ranked::hash).thenComparing(ranked -> ranked.daemon().name());

  private final Daemon self;
  private final Map<String, Daemon> owners = new HashMap<>();
  private List<Daemon> reachable;
  private Set<String> reachableNames;
  private double share = 1;
  private long changedNanos;
  private boolean hasChanged;
  private long startedNanos;
  private boolean isStarting;

  /**
   * A daemon.
   *
   * @param address its IP address
   */
  public record Daemon(String name, String address, String dataCentre) {}

  private record Ranked(Daemon daemon, long hash) {}

  /**
   * Creates the view of a daemon that has just started and may not have heard its peers yet.
   *
   * @param self this daemon
   * @param startedNanos the monotonic time of its start
   */
  public RendezvousOwners(Daemon self, long startedNanos) {
    this(self);
    this.startedNanos = startedNanos;
    this.isStarting = true;
  }

  /**
   * Creates the view of a daemon that knows no peers.
   *
   * @param self this daemon
   */
  public RendezvousOwners(Daemon self) {
    this.self = self;
    this.reachable = List.of(self);
    this.reachableNames = Set.of(self.name());
  }

  /**
   * Updates the set of reachable daemons.
   *
   * @param others the other reachable daemons
   * @param recentlySeen the number of daemons seen recently, including this one
   * @param nowNanos the monotonic time
   * @return whether owners may have changed
   */
  public boolean updateReachable(Collection<Daemon> others, int recentlySeen, long nowNanos) {
    share = (others.size() + 1) / (double) Math.max(recentlySeen, others.size() + 1);
    if (others.size() + 1 == reachableNames.size() && isSame(others)) {
      return false;
    }
    Set<String> names = new HashSet<>();
    others.forEach(other -> names.add(other.name()));
    names.add(self.name());
    reachableNames = names;
    reachable = new ArrayList<>(others);
    reachable.add(self);
    owners.clear();
    changedNanos = nowNanos;
    hasChanged = true;
    return true;
  }

  private boolean isSame(Collection<Daemon> others) {
    return others.stream().allMatch(other -> reachableNames.contains(other.name()));
  }

  /**
   * Returns the daemon that owns a key, which may be this one.
   *
   * @param dataCentre the data centre that the key belongs to; if it belongs to none, a name that
   *     is not the data centre of any daemon
   */
  public Daemon ownerOf(String key, String dataCentre) {
    if (owners.size() > MAX_CACHED_KEYS) {
      owners.clear();
    }
    return owners.computeIfAbsent(key, any -> choose(key, dataCentre));
  }

  /**
   * Tells whether this daemon owns a key.
   *
   * @param dataCentre the data centre that the key belongs to; if it belongs to none, a name that
   *     is not the data centre of any daemon
   */
  public boolean isOwner(String key, String dataCentre) {
    return ownerOf(key, dataCentre).equals(self);
  }

  private Daemon choose(String key, String dataCentre) {
    List<Daemon> local =
        reachable.stream().filter(daemon -> daemon.dataCentre().equals(dataCentre)).toList();
    List<Daemon> candidates = local.isEmpty() ? reachable : local;
    return candidates.stream()
        .map(daemon -> new Ranked(daemon, hash(daemon, key)))
        .min(BY_RANK)
        .map(Ranked::daemon)
        .orElse(self);
  }

  /** Mixes both names with the finalizer of MurmurHash3. */
  private static long hash(Daemon daemon, String key) {
    long mixed = ((long) daemon.name().hashCode() << 32) ^ key.hashCode();
    mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }

  /** Returns the share of each limit that this daemon may use as an owner, above 0 to 1. */
  public double share() {
    return share;
  }

  /**
   * Returns the monotonic time from which this daemon may decide as an owner.
   *
   * @param nowNanos the monotonic time
   * @return the time, in nanoseconds; {@code nowNanos} when this daemon has not just started and
   *     the reachable daemons have not changed recently
   */
  public long ownedFromNanos(long nowNanos) {
    long from = nowNanos;
    if (hasChanged && changedNanos + HANDOVER_NANOS - from > 0) {
      from = changedNanos + HANDOVER_NANOS;
    }
    if (isStarting && startedNanos + START_NANOS - from > 0) {
      from = startedNanos + START_NANOS;
    }
    return from;
  }
}
