package org.fawnvale.serving.core.limit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.model.NodeLife;

/**
 * Which daemon spends the limit of a node: one of those in touch, by rendezvous hashing, of the
 * node's data centre if any of them is. One daemon that spends a whole limit needs no agreement on
 * parts of it, which would be too small for a request where many daemons share few requests.
 *
 * <p>Daemons that are out of sight may be on the other side of a cut and spend as well. So an owner
 * spends the part of the limit that the daemons in touch are of those known lately: what the sides
 * of a cut spend adds up to the limit.
 */
public final class LimitOwners {

  /**
   * How long after the daemons in touch have changed a new owner begins to spend, in nanoseconds:
   * the former one has stopped by then, since it hears of the change within three notes.
   */
  private static final long SETTLE_NANOS = 1_500_000_000L;

  private static final Comparator<Ranked> FIRST =
      Comparator.comparingLong(Ranked::rank).thenComparing(ranked -> ranked.daemon().name());

  private final Daemon self;
  private final Map<NodeLife, Daemon> owners = new HashMap<>();
  private List<Daemon> inTouch;
  private Set<String> names;
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

  private record Ranked(Daemon daemon, long rank) {}

  /**
   * Creates the view of a daemon that knows no other.
   *
   * @param self this daemon
   */
  public LimitOwners(Daemon self) {
    this.self = self;
    this.inTouch = List.of(self);
    this.names = Set.of(self.name());
  }

  /**
   * Takes in which daemons are in touch.
   *
   * @param others the other daemons that are heard now
   * @param known how many daemons were heard lately, this one included
   * @param nowNanos the steady time
   * @return whether another daemon may own a limit from now on
   */
  public boolean see(Collection<Daemon> others, int known, long nowNanos) {
    share = (others.size() + 1) / (double) Math.max(known, others.size() + 1);
    if (others.size() + 1 == names.size() && isSame(others)) {
      return false;
    }
    Set<String> seen = new HashSet<>();
    others.forEach(other -> seen.add(other.name()));
    seen.add(self.name());
    names = seen;
    inTouch = new ArrayList<>(others);
    inTouch.add(self);
    owners.clear();
    changedNanos = nowNanos;
    hasChanged = true;
    return true;
  }

  private boolean isSame(Collection<Daemon> others) {
    return others.stream().allMatch(other -> names.contains(other.name()));
  }

  /**
   * The daemon that spends a node's limit.
   *
   * @param life the node's life
   * @param dataCentre the node's data centre
   * @return the daemon, which may be this one
   */
  public Daemon ownerOf(NodeLife life, String dataCentre) {
    return owners.computeIfAbsent(life, any -> choose(life, dataCentre));
  }

  /**
   * Tells whether this daemon spends a node's limit.
   *
   * @param life the node's life
   * @param dataCentre the node's data centre
   * @return true when it does
   */
  public boolean isOwn(NodeLife life, String dataCentre) {
    return ownerOf(life, dataCentre).equals(self);
  }

  private Daemon choose(NodeLife life, String dataCentre) {
    List<Daemon> near =
        inTouch.stream().filter(daemon -> daemon.dataCentre().equals(dataCentre)).toList();
    List<Daemon> candidates = near.isEmpty() ? inTouch : near;
    return candidates.stream()
        .map(daemon -> new Ranked(daemon, rank(daemon, life)))
        .min(FIRST)
        .map(Ranked::daemon)
        .orElse(self);
  }

  /** A mix of both names in which each bit of either changes half of the bits. */
  private static long rank(Daemon daemon, NodeLife life) {
    long mixed = ((long) daemon.name().hashCode() << 32) ^ life.id().hashCode();
    mixed = (mixed ^ (mixed >>> 33)) * 0xff51afd7ed558ccdL;
    mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
    return mixed ^ (mixed >>> 33);
  }

  /**
   * The part of each limit that may be spent on this side of a cut.
   *
   * @return above 0 to 1
   */
  public double share() {
    return share;
  }

  /**
   * From when on an owner that has just become one may spend.
   *
   * @param nowNanos the steady time
   * @return the steady time, in nanoseconds; now, where the daemons in touch have long been the
   *     same
   */
  public long spendsFromNanos(long nowNanos) {
    long settled = changedNanos + SETTLE_NANOS;
    return hasChanged && settled - nowNanos > 0 ? settled : nowNanos;
  }
}
