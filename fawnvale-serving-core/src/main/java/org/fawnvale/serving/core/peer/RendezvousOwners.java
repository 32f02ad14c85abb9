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
 * Which daemon decides for all of them on a matter that has to be counted once: the limit of a
 * node, the trial of a barred request. One of those in touch does, by rendezvous hashing; of one
 * data centre, if the matter belongs there and any of its daemons is in touch. So nobody need agree
 * on parts, which would be too small for one request where many daemons share few requests.
 *
 * <p>Daemons that are out of sight may be on the other side of a cut and decide as well. So an
 * owner has the share of a matter that the daemons in touch are of those heard lately: what the
 * sides of a cut have adds up to the whole.
 */
public final class RendezvousOwners {

  /**
   * How long after the daemons in touch have changed a new owner begins, in nanoseconds: the former
   * one has stopped by then, since it hears of the change within three notes.
   */
  private static final long HANDOVER_NANOS = 1_500_000_000L;

  /** Matters whose owners are remembered; more are looked up again. */
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

  /**
   * A daemon.
   *
   * @param name its name
   * @param address its IP address
   * @param dataCentre its data centre
   */
  public record Daemon(String name, String address, String dataCentre) {}

  private record Ranked(Daemon daemon, long hash) {}

  /**
   * Creates the view of a daemon that knows no other.
   *
   * @param self this daemon
   */
  public RendezvousOwners(Daemon self) {
    this.self = self;
    this.reachable = List.of(self);
    this.reachableNames = Set.of(self.name());
  }

  /**
   * Takes in which daemons are in touch.
   *
   * @param others the other daemons that are heard now
   * @param known how many daemons were heard lately, this one included
   * @param nowNanos the steady time
   * @return whether another daemon may decide on a matter from now on
   */
  public boolean updateReachable(Collection<Daemon> others, int known, long nowNanos) {
    share = (others.size() + 1) / (double) Math.max(known, others.size() + 1);
    if (others.size() + 1 == reachableNames.size() && isSame(others)) {
      return false;
    }
    Set<String> seen = new HashSet<>();
    others.forEach(other -> seen.add(other.name()));
    seen.add(self.name());
    reachableNames = seen;
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
   * The daemon that decides on a matter.
   *
   * @param matter names it
   * @param dataCentre the data centre that it belongs to; one without daemons if to none
   * @return the daemon, which may be this one
   */
  public Daemon ownerOf(String matter, String dataCentre) {
    if (owners.size() > MAX_CACHED_KEYS) {
      owners.clear();
    }
    return owners.computeIfAbsent(matter, any -> choose(matter, dataCentre));
  }

  /**
   * Tells whether this daemon decides on a matter.
   *
   * @param matter names it
   * @param dataCentre the data centre that it belongs to; one without daemons if to none
   * @return true when it does
   */
  public boolean isOwner(String matter, String dataCentre) {
    return ownerOf(matter, dataCentre).equals(self);
  }

  private Daemon choose(String matter, String dataCentre) {
    List<Daemon> near =
        reachable.stream().filter(daemon -> daemon.dataCentre().equals(dataCentre)).toList();
    List<Daemon> candidates = near.isEmpty() ? reachable : near;
    return candidates.stream()
        .map(daemon -> new Ranked(daemon, hash(daemon, matter)))
        .min(BY_RANK)
        .map(Ranked::daemon)
        .orElse(self);
  }

  /** A mix of both names in which each bit of either changes half of the bits. */
  private static long hash(Daemon daemon, String matter) {
    long mixed = ((long) daemon.name().hashCode() << 32) ^ matter.hashCode();
    mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }

  /**
   * The part of each matter that this side of a cut has.
   *
   * @return above 0 to 1
   */
  public double share() {
    return share;
  }

  /**
   * From when on an owner that has just become one may decide.
   *
   * @param nowNanos the steady time
   * @return the steady time, in nanoseconds; now, where the daemons in touch have long been the
   *     same
   */
  public long ownedFromNanos(long nowNanos) {
    long settled = changedNanos + HANDOVER_NANOS;
    return hasChanged && settled - nowNanos > 0 ? settled : nowNanos;
  }
}
