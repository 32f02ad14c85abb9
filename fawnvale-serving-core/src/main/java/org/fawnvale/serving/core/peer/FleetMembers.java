package org.fawnvale.serving.core.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The daemons that share the fleet's bounds, this one included: those it has heard of since its
 * start, from daemons or from the store. A daemon that is out of reach still counts.
 *
 * <p>A daemon that has just started knows its own side of a network partition at most, so its count
 * means nothing until the store or a daemon that knows the fleet has told it the others. Not
 * thread-safe.
 */
public final class FleetMembers {

  /**
   * How long a daemon counts after anyone has last heard it. A network partition between data
   * centres should be over by then; a daemon that was removed counts no longer.
   */
  public static final long RETENTION_NANOS = TimeUnit.HOURS.toNanos(1);

  private final String self;
  private final Map<String, Long> lastHeardNanos = new HashMap<>();
  private boolean known;

  /**
   * One daemon, as told to another.
   *
   * @param name the daemon's name
   * @param silentSeconds how long ago anyone has last heard it, in seconds
   */
  public record Member(String name, int silentSeconds) {}

  /**
   * Creates the view of a daemon.
   *
   * @param self the daemon's name
   * @param firstStart whether the whole fleet starts for the first time, so that there is no daemon
   *     that it could fail to know
   */
  public FleetMembers(String self, boolean firstStart) {
    this.self = self;
    this.known = firstStart;
  }

  /**
   * Records that a daemon has been heard.
   *
   * @param nowNanos the monotonic time
   */
  public void heard(String name, long nowNanos) {
    if (!name.equals(self)) {
      lastHeardNanos.merge(name, nowNanos, Math::max);
    }
  }

  /**
   * Records a member that another daemon tells.
   *
   * @param nowNanos the monotonic time
   */
  public void told(Member member, long nowNanos) {
    heard(member.name(), nowNanos - TimeUnit.SECONDS.toNanos(member.silentSeconds()));
  }

  /**
   * Records how many daemons another daemon counts. The fleet is known once this daemon has heard
   * of as many.
   *
   * @param count the number of daemons; 0 if the other daemon does not know it
   */
  public void toldCount(int count) {
    if (count > 0 && lastHeardNanos.size() + 1 >= count) {
      known = true;
    }
  }

  /** Records that the store has listed all daemons, and that each of them has been heard. */
  public void listed() {
    known = true;
  }

  /** Returns whether any other daemon is known. */
  public boolean hasOthers() {
    return !lastHeardNanos.isEmpty();
  }

  /**
   * Returns the number of daemons, this one included.
   *
   * @param nowNanos the monotonic time
   * @return from 1; 0 while the fleet is not known
   */
  public int count(long nowNanos) {
    if (!known) {
      return 0;
    }
    removeExpired(nowNanos);
    return lastHeardNanos.size() + 1;
  }

  /**
   * Returns the number of daemons, this one included, that anyone has heard within a time, or that
   * the store has listed within it. A daemon that starts behind a network partition counts those on
   * the other side by it.
   *
   * @param nanos the time, in nanoseconds
   * @param nowNanos the monotonic time
   * @return from 1
   */
  public int countHeardWithin(long nanos, long nowNanos) {
    int heard = 1;
    for (long heardNanos : lastHeardNanos.values()) {
      heard += nowNanos - heardNanos < nanos ? 1 : 0;
    }
    return heard;
  }

  /**
   * Returns some members to tell another daemon. Successive numbers give all of them in turn.
   *
   * @param number the number of the message
   * @param most the most members to return
   * @param nowNanos the monotonic time
   */
  public List<Member> membersToTell(int number, int most, long nowNanos) {
    removeExpired(nowNanos);
    List<String> names = new ArrayList<>(lastHeardNanos.keySet());
    List<Member> members = new ArrayList<>();
    for (int index = 0; index < Math.min(most, names.size()); index++) {
      String name = names.get(Math.floorMod(number * most + index, names.size()));
      long silent = nowNanos - lastHeardNanos.getOrDefault(name, nowNanos);
      members.add(new Member(name, secondsRoundedUp(silent)));
    }
    return List.copyOf(members);
  }

  /** Rounded down, a time that is told to and fro would not pass. */
  private static int secondsRoundedUp(long nanos) {
    return (int) Math.ceil(nanos / (double) TimeUnit.SECONDS.toNanos(1));
  }

  private void removeExpired(long nowNanos) {
    lastHeardNanos.values().removeIf(heardNanos -> nowNanos - heardNanos > RETENTION_NANOS);
  }
}
