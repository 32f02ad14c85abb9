package org.fawnvale.serving.daemon;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.fawnvale.serving.core.limit.LimitNote;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.peer.Owners;
import org.fawnvale.serving.core.peer.PeerNote;
import org.fawnvale.serving.core.quarantine.RequestRecord;
import org.fawnvale.serving.gateway.RepeatGuard;
import org.fawnvale.serving.limit.LimitDesk;
import org.fawnvale.serving.peer.Peers;

/**
 * Connects the state that all daemons share with the exchange of peer messages: records of requests
 * that crash nodes, and limits that nodes advertise.
 */
final class SharedStateUpdates implements Peers.SharedNews {

  private final Owners owners;
  private final RepeatGuard quarantine;
  private final SharedLimits limits;
  private final LimitDesk limitPermits;

  SharedStateUpdates(
      Owners owners, RepeatGuard quarantine, SharedLimits limits, LimitDesk limitPermits) {
    this.owners = owners;
    this.quarantine = quarantine;
    this.limits = limits;
    this.limitPermits = limitPermits;
  }

  /** Tells whether an update since the last call has to reach the other daemons at once. */
  boolean takeUrgentUpdate() {
    boolean hasUrgentRecords = quarantine.takeNews();
    return limits.known().takeNews() || hasUrgentRecords;
  }

  @Override
  public List<RequestRecord> records(boolean forOthers) {
    return quarantine.toTell(forOthers);
  }

  @Override
  public List<LimitNote> limits(boolean forOthers) {
    return limits.toTell(forOthers, System.nanoTime());
  }

  @Override
  public void hear(List<RequestRecord> records, List<LimitNote> limitUpdates) {
    if (!records.isEmpty()) {
      quarantine.hear(records);
    }
    limitPermits.learn(limitUpdates);
  }

  /**
   * Updates which daemons are reachable, and with them the owners of limits and of the trials of
   * quarantined requests.
   *
   * @param live the last messages of the live peers
   * @param recentlySeenCount the number of daemons heard recently, this one included
   */
  void updateReachableDaemons(Collection<PeerNote> live, int recentlySeenCount) {
    List<Owners.Daemon> others = new ArrayList<>();
    live.forEach(
        note -> others.add(new Owners.Daemon(note.name(), note.address(), note.dataCentre())));
    if (owners.see(others, recentlySeenCount, System.nanoTime())) {
      limits.ownersChanged();
    }
  }
}
