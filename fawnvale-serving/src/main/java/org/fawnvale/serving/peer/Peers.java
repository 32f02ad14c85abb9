package org.fawnvale.serving.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.formation.StallEvidence;
import org.fawnvale.serving.core.limit.LimitUpdate;
import org.fawnvale.serving.core.model.Settings;
import org.fawnvale.serving.core.peer.DaemonState;
import org.fawnvale.serving.core.peer.DataCentreDigest;
import org.fawnvale.serving.core.peer.DataCentreDigests;
import org.fawnvale.serving.core.peer.EvacuationState;
import org.fawnvale.serving.core.peer.FleetMembers;
import org.fawnvale.serving.core.peer.LeaderElection;
import org.fawnvale.serving.core.peer.LeaderEligibility;
import org.fawnvale.serving.core.peer.MessageRouting;
import org.fawnvale.serving.core.peer.PathReport;
import org.fawnvale.serving.core.peer.PeerMessage;
import org.fawnvale.serving.core.peer.PeerReports;
import org.fawnvale.serving.core.quarantine.CrashRecords;
import org.fawnvale.serving.core.watch.CopyPositions;

/**
 * This daemon's view of the other daemons: the last message of each, the digests of other data
 * centres, and the elected leader. Callers hold the daemon's lock.
 */
public final class Peers {

  private static final Logger LOG = LogManager.getLogger("peer");

  /** How long it is remembered that another daemon has heard an upstream. */
  private static final long HEARD_RETENTION_NANOS = 5_000_000_000L;

  /** Successive messages tell different members, to save bandwidth. */
  private static final int MEMBERS_PER_MESSAGE = 1;

  private final Settings settings;
  private final long incarnation;
  private final LeaderElection election;
  private final DataCentreDigests digests;
  private final MessageRouting routing;
  private final CopyPositionsListener copyPositionsListener;
  private final SharedState sharedState;
  private final FleetMembers members;
  private Set<String> previousAlive = Set.of();
  private String previousLeader = "";
  private boolean servedElsewhere;
  private final Map<String, Long> heardElsewhere = new HashMap<>();
  private int sequence;
  private PeerLink link;

  private Peers(
      Settings settings,
      long incarnation,
      CopyPositionsListener copyPositionsListener,
      SharedState sharedState) {
    this.settings = settings;
    this.incarnation = incarnation;
    this.election = new LeaderElection(settings.name(), settings.dataCentre());
    this.digests = new DataCentreDigests(settings.dataCentre());
    this.members = new FleetMembers(settings.name(), settings.firstStart());
    this.routing = new MessageRouting(settings.name(), settings.dataCentre());
    this.copyPositionsListener = copyPositionsListener;
    this.sharedState = sharedState;
  }

  /** State that all daemons share and exchange with their messages. */
  public interface SharedState {

    /**
     * Returns the records of node crashes to send with the next message.
     *
     * @param asRelay whether to include records received from other daemons, as a relay does
     */
    CrashRecords records(boolean asRelay);

    /**
     * Returns the limit updates to send with the next message.
     *
     * @param asRelay whether to include updates received from other daemons, as a relay does
     */
    List<LimitUpdate> limits(boolean asRelay);

    /** Returns the evacuated data centres that this daemon knows. */
    EvacuationState evacuations();

    /**
     * Merges the evacuated data centres that a peer knows.
     *
     * @param state the peer's knowledge; never {@link EvacuationState#UNKNOWN}
     */
    void receive(EvacuationState state);

    /**
     * Merges the shared state of a received message.
     *
     * @param crashRecords the peer's node crashes attributed to requests and prompt parts
     * @param limitUpdates limits that the peer knows
     */
    void receive(CrashRecords crashRecords, List<LimitUpdate> limitUpdates);
  }

  /** Receives the positions of other daemons' copies of the store's objects. */
  @FunctionalInterface
  public interface CopyPositionsListener {

    /**
     * Called for each received message.
     *
     * @param address the peer's IP address
     * @param isSameDataCentre whether the peer is in this daemon's data centre
     * @param positions the positions of the peer's copies
     */
    void received(String address, boolean isSameDataCentre, CopyPositions positions);
  }

  /**
   * Binds the peer port. Messages of other daemons wait there until {@link #listen}.
   *
   * @param settings the daemon's settings
   * @param lock held while a received message is processed
   * @param incarnation the number of this start of the daemon
   * @param copyPositionsListener called for each received message
   * @param sharedState the state to send with messages and to merge from them
   * @return the peers
   * @throws IOException if the port can't be bound
   */
  public static Peers open(
      Settings settings,
      Object lock,
      long incarnation,
      CopyPositionsListener copyPositionsListener,
      SharedState sharedState)
      throws IOException {
    Peers peers = new Peers(settings, incarnation, copyPositionsListener, sharedState);
    peers.link = PeerLink.open(settings, lock, peers::receive);
    return peers;
  }

  /** Starts to receive messages. Called once, when all that they lead to exists. */
  public void listen() {
    link.listen();
  }

  private void receive(PeerMessageCodec.Datagram datagram) {
    long now = System.nanoTime();
    members.heard(datagram.message().name(), now);
    datagram.members().forEach(member -> members.told(member, now));
    members.toldCount(datagram.daemonCount());
    servedElsewhere |= datagram.message().served();
    election.receive(datagram.message(), now);
    recordHeardElsewhere(datagram.message(), now);
    for (DataCentreDigest digest : datagram.digests()) {
      if (digests.receive(digest, now)) {
        servedElsewhere |= digest.served();
        digest.members().forEach(member -> receiveMember(member, digest.dataCentre(), now));
      }
    }
    boolean isSameDataCentre = datagram.message().dataCentre().equals(settings.dataCentre());
    copyPositionsListener.received(
        datagram.message().address(), isSameDataCentre, datagram.positions());
    if (!datagram.crashRecords().isEmpty() || !datagram.limitUpdates().isEmpty()) {
      sharedState.receive(datagram.crashRecords(), datagram.limitUpdates());
    }
    if (datagram.evacuations().isKnown()) {
      sharedState.receive(datagram.evacuations());
    }
  }

  private void recordHeardElsewhere(PeerMessage message, long now) {
    if (message.path().heard().isEmpty()) {
      return;
    }
    heardElsewhere.values().removeIf(nanos -> now - nanos > HEARD_RETENTION_NANOS);
    long heardNanos = now - TimeUnit.MILLISECONDS.toNanos(PathReport.HEARD_MILLIS);
    message.path().heard().forEach(node -> heardElsewhere.put(node, heardNanos));
  }

  private void receiveMember(DataCentreDigest.Member member, String dataCentre, long now) {
    members.heard(member.name(), now);
    election.receiveMember(member, dataCentre, now);
    link.addAddress(member.address());
  }

  /**
   * Runs the leader election, and logs changes of the leader and of the live daemons.
   *
   * @param eligibility this daemon's eligibility to lead
   * @return true if this daemon leads
   */
  public boolean decide(LeaderEligibility eligibility) {
    long now = System.nanoTime();
    boolean leads = election.decide(eligibility, now);
    if (!election.leader().equals(previousLeader)) {
      previousLeader = election.leader();
      LOG.info(
          "leader={} term={} claim={} outcome=follows",
          previousLeader,
          election.term(),
          election.highestClaim());
    }
    Set<String> alive = Set.copyOf(election.live(now).keySet());
    if (!alive.equals(previousAlive)) {
      LOG.info("alive={} before={} outcome=members_changed", alive.size(), previousAlive.size());
      previousAlive = alive;
    }
    return leads;
  }

  /**
   * Returns whether this daemon watches the store on behalf of its data centre.
   *
   * @param eligibility this daemon's eligibility to lead
   * @return true if no live daemon of the data centre has a higher eligibility, or the same one and
   *     a smaller name
   */
  public boolean isDataCentreWatcher(LeaderEligibility eligibility) {
    return election.rankInDataCentre(eligibility, System.nanoTime()) == 0;
  }

  /**
   * Sends this daemon's state to the other daemons.
   *
   * @param state the state to send
   * @param positions the positions of this daemon's copies of the store's objects
   * @param urgent whether the leader and the relays should receive the message at once
   */
  public void send(DaemonState state, CopyPositions positions, boolean urgent) {
    PeerMessage message =
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
            state.isShort(),
            state.path(),
            state.inFlight(),
            state.offeredWork(),
            state.offeredByUrgency(),
            state.paces(),
            state.suspects(),
            state.refusing(),
            state.groups(),
            state.closed());
    route(message, positions, urgent);
  }

  private void route(PeerMessage message, CopyPositions positions, boolean urgent) {
    sequence++;
    Map<String, PeerMessage> live = live();
    List<MessageRouting.Peer> others = new ArrayList<>();
    Set<String> local = new HashSet<>();
    Set<String> known = new HashSet<>();
    for (PeerMessage other : live.values()) {
      others.add(new MessageRouting.Peer(other.name(), other.address(), other.dataCentre()));
      known.add(other.address());
      if (other.dataCentre().equals(settings.dataCentre())) {
        local.add(other.address());
      }
    }
    boolean leads = election.leader().equals(settings.name());
    Set<String> targets =
        routing.targets(
            others, new MessageRouting.SendContext(sequence, leads, election.leader(), urgent));
    boolean relays = MessageRouting.hasRelays(others.size() + 1) && routing.isRelay(others);
    CrashRecords crashRecords = sharedState.records(relays);
    List<LimitUpdate> limitUpdates = sharedState.limits(relays);
    EvacuationState evacuations = sharedState.evacuations();
    List<String> addresses = link.addresses();
    long now = System.nanoTime();
    int daemonCount = members.count(now);
    List<FleetMembers.Member> told = members.membersToTell(sequence, MEMBERS_PER_MESSAGE, now);
    link.send(
        new PeerMessageCodec.Datagram(
            message,
            positions,
            addresses,
            relays ? digestsToForward() : List.of(),
            crashRecords,
            limitUpdates,
            evacuations,
            daemonCount,
            told),
        intersection(targets, local));
    targets.removeAll(local);
    link.send(
        new PeerMessageCodec.Datagram(
            message,
            positions,
            addresses,
            relays ? List.of(ownDigest(message, live.values())) : List.of(),
            crashRecords,
            limitUpdates,
            evacuations,
            daemonCount,
            told),
        targets);
    link.sendToUnreachable(
        new PeerMessageCodec.Datagram(
            message,
            positions,
            addresses,
            List.of(),
            crashRecords,
            limitUpdates,
            evacuations,
            daemonCount,
            told),
        known);
  }

  private static Set<String> intersection(Set<String> targets, Set<String> local) {
    Set<String> both = new HashSet<>(targets);
    both.retainAll(local);
    return both;
  }

  /**
   * Digests that a relay forwards to its own data centre: with every second message, to save
   * bandwidth.
   */
  private List<DataCentreDigest> digestsToForward() {
    return sequence % 2 == 0 ? List.copyOf(freshDigests()) : List.of();
  }

  /** The digest of this data centre, which a relay sends to the relays of the others. */
  private DataCentreDigest ownDigest(PeerMessage own, Collection<PeerMessage> live) {
    List<PeerMessage> local = new ArrayList<>();
    local.add(own);
    live.stream()
        .filter(message -> message.dataCentre().equals(settings.dataCentre()))
        .forEach(local::add);
    return digests.summarize(local, settings.name(), System.nanoTime());
  }

  /** Sums up what the other daemons' last messages and digests report. */
  public PeerReports reports() {
    return PeerReports.of(messagesOutsideDigests(), freshDigests());
  }

  /**
   * Returns the load offered by the callers of all other daemons, summed: by model, how many groups
   * it would keep busy.
   */
  public Map<String, Double> offeredWork() {
    Map<String, Double> sum = new HashMap<>();
    for (PeerMessage message : messagesOutsideDigests()) {
      message.offeredWork().forEach((model, groups) -> sum.merge(model, groups, Double::sum));
    }
    for (DataCentreDigest digest : freshDigests()) {
      digest.offeredWork().forEach((model, groups) -> sum.merge(model, groups, Double::sum));
    }
    return sum;
  }

  /**
   * Returns what the other daemons observe of heads.
   *
   * @return one observation for each data centre that has a fresh digest, and one for each live
   *     daemon of the other data centres
   */
  public List<StallEvidence.Observation> stallObservations() {
    List<StallEvidence.Observation> observations = new ArrayList<>();
    for (PeerMessage message : messagesOutsideDigests()) {
      observations.add(
          new StallEvidence.Observation(
              message.dataCentre(), message.suspects(), message.inFlight().keySet()));
    }
    for (DataCentreDigest digest : freshDigests()) {
      observations.add(
          new StallEvidence.Observation(
              digest.dataCentre(), digest.suspects(), digest.inFlight().keySet()));
    }
    return observations;
  }

  /**
   * Returns whether the last message of any daemon or any digest names a suspected head. Cheaper
   * than {@link #stallObservations()}, which is needed only if this is true.
   */
  public boolean anySuspects() {
    return election.anySuspects() || digests.anySuspects();
  }

  private Collection<DataCentreDigest> freshDigests() {
    return digests.fresh(System.nanoTime()).values();
  }

  /** The messages of the live daemons whose data centre has no fresh digest. */
  private List<PeerMessage> messagesOutsideDigests() {
    Set<String> covered = digests.fresh(System.nanoTime()).keySet();
    List<PeerMessage> messages = new ArrayList<>();
    for (PeerMessage message : live().values()) {
      if (!covered.contains(message.dataCentre())) {
        messages.add(message);
      }
    }
    return messages;
  }

  /**
   * Returns whether a live daemon of this data centre reports that the store does not answer it.
   */
  public boolean peerInDataCentreLostStore() {
    return election.anyLive(
        message -> message.reportsLostStore() && message.dataCentre().equals(settings.dataCentre()),
        System.nanoTime());
  }

  /** Returns whether any other live daemon reports that the store answers it. */
  public boolean storeAnswersAnyPeer() {
    return election.anyLive(
        message -> message.eligibility() == LeaderEligibility.ELIGIBLE, System.nanoTime());
  }

  /** Returns the last messages of the other live daemons, by daemon name. */
  public Map<String, PeerMessage> live() {
    return election.live(System.nanoTime());
  }

  /**
   * Returns the number of daemons seen recently, this one included, by this daemon, by others or by
   * the store. Some of them may be unreachable now.
   */
  public int recentlySeenCount() {
    long now = System.nanoTime();
    return Math.max(
        election.recentlySeenCount(now),
        members.countHeardWithin(LeaderElection.MEMBERSHIP_NANOS, now));
  }

  /** Records that the store has listed these daemons. */
  public void onDaemonsListed(Set<String> names) {
    long now = System.nanoTime();
    names.forEach(name -> members.heard(name, now));
    members.listed();
  }

  /** Returns the daemons that share the fleet's bounds. */
  public FleetMembers members() {
    return members;
  }

  /**
   * Returns whether any other daemon has reported that it received a caller's request. Stays true.
   */
  public boolean servedElsewhere() {
    return servedElsewhere;
  }

  /**
   * Returns which upstreams that form groups other daemons have heard, as their messages say.
   * Digests don't tell.
   *
   * @return for each node id a monotonic time in nanoseconds, at which or up to {@link
   *     PathReport#HEARD_MILLIS} after which it was heard
   */
  public Map<String, Long> heardElsewhere() {
    return Collections.unmodifiableMap(heardElsewhere);
  }

  /** Returns whether any other live daemon asks which upstreams this one hears. */
  public boolean isAnyDoubtful() {
    return election.anyLive(message -> message.path().doubtful(), System.nanoTime());
  }

  /** Returns this daemon's view of the leader election. */
  public LeaderElection election() {
    return election;
  }

  /** Returns the number of datagrams sent since the start. */
  public long sent() {
    return link.sent();
  }

  /** Closes the socket. */
  public void stop() {
    link.close();
  }
}
