package org.fawnvale.serving.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.formation.StallEvidence;
import org.fawnvale.serving.core.limit.LimitUpdate;
import org.fawnvale.serving.core.model.Settings;
import org.fawnvale.serving.core.peer.DaemonState;
import org.fawnvale.serving.core.peer.DataCentreDigest;
import org.fawnvale.serving.core.peer.DataCentreDigests;
import org.fawnvale.serving.core.peer.LeaderElection;
import org.fawnvale.serving.core.peer.LeaderEligibility;
import org.fawnvale.serving.core.peer.MessageRouting;
import org.fawnvale.serving.core.peer.PeerMessage;
import org.fawnvale.serving.core.quarantine.QuarantineRecord;
import org.fawnvale.serving.core.watch.CopyPositions;

/** What the other daemons told last, and who leads. All calls hold the guard. */
public final class Peers {

  private static final Logger LOG = LogManager.getLogger("peer");

  private final Settings settings;
  private final long incarnation;
  private final LeaderElection election;
  private final DataCentreDigests digests;
  private final MessageRouting routing;
  private final CopyPositionsListener copyPositionsListener;
  private final SharedState shared;
  private final Set<String> everHeard = new HashSet<>();
  private Set<String> aliveBefore = Set.of();
  private String leaderBefore = "";
  private boolean servedElsewhere;
  private int turn;
  private PeerLink link;

  private Peers(
      Settings settings,
      long incarnation,
      CopyPositionsListener copyPositionsListener,
      SharedState shared) {
    this.settings = settings;
    this.incarnation = incarnation;
    this.election = new LeaderElection(settings.name(), settings.dataCentre());
    this.digests = new DataCentreDigests(settings.dataCentre());
    this.routing = new MessageRouting(settings.name(), settings.dataCentre());
    this.copyPositionsListener = copyPositionsListener;
    this.shared = shared;
  }

  /** What all daemons come to know together, told with the notes. */
  public interface SharedState {

    /**
     * Requests under which nodes ended.
     *
     * @param asRelay whether what others have told is told on, as the relay of a large fleet does
     * @return the records that go out with the next note
     */
    List<QuarantineRecord> records(boolean asRelay);

    /**
     * Limits that nodes name.
     *
     * @param asRelay whether what others have told is told on
     * @return the notes on limits that go out with the next note
     */
    List<LimitUpdate> limits(boolean asRelay);

    /**
     * Takes in what a peer tells.
     *
     * @param records what it knows of requests under which nodes ended
     * @param limits what it knows of limits
     */
    void receive(List<QuarantineRecord> records, List<LimitUpdate> limits);
  }

  /** Told what a peer's copies of the store's objects show. */
  @FunctionalInterface
  public interface CopyPositionsListener {

    /**
     * Hears of a peer's copies.
     *
     * @param address the peer's address
     * @param isNear whether it is of the same data centre
     * @param places what they show
     */
    void received(String address, boolean isNear, CopyPositions places);
  }

  /**
   * Begins to hear other daemons.
   *
   * @param settings the daemon's settings
   * @param guard held while notes are taken in
   * @param incarnation the number of this start
   * @param copyPositionsListener told what a peer's copies of the store's objects show
   * @param shared what all daemons come to know together
   * @return the peers
   * @throws IOException when the port can't be bound
   */
  public static Peers open(
      Settings settings,
      Object guard,
      long incarnation,
      CopyPositionsListener copyPositionsListener,
      SharedState shared)
      throws IOException {
    Peers peers = new Peers(settings, incarnation, copyPositionsListener, shared);
    peers.link = PeerLink.open(settings, guard, peers::hear);
    return peers;
  }

  private void hear(PeerMessageCodec.Datagram datagram) {
    long now = System.nanoTime();
    everHeard.add(datagram.note().name());
    servedElsewhere |= datagram.note().served();
    election.receive(datagram.note(), now);
    for (DataCentreDigest digest : datagram.digests()) {
      if (digests.receive(digest, now)) {
        servedElsewhere |= digest.served();
        digest.members().forEach(member -> hearOf(member, digest.dataCentre(), now));
      }
    }
    boolean isNear = datagram.note().dataCentre().equals(settings.dataCentre());
    copyPositionsListener.received(datagram.note().address(), isNear, datagram.places());
    if (!datagram.records().isEmpty() || !datagram.limits().isEmpty()) {
      shared.receive(datagram.records(), datagram.limits());
    }
  }

  private void hearOf(DataCentreDigest.Member member, String dataCentre, long now) {
    everHeard.add(member.name());
    election.receiveMember(member, dataCentre, now);
    link.learn(member.address());
  }

  /**
   * Decides who leads, and logs what has changed.
   *
   * @param standing how fit this daemon is to lead
   * @return true when this daemon leads
   */
  public boolean decide(LeaderEligibility standing) {
    long now = System.nanoTime();
    boolean leads = election.decide(standing, now);
    if (!election.leader().equals(leaderBefore)) {
      leaderBefore = election.leader();
      LOG.info(
          "leader={} term={} claim={} outcome=follows",
          leaderBefore,
          election.term(),
          election.highestClaim());
    }
    Set<String> alive = Set.copyOf(election.live(now).keySet());
    if (!alive.equals(aliveBefore)) {
      LOG.info("alive={} before={} outcome=members_changed", alive.size(), aliveBefore.size());
      aliveBefore = alive;
    }
    return leads;
  }

  /**
   * Tells whether this daemon is to watch the store for its data centre.
   *
   * @param standing how fit it is
   * @return true when no fitter or earlier one lives there
   */
  public boolean isDataCentreWatcher(LeaderEligibility standing) {
    return election.rankInDataCentre(standing, System.nanoTime()) == 0;
  }

  /**
   * Tells the others about this daemon.
   *
   * @param state what it tells
   * @param places what its copies of the store's objects show
   * @param news whether it holds what all daemons should know at once
   */
  public void send(DaemonState state, CopyPositions places, boolean news) {
    PeerMessage note =
        new PeerMessage(
            settings.name(),
            settings.address(),
            settings.dataCentre(),
            incarnation,
            election.term(),
            election.leader(),
            election.highestClaim(),
            state.eligibility(),
            state.served() || servedElsewhere,
            state.inFlight(),
            state.offeredWork(),
            state.suspects(),
            state.refusing(),
            state.groups(),
            state.closed());
    route(note, places, news);
  }

  private void route(PeerMessage note, CopyPositions places, boolean news) {
    turn++;
    Map<String, PeerMessage> live = live();
    List<MessageRouting.Peer> others = new ArrayList<>();
    Set<String> near = new HashSet<>();
    Set<String> known = new HashSet<>();
    for (PeerMessage other : live.values()) {
      others.add(new MessageRouting.Peer(other.name(), other.address(), other.dataCentre()));
      known.add(other.address());
      if (other.dataCentre().equals(settings.dataCentre())) {
        near.add(other.address());
      }
    }
    boolean leads = election.leader().equals(settings.name());
    Set<String> targets =
        routing.targets(
            others, new MessageRouting.SendContext(turn, leads, election.leader(), news));
    boolean relays = MessageRouting.hasRelays(others.size() + 1) && routing.isRelay(others);
    List<QuarantineRecord> records = shared.records(relays);
    List<LimitUpdate> limits = shared.limits(relays);
    List<String> addresses = link.addresses();
    link.send(
        new PeerMessageCodec.Datagram(
            note, places, addresses, relays ? heardDigests() : List.of(), records, limits),
        intersection(targets, near));
    targets.removeAll(near);
    link.send(
        new PeerMessageCodec.Datagram(
            note,
            places,
            addresses,
            relays ? List.of(ownDigest(note, live.values())) : List.of(),
            records,
            limits),
        targets);
    link.sendToUnheard(
        new PeerMessageCodec.Datagram(note, places, addresses, List.of(), records, limits), known);
  }

  private static Set<String> intersection(Set<String> targets, Set<String> near) {
    Set<String> both = new HashSet<>(targets);
    both.retainAll(near);
    return both;
  }

  /** What a relay hands on to its own daemons, every other note: links may be narrow. */
  private List<DataCentreDigest> heardDigests() {
    return turn % 2 == 0 ? List.copyOf(freshDigests()) : List.of();
  }

  /** What a relay tells the other relays. */
  private DataCentreDigest ownDigest(PeerMessage own, Collection<PeerMessage> live) {
    List<PeerMessage> near = new ArrayList<>();
    near.add(own);
    live.stream()
        .filter(note -> note.dataCentre().equals(settings.dataCentre()))
        .forEach(near::add);
    return digests.summarize(near, settings.name(), System.nanoTime());
  }

  /**
   * What the others tell of upstreams.
   *
   * @param inFlight their requests by node id, summed
   * @param refusing ids of heads that turn requests of any of them away, or have asked one for rest
   */
  public record UpstreamReports(Map<String, Integer> inFlight, Set<String> rejecting) {}

  /**
   * Gathers what the others tell of upstreams, in one pass.
   *
   * @return what their last notes and digests tell
   */
  public UpstreamReports upstreamReports() {
    Map<String, Integer> sum = new HashMap<>();
    Set<String> refusing = new HashSet<>();
    for (PeerMessage note : withoutDigest()) {
      note.inFlight().forEach((node, count) -> sum.merge(node, count, Integer::sum));
      refusing.addAll(note.refusing());
    }
    for (DataCentreDigest digest : freshDigests()) {
      digest.inFlight().forEach((node, count) -> sum.merge(node, count, Integer::sum));
      refusing.addAll(digest.refusing());
    }
    return new UpstreamReports(sum, refusing);
  }

  /**
   * The work that callers of all other daemons ask for, summed.
   *
   * @return by model, how many groups it would keep busy
   */
  public Map<String, Double> offeredWork() {
    Map<String, Double> sum = new HashMap<>();
    for (PeerMessage note : withoutDigest()) {
      note.offeredWork().forEach((model, groups) -> sum.merge(model, groups, Double::sum));
    }
    for (DataCentreDigest digest : freshDigests()) {
      digest.offeredWork().forEach((model, groups) -> sum.merge(model, groups, Double::sum));
    }
    return sum;
  }

  /**
   * What the others tell of heads.
   *
   * @return a witness for each live daemon, or for each data centre that has a digest
   */
  public List<StallEvidence.Observation> stallObservations() {
    List<StallEvidence.Observation> witnesses = new ArrayList<>();
    for (PeerMessage note : withoutDigest()) {
      witnesses.add(
          new StallEvidence.Observation(
              note.dataCentre(), note.suspects(), note.inFlight().keySet()));
    }
    for (DataCentreDigest digest : freshDigests()) {
      witnesses.add(
          new StallEvidence.Observation(
              digest.dataCentre(), digest.suspects(), digest.inFlight().keySet()));
    }
    return witnesses;
  }

  /**
   * Tells cheaply whether any daemon suspects a head, so that nothing need be gathered otherwise.
   *
   * @return false when the last notes and digests name no suspect
   */
  public boolean anySuspects() {
    return election.anySuspects() || digests.anySuspects();
  }

  private Collection<DataCentreDigest> freshDigests() {
    return digests.fresh(System.nanoTime()).values();
  }

  /** The notes of live daemons that no digest sums up. */
  private List<PeerMessage> withoutDigest() {
    Set<String> summed = digests.fresh(System.nanoTime()).keySet();
    List<PeerMessage> notes = new ArrayList<>();
    for (PeerMessage note : live().values()) {
      if (!summed.contains(note.dataCentre())) {
        notes.add(note);
      }
    }
    return notes;
  }

  /**
   * Tells whether the store fails to answer a live daemon of this data centre.
   *
   * @return true when one of them says so
   */
  public boolean peerInDataCentreLostStore() {
    return live().values().stream()
        .anyMatch(
            note ->
                note.dataCentre().equals(settings.dataCentre())
                    && note.eligibility() == LeaderEligibility.WITHOUT_STORE);
  }

  /**
   * Tells whether the store answers any other live daemon.
   *
   * @return true when one of them says so
   */
  public boolean storeAnswersAnyPeer() {
    return live().values().stream()
        .anyMatch(note -> note.eligibility() == LeaderEligibility.ELIGIBLE);
  }

  /**
   * The notes of live daemons.
   *
   * @return notes by daemon
   */
  public Map<String, PeerMessage> live() {
    return election.live(System.nanoTime());
  }

  /**
   * Daemons heard lately, this one included; some of them may be out of sight now.
   *
   * @return their number
   */
  public int recentlySeenCount() {
    return election.recentlySeenCount(System.nanoTime());
  }

  /**
   * Daemons heard of since the start, this one included.
   *
   * @return their number
   */
  public int knownDaemonCount() {
    return everHeard.size() + 1;
  }

  /**
   * Tells whether callers' requests have come to any other daemon.
   *
   * @return true once one has said so
   */
  public boolean servedElsewhere() {
    return servedElsewhere;
  }

  /**
   * Who leads.
   *
   * @return the view of election
   */
  public LeaderElection election() {
    return election;
  }

  /**
   * Datagrams sent so far.
   *
   * @return their number
   */
  public long sent() {
    return link.sent();
  }

  /** Closes the link. */
  public void stop() {
    link.close();
  }
}
