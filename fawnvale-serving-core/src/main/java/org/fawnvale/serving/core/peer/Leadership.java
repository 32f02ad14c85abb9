package org.fawnvale.serving.core.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Who of the live daemons forms groups. No agreement is needed for safety: orders carry the term as
 * fencing token and the node's own order count as a condition. The rank only keeps two from working
 * against each other.
 */
public final class Leadership {

  /** A daemon whose last note is older than this counts as gone, in nanoseconds. */
  public static final long SILENCE_NANOS = 700_000_000L;

  private final String self;
  private final Map<String, Heard> heard = new HashMap<>();
  private long term;
  private String leader = "";
  private long leaderSince;

  private record Heard(PeerNote note, long atNanos) {}

  /**
   * Creates the view of one daemon.
   *
   * @param self its name
   */
  public Leadership(String self) {
    this.self = self;
  }

  /**
   * Takes a note of a peer in.
   *
   * @param note the note
   * @param nowNanos the steady time
   */
  public void hear(PeerNote note, long nowNanos) {
    Heard before = heard.get(note.name());
    if (before != null && before.note().incarnation() > note.incarnation()) {
      return;
    }
    heard.put(note.name(), new Heard(note, nowNanos));
    boolean newer = note.term() > term;
    boolean tie =
        note.term() == term && !note.leader().isEmpty() && note.leader().compareTo(leader) < 0;
    if (newer || tie && !leader.isEmpty()) {
      follow(note.term(), note.leader(), nowNanos);
    }
  }

  /**
   * Decides anew who leads.
   *
   * @param eligible whether this daemon may lead
   * @param nowNanos the steady time
   * @return true when this daemon leads
   */
  public boolean decide(boolean eligible, long nowNanos) {
    boolean leaderAlive = leader.equals(self) ? eligible : alive(leader, nowNanos);
    if (!leaderAlive && eligible && self.equals(lowestEligible(nowNanos))) {
      follow(term + 1, self, nowNanos);
    }
    return eligible && leader.equals(self);
  }

  /**
   * Steps back after a node refused the term as too low.
   *
   * @param nowNanos the steady time
   */
  public void refused(long nowNanos) {
    follow(term + 1, "", nowNanos);
  }

  private void follow(long newTerm, String newLeader, long nowNanos) {
    if (!Objects.equals(leader, newLeader)) {
      leaderSince = nowNanos;
    }
    term = newTerm;
    leader = newLeader;
  }

  private boolean alive(String name, long nowNanos) {
    Heard last = heard.get(name);
    return last != null && last.note().eligible() && nowNanos - last.atNanos() < SILENCE_NANOS;
  }

  private String lowestEligible(long nowNanos) {
    String lowest = self;
    for (String name : heard.keySet()) {
      if (name.compareTo(lowest) < 0 && alive(name, nowNanos)) {
        lowest = name;
      }
    }
    return lowest;
  }

  /**
   * The notes of the daemons that are alive.
   *
   * @param nowNanos the steady time
   * @return the notes by daemon
   */
  public Map<String, PeerNote> live(long nowNanos) {
    Map<String, PeerNote> live = new HashMap<>();
    heard.forEach(
        (name, last) -> {
          if (nowNanos - last.atNanos() < SILENCE_NANOS) {
            live.put(name, last.note());
          }
        });
    return live;
  }

  /**
   * The leader's last note.
   *
   * @return the note; null when this daemon leads or nothing was heard
   */
  public @Nullable PeerNote leaderNote() {
    Heard last = heard.get(leader);
    return last == null ? null : last.note();
  }

  /**
   * The highest term known.
   *
   * @return the term, which is the fencing token of this daemon's orders
   */
  public long term() {
    return term;
  }

  /**
   * The leader of that term.
   *
   * @return its name; empty when unknown
   */
  public String leader() {
    return leader;
  }

  /**
   * Since when the leader leads, as this daemon sees it.
   *
   * @return the steady time, in nanoseconds
   */
  public long leaderSince() {
    return leaderSince;
  }
}
