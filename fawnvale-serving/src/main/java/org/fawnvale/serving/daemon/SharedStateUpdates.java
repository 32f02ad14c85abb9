package org.fawnvale.serving.daemon;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.fawnvale.serving.core.limit.LimitUpdate;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.peer.PeerMessage;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.fawnvale.serving.core.quarantine.QuarantineRecord;
import org.fawnvale.serving.gateway.RequestQuarantine;
import org.fawnvale.serving.limit.LimitPermitService;
import org.fawnvale.serving.peer.Peers;

/** What all daemons come to know together: requests that end nodes, and limits that nodes name. */
final class SharedStateUpdates implements Peers.SharedState {

  private final RendezvousOwners owners;
  private final RequestQuarantine repeats;
  private final SharedLimits limits;
  private final LimitPermitService desk;

  SharedStateUpdates(
      RendezvousOwners owners,
      RequestQuarantine repeats,
      SharedLimits limits,
      LimitPermitService desk) {
    this.owners = owners;
    this.repeats = repeats;
    this.limits = limits;
    this.desk = desk;
  }

  /** Tells whether there is what the others should know at once. */
  boolean takeNews() {
    boolean ofRepeats = repeats.takeUrgentUpdate();
    return limits.knownLimits().takeUrgent() || ofRepeats;
  }

  @Override
  public List<QuarantineRecord> records(boolean asRelay) {
    return repeats.recordsToSend(asRelay);
  }

  @Override
  public List<LimitUpdate> limits(boolean asRelay) {
    return limits.updatesToSend(asRelay, System.nanoTime());
  }

  @Override
  public void receive(List<QuarantineRecord> records, List<LimitUpdate> notes) {
    if (!records.isEmpty()) {
      repeats.receive(records);
    }
    desk.receive(notes);
  }

  /** Takes in which daemons are in touch: they share limits, and trials of barred requests. */
  void see(Collection<PeerMessage> live, int heardLately) {
    List<RendezvousOwners.Daemon> others = new ArrayList<>();
    live.forEach(
        note ->
            others.add(
                new RendezvousOwners.Daemon(note.name(), note.address(), note.dataCentre())));
    if (owners.updateReachable(others, heardLately, System.nanoTime())) {
      limits.ownersChanged();
    }
  }
}
