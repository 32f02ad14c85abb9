package org.fawnvale.serving.core.peer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Elects the daemon that forms groups, from the messages of its peers. Safety doesn't depend on
 * agreement: each order carries a fencing token that is unique to a claim, and is conditional on
 * the node's own order count. The election only prevents several leaders from interfering.
 *
 * <p>A daemon that reaches only a minority claims the current term instead of a new one, so that
 * the sides of a network partition don't raise the term alternately. Several daemons can therefore
 * lead in one term. Claims within a term are numbered, and each new claim exceeds all claims that
 * its leader knows.
 *
 * <p>Not thread-safe.
 */
public final class LeaderElection {

  /** Silence after which a daemon counts as failed: more than three messages. */
  private static final long TIMEOUT_NANOS = 500_000_000L;

  /** Delay between the claims of daemons of successive rank. */
  private static final long CLAIM_DELAY_STEP_NANOS = 120_000_000L;

  /** How long a silent daemon still counts as a member when the majority is determined. */
  public static final long MEMBERSHIP_NANOS = 40_000_000_000L;

  /** How long a daemon in a minority doesn't lead after a node has rejected its fencing token. */
  private static final long BACKOFF_NANOS = 4_000_000_000L;

  private static final long NEVER = Long.MIN_VALUE;

  private final String self;
  private final String dataCentre;
  private final Map<String, Received> received = new HashMap<>();

  /**
   * The number of daemons whose last message lists a suspected head. Counted as messages arrive,
   * because it is read at each tick.
   */
  private int suspecting;

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
   * @param self the daemon's name
   */
  public LeaderElection(String self, String dataCentre) {
    this.self = self;
    this.dataCentre = dataCentre;
  }

  /**
   * Processes a message of a peer.
   *
   * @param nowNanos the monotonic time
   */
  public void receive(PeerMessage message, long nowNanos) {
    Received previous = received.get(message.name());
    if (isFromPreviousIncarnation(previous, message.incarnation(), nowNanos)) {
      return;
    }
    store(message, nowNanos);
    if (message.term() > term) {
      enterTerm(message.term());
    }
    if (message.term() == term) {
      receiveClaim(message, nowNanos);
    }
  }

  /**
   * Incarnations are numbered by wall-clock time, which may be set back, so a lower number doesn't
   * prove an earlier start. Messages of a previous incarnation arrive within milliseconds of its
   * end. If a daemon was silent for longer, a lower number means that it has restarted.
   */
  private static boolean isFromPreviousIncarnation(
      @Nullable Received previous, long incarnation, long nowNanos) {
    return previous != null
        && previous.message().incarnation() > incarnation
        && nowNanos - previous.atNanos() < TIMEOUT_NANOS;
  }

  private void receiveClaim(PeerMessage message, long nowNanos) {
    highestClaim = Math.max(highestClaim, message.claim());
    String candidate = message.leader();
    boolean isOther = !candidate.isEmpty() && !candidate.equals(leader);
    if (isOther && isPreferred(candidate, nowNanos)) {
      leader = candidate;
    }
  }

  /**
   * Records that a daemon of another data centre is alive, as reported by the digest of that data
   * centre.
   *
   * @param memberDataCentre the data centre of the daemon
   * @param nowNanos the monotonic time
   */
  public void receiveMember(
      DataCentreDigest.Member member, String memberDataCentre, long nowNanos) {
    Received previous = received.get(member.name());
    if (isFromPreviousIncarnation(previous, member.incarnation(), nowNanos)) {
      return;
    }
    boolean sameIncarnation =
        previous != null && previous.message().incarnation() == member.incarnation();
    PeerMessage message =
        sameIncarnation && previous != null
            ? previous.message().withEligibility(member.eligibility())
            : PeerMessage.ofMember(member, memberDataCentre);
    store(message, nowNanos);
  }

  private void store(PeerMessage message, long nowNanos) {
    Received previous = received.put(message.name(), new Received(message, nowNanos));
    boolean suspectedBefore = previous != null && !previous.message().suspects().isEmpty();
    suspecting += (message.suspects().isEmpty() ? 0 : 1) - (suspectedBefore ? 1 : 0);
  }

  /**
   * Tells whether the leader that a peer follows replaces the current one within the same term. A
   * minority doesn't raise the term, so a failed leader must give way to any other one, and a
   * leader without access to the store to one with access.
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
   * Updates the election. A daemon claims leadership after a period without a leader that increases
   * with its rank, so that its peers receive the first claim before the second one is made.
   *
   * @param eligibility how eligible this daemon is to lead
   * @param nowNanos the monotonic time
   * @return true when this daemon leads
   */
  public boolean decide(LeaderEligibility eligibility, long nowNanos) {
    ownEligibility = eligibility;
    LeaderEligibility best = bestEligibility(eligibility, nowNanos);
    LeaderEligibility ofLeader =
        leader.equals(self) ? eligibility : eligibilityOf(leader, nowNanos);
    if (best == LeaderEligibility.INELIGIBLE || ofLeader == best) {
      leaderlessSince = NEVER;
    } else if (leaderlessSince == NEVER) {
      leaderlessSince = nowNanos;
    }
    boolean due =
        leaderlessSince != NEVER
            && eligibility == best
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
    return eligibility != LeaderEligibility.INELIGIBLE
        && leader.equals(self)
        && nowNanos >= backoffUntil;
  }

  /**
   * Gives up leadership after a node has rejected the fencing token as too low. A daemon that
   * reaches the majority enters a new term. In a minority it doesn't lead for a while, since the
   * majority probably has a leader, and then makes a higher claim.
   *
   * @param nowNanos the monotonic time
   */
  public void fenceRejected(long nowNanos) {
    if (inMinority(nowNanos)) {
      backoffUntil = nowNanos + BACKOFF_NANOS;
      highestClaim = Math.max(highestClaim, ownClaim + 1);
    } else {
      enterTerm(term + 1);
    }
  }

  /** Tells whether this daemon reaches at most half of the recently seen daemons. */
  private boolean inMinority(long nowNanos) {
    int alive = 1;
    for (Received last : received.values()) {
      alive += isAlive(last, nowNanos) ? 1 : 0;
    }
    return 2 * alive <= recentlySeenCount(nowNanos);
  }

  /**
   * Returns the number of daemons seen recently, including this one and daemons that are not
   * reachable now.
   *
   * @param nowNanos the monotonic time
   */
  public int recentlySeenCount(long nowNanos) {
    int seen = 1;
    for (Received last : received.values()) {
      seen += nowNanos - last.atNanos() < MEMBERSHIP_NANOS ? 1 : 0;
    }
    return seen;
  }

  private void enterTerm(long newTerm) {
    term = newTerm;
    leader = "";
    highestClaim = 0;
    ownClaim = 0;
  }

  /** Nodes reject the lower of two claims, so the leader needs the highest one. */
  private void claim() {
    highestClaim++;
    ownClaim = highestClaim;
  }

  private LeaderEligibility eligibilityOf(String name, long nowNanos) {
    Received last = received.get(name);
    boolean alive = last != null && isAlive(last, nowNanos);
    return alive ? last.message().eligibility() : LeaderEligibility.INELIGIBLE;
  }

  /**
   * The leader sends every message to all daemons of its own data centre, so the short timeout
   * applies to it there.
   */
  private boolean isAlive(Received last, long nowNanos) {
    long silentNanos = nowNanos - last.atNanos();
    if (silentNanos < TIMEOUT_NANOS) {
      return true;
    }
    boolean isLocal = last.message().dataCentre().equals(dataCentre);
    boolean sendsEveryMessage = isLocal && last.message().name().equals(leader);
    return !sendsEveryMessage && silentNanos < timeoutNanos();
  }

  /**
   * In a large fleet, daemons of one data centre exchange every second message only, and remote
   * daemons are seen through digests, which take two hops.
   */
  private long timeoutNanos() {
    return MessageRouting.hasRelays(received.size() + 1) ? 2 * TIMEOUT_NANOS : TIMEOUT_NANOS;
  }

  private LeaderEligibility bestEligibility(LeaderEligibility initial, long nowNanos) {
    LeaderEligibility best = initial;
    for (String name : received.keySet()) {
      LeaderEligibility other = eligibilityOf(name, nowNanos);
      best = other.compareTo(best) > 0 ? other : best;
    }
    return best;
  }

  /** Counts the daemons of the highest eligibility whose names precede this daemon's. */
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
   * Returns the latest messages of the live daemons, by name.
   *
   * @param nowNanos the monotonic time
   */
  public Map<String, PeerMessage> live(long nowNanos) {
    Map<String, PeerMessage> live = new HashMap<>();
    for (Map.Entry<String, Received> entry : received.entrySet()) {
      if (isAlive(entry.getValue(), nowNanos)) {
        live.put(entry.getKey(), entry.getValue().message());
      }
    }
    return live;
  }

  /**
   * Tells whether any live daemon's latest message meets a condition.
   *
   * @param condition tested with the latest messages of live daemons
   * @param nowNanos the monotonic time
   */
  public boolean anyLive(Predicate<PeerMessage> condition, long nowNanos) {
    for (Received last : received.values()) {
      if (condition.test(last.message()) && isAlive(last, nowNanos)) {
        return true;
      }
    }
    return false;
  }

  /** Tells whether the last message of any daemon, live or not, lists a suspected head. */
  public boolean anySuspects() {
    return suspecting > 0;
  }

  /**
   * Returns the data centres of the reachable daemons. This daemon itself doesn't count.
   *
   * @param nowNanos the monotonic time
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
   * Returns the rank of this daemon in its data centre, by eligibility and then by name.
   *
   * @param eligibility how eligible this daemon is to lead
   * @param nowNanos the monotonic time
   * @return the number of live daemons that precede it
   */
  public int rankInDataCentre(LeaderEligibility eligibility, long nowNanos) {
    int previous = 0;
    for (Received last : received.values()) {
      PeerMessage message = last.message();
      boolean isLocal = message.dataCentre().equals(dataCentre) && isAlive(last, nowNanos);
      boolean moreEligible = message.eligibility().compareTo(eligibility) > 0;
      boolean equalAndEarlier =
          message.eligibility() == eligibility && message.name().compareTo(self) < 0;
      previous += isLocal && (moreEligible || equalAndEarlier) ? 1 : 0;
    }
    return previous;
  }

  /**
   * Returns the last message of the leader.
   *
   * @return the message; null when this daemon leads or none was received
   */
  public @Nullable PeerMessage leaderMessage() {
    Received last = received.get(leader);
    return last == null ? null : last.message();
  }

  /** Returns the highest known term. */
  public long term() {
    return term;
  }

  /**
   * Returns the highest known claim within the current term, of any daemon.
   *
   * @return the claim, from 1; 0 when there is none
   */
  public long highestClaim() {
    return highestClaim;
  }

  /** Returns the fencing token for the orders of this daemon while it leads. */
  public long fence() {
    return FencingToken.of(term, ownClaim, self);
  }

  /** Returns the name of the leader of the current term; empty when unknown. */
  public String leader() {
    return leader;
  }
}
