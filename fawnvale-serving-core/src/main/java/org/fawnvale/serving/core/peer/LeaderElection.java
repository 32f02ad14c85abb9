package org.fawnvale.serving.core.peer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Who of the live daemons forms groups. No agreement is needed for safety: orders carry a fencing
 * token that no two claims share, and the node's own order count as a condition. The rank only
 * keeps two from working against each other.
 *
 * <p>Daemons that hear few others claim the term that stands, since the two sides of a cut would
 * outbid each other's terms. So a term may have several leaders at once, and the claims within it
 * are counted: each is above all that its leader has heard of.
 */
public final class LeaderElection {

  /** Notes that may be missed before their sender counts as gone. */
  private static final long TIMEOUT_NANOS = 500_000_000L;

  private static final long CLAIM_DELAY_STEP_NANOS = 120_000_000L;
  private static final long MEMBERSHIP_NANOS = 40_000_000_000L;
  private static final long BACKOFF_NANOS = 4_000_000_000L;
  private static final long NEVER = Long.MIN_VALUE;

  private final String self;
  private final String dataCentre;
  private final Map<String, Received> received = new HashMap<>();
  private long term;
  private String leader = "";
  private long highestClaim;
  private long ownClaim;
  private LeaderEligibility ownEligibility = LeaderEligibility.INELIGIBLE;
  private long leaderlessSince = NEVER;
  private long backoffUntil = NEVER;

  private record Received(PeerMessage message, long atNanos) {}

  /**
   * Creates the view of one daemon.
   *
   * @param self its name
   * @param dataCentre its data centre
   */
  public LeaderElection(String self, String dataCentre) {
    this.self = self;
    this.dataCentre = dataCentre;
  }

  /**
   * Takes a note of a peer in.
   *
   * @param note the note
   * @param nowNanos the steady time
   */
  public void receive(PeerMessage note, long nowNanos) {
    Received before = received.get(note.name());
    if (isFromPreviousIncarnation(before, note.incarnation(), nowNanos)) {
      return;
    }
    received.put(note.name(), new Received(note, nowNanos));
    if (note.term() > term) {
      enterTerm(note.term());
    }
    if (note.term() == term) {
      receiveClaim(note, nowNanos);
    }
  }

  /**
   * A start's number comes from its time of day, which may stand back by seconds, so a lower one is
   * not for ever an earlier one. What a former life sent arrives within milliseconds of its end; a
   * daemon that was silent for longer, and is heard with a lower number, has started again.
   */
  private static boolean isFromPreviousIncarnation(
      @Nullable Received before, long incarnation, long nowNanos) {
    return before != null
        && before.message().incarnation() > incarnation
        && nowNanos - before.atNanos() < TIMEOUT_NANOS;
  }

  private void receiveClaim(PeerMessage note, long nowNanos) {
    highestClaim = Math.max(highestClaim, note.claim());
    String candidate = note.leader();
    boolean isNews = !candidate.isEmpty() && !candidate.equals(leader);
    if (isNews && isPreferred(candidate, nowNanos)) {
      leader = candidate;
    }
  }

  /**
   * Takes in that a daemon of another data centre is alive, by the word of that data centre's
   * digest.
   *
   * @param member the daemon
   * @param dataCentreOfMember its data centre
   * @param nowNanos the steady time
   */
  public void receiveMember(
      DataCentreDigest.Member member, String dataCentreOfMember, long nowNanos) {
    Received before = received.get(member.name());
    if (isFromPreviousIncarnation(before, member.incarnation(), nowNanos)) {
      return;
    }
    boolean sameLife = before != null && before.message().incarnation() == member.incarnation();
    PeerMessage note =
        sameLife && before != null
            ? before.message().withEligibility(member.eligibility())
            : PeerMessage.ofMember(member, dataCentreOfMember);
    received.put(member.name(), new Received(note, nowNanos));
  }

  /**
   * Tells whether the leader that a note names goes before the one that is followed, within one
   * term. Few survivors raise no term, so a leader that is gone must lose to any that claims, and
   * one that has lost the store to one that has it.
   */
  private boolean isPreferred(String candidate, long nowNanos) {
    LeaderEligibility ofCandidate =
        candidate.equals(self) ? ownEligibility : eligibilityOf(candidate, nowNanos);
    LeaderEligibility ofLeader =
        leader.equals(self) ? ownEligibility : eligibilityOf(leader, nowNanos);
    if (leader.isEmpty() || ofCandidate != ofLeader) {
      return leader.isEmpty() || ofCandidate.compareTo(ofLeader) > 0;
    }
    return candidate.compareTo(leader) < 0;
  }

  /**
   * Decides anew who leads. A daemon claims leadership once there was no leader for a while that
   * grows with its rank, so that the first claim is heard before the second is made.
   *
   * @param standing how fit this daemon is to lead
   * @param nowNanos the steady time
   * @return true when this daemon leads
   */
  public boolean decide(LeaderEligibility standing, long nowNanos) {
    ownEligibility = standing;
    LeaderEligibility best = bestEligibility(standing, nowNanos);
    LeaderEligibility ofLeader = leader.equals(self) ? standing : eligibilityOf(leader, nowNanos);
    if (best == LeaderEligibility.INELIGIBLE || ofLeader == best) {
      leaderlessSince = NEVER;
    } else if (leaderlessSince == NEVER) {
      leaderlessSince = nowNanos;
    }
    boolean due =
        leaderlessSince != NEVER
            && standing == best
            && nowNanos - leaderlessSince >= rank(best, nowNanos) * CLAIM_DELAY_STEP_NANOS;
    if (due) {
      leaderlessSince = NEVER;
      if (!inMinority(nowNanos)) {
        enterTerm(term + 1);
      }
      leader = self;
      claim();
    }
    if (leader.equals(self) && highestClaim > ownClaim) {
      claim();
    }
    return standing != LeaderEligibility.INELIGIBLE
        && leader.equals(self)
        && nowNanos >= backoffUntil;
  }

  /**
   * Steps back after a node refused the fence as too low. A daemon that hears most others claims a
   * higher term; one that does not stays quiet, since the others surely have a leader, and claims
   * anew afterwards.
   *
   * @param nowNanos the steady time
   */
  public void fenceRejected(long nowNanos) {
    if (inMinority(nowNanos)) {
      backoffUntil = nowNanos + BACKOFF_NANOS;
      highestClaim = Math.max(highestClaim, ownClaim + 1);
    } else {
      enterTerm(term + 1);
    }
  }

  /** Tells whether most of the daemons that were heard of lately are not heard now. */
  private boolean inMinority(long nowNanos) {
    int alive = 1;
    for (Received last : received.values()) {
      alive += isAlive(last, nowNanos) ? 1 : 0;
    }
    return 2 * alive <= recentlySeenCount(nowNanos);
  }

  /**
   * Daemons heard lately, this one included; some of them may be out of sight now.
   *
   * @param nowNanos the steady time
   * @return their number
   */
  public int recentlySeenCount(long nowNanos) {
    int known = 1;
    for (Received last : received.values()) {
      known += nowNanos - last.atNanos() < MEMBERSHIP_NANOS ? 1 : 0;
    }
    return known;
  }

  private void enterTerm(long newTerm) {
    term = newTerm;
    leader = "";
    highestClaim = 0;
    ownClaim = 0;
  }

  /** Nodes refuse the lower of two claims, so the daemon that leads needs the highest one. */
  private void claim() {
    highestClaim++;
    ownClaim = highestClaim;
  }

  private LeaderEligibility eligibilityOf(String name, long nowNanos) {
    Received last = received.get(name);
    boolean alive = last != null && isAlive(last, nowNanos);
    return alive ? last.message().eligibility() : LeaderEligibility.INELIGIBLE;
  }

  /** The leader tells its own data centre each of its notes. */
  private boolean isAlive(Received last, long nowNanos) {
    boolean isNear = last.message().dataCentre().equals(dataCentre);
    boolean tellsEachNote = isNear && last.message().name().equals(leader);
    return nowNanos - last.atNanos() < (tellsEachNote ? TIMEOUT_NANOS : timeoutNanos());
  }

  /**
   * In a large fleet near daemons tell each other every other note, and of far ones one hears by
   * digests, which take two hops.
   */
  private long timeoutNanos() {
    return MessageRouting.hasRelays(received.size() + 1) ? 2 * TIMEOUT_NANOS : TIMEOUT_NANOS;
  }

  private LeaderEligibility bestEligibility(LeaderEligibility own, long nowNanos) {
    LeaderEligibility best = own;
    for (String name : received.keySet()) {
      LeaderEligibility other = eligibilityOf(name, nowNanos);
      best = other.compareTo(best) > 0 ? other : best;
    }
    return best;
  }

  /** Counts the daemons of the best standing whose names come first. */
  private int rank(LeaderEligibility best, long nowNanos) {
    int rank = 0;
    for (String name : received.keySet()) {
      if (name.compareTo(self) < 0 && eligibilityOf(name, nowNanos) == best) {
        rank++;
      }
    }
    return rank;
  }

  /**
   * The notes of the daemons that are alive.
   *
   * @param nowNanos the steady time
   * @return the notes by daemon
   */
  public Map<String, PeerMessage> live(long nowNanos) {
    Map<String, PeerMessage> live = new HashMap<>();
    received.forEach(
        (name, last) -> {
          if (isAlive(last, nowNanos)) {
            live.put(name, last.message());
          }
        });
    return live;
  }

  /**
   * Tells whether the last note of any daemon names a head that it suspects.
   *
   * @return false when none does
   */
  public boolean anySuspects() {
    for (Received last : received.values()) {
      if (!last.message().suspects().isEmpty()) {
        return true;
      }
    }
    return false;
  }

  /**
   * The data centres of which any daemon was heard a moment ago.
   *
   * @param nowNanos the steady time
   * @return the data centres, without this daemon's own unless others live there
   */
  public Set<String> reachableDataCentres(long nowNanos) {
    Set<String> dataCentres = new HashSet<>();
    for (Received last : received.values()) {
      if (nowNanos - last.atNanos() < timeoutNanos()) {
        dataCentres.add(last.message().dataCentre());
      }
    }
    return dataCentres;
  }

  /**
   * The place of this daemon among those of its data centre: those that the store answers come
   * first, then those of smaller names.
   *
   * @param standing how fit this daemon is to lead
   * @param nowNanos the steady time
   * @return the number of live daemons that come before it
   */
  public int rankInDataCentre(LeaderEligibility standing, long nowNanos) {
    int before = 0;
    for (Received last : received.values()) {
      PeerMessage note = last.message();
      boolean near = note.dataCentre().equals(dataCentre) && isAlive(last, nowNanos);
      boolean fitter = note.eligibility().compareTo(standing) > 0;
      boolean first = note.eligibility() == standing && note.name().compareTo(self) < 0;
      before += near && (fitter || first) ? 1 : 0;
    }
    return before;
  }

  /**
   * The leader's last note.
   *
   * @return the note; null when this daemon leads or nothing was heard
   */
  public @Nullable PeerMessage leaderMessage() {
    Received last = received.get(leader);
    return last == null ? null : last.message();
  }

  /**
   * The highest term known.
   *
   * @return the term
   */
  public long term() {
    return term;
  }

  /**
   * The highest claim within that term that is known, whoever made it.
   *
   * @return its number, from 1 on; 0 when there was none
   */
  public long highestClaim() {
    return highestClaim;
  }

  /**
   * The fencing token of this daemon's orders while it leads.
   *
   * @return the token, which no other daemon uses
   */
  public long fence() {
    return FencingToken.of(term, ownClaim, self);
  }

  /**
   * The leader of that term.
   *
   * @return its name; empty when unknown
   */
  public String leader() {
    return leader;
  }
}
