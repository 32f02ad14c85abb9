package org.fawnvale.serving.daemon;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.fawnvale.serving.core.limit.LimitUpdate;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.peer.EvacuationState;
import org.fawnvale.serving.core.peer.PeerMessage;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.fawnvale.serving.core.quarantine.CrashRecords;
import org.fawnvale.serving.gateway.RequestQuarantine;
import org.fawnvale.serving.limit.LimitPermitService;
import org.fawnvale.serving.peer.Peers;

/**
 * Connects the state that all daemons share with the exchange of peer messages: records of requests
 * that crash nodes, limits that nodes advertise, and evacuated data centres.
 */
final class SharedStateUpdates implements Peers.SharedState {

  private final RendezvousOwners owners;
  private final RequestQuarantine quarantine;
  private final SharedLimits limits;
  private final LimitPermitService limitPermits;
  private final EvacuationUpdates evacuations;

  SharedStateUpdates(
      RendezvousOwners owners,
      RequestQuarantine quarantine,
      SharedLimits limits,
      LimitPermitService limitPermits,
      EvacuationUpdates evacuations) {
    this.owners = owners;
    this.quarantine = quarantine;
    this.limits = limits;
    this.limitPermits = limitPermits;
    this.evacuations = evacuations;
  }

  /** Returns whether an update since the last call has to reach the other daemons at once. */
  boolean takeUrgentUpdate() {
    boolean hasUrgentRecords = quarantine.takeUrgentUpdate();
    boolean hasUrgentEvacuations = evacuations.takeUrgentUpdate();
    return limits.knownLimits().takeUrgent() || hasUrgentRecords || hasUrgentEvacuations;
  }

  @Override
  public CrashRecords records(boolean asRelay) {
    return quarantine.recordsToSend(asRelay);
  }

  @Override
  public List<LimitUpdate> limits(boolean asRelay) {
    return limits.updatesToSend(asRelay, System.nanoTime());
  }

  @Override
  public EvacuationState evacuations() {
    return evacuations.state();
  }

  @Override
  public void receive(EvacuationState state) {
    evacuations.receive(state);
  }

  @Override
  public void receive(CrashRecords records, List<LimitUpdate> limitUpdates) {
    if (!records.isEmpty()) {
      quarantine.receive(records);
    }
    limitPermits.receive(limitUpdates);
  }

  /**
   * Updates which daemons are reachable, and with them the owners of limits and of the trials of
   * quarantined requests.
   *
   * @param live the last messages of the live peers
   * @param recentlySeenCount the number of daemons seen recently, this one included
   */
  void updateReachableDaemons(Collection<PeerMessage> live, int recentlySeenCount) {
    List<RendezvousOwners.Daemon> others = new ArrayList<>();
    live.forEach(
        message ->
            others.add(
                new RendezvousOwners.Daemon(
                    message.name(), message.address(), message.dataCentre())));
    long now = System.nanoTime();
    if (owners.updateReachable(others, recentlySeenCount, now)) {
      limits.ownersChanged(now);
    }
  }
}
