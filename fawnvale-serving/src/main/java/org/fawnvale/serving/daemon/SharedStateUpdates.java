package org.fawnvale.serving.daemon;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.fawnvale.serving.core.limit.LimitNote;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.peer.Owners;
import org.fawnvale.serving.core.peer.PeerNote;
import org.fawnvale.serving.core.quarantine.RequestRecord;
import org.fawnvale.serving.gateway.RequestQuarantine;
import org.fawnvale.serving.limit.LimitPermitService;
import org.fawnvale.serving.peer.Peers;

/** What all daemons come to know together: requests that end nodes, and limits that nodes name. */
final class SharedStateUpdates implements Peers.SharedNews {

  private final Owners owners;
  private final RequestQuarantine repeats;
  private final SharedLimits limits;
  private final LimitPermitService desk;

  SharedStateUpdates(
      Owners owners, RequestQuarantine repeats, SharedLimits limits, LimitPermitService desk) {
    this.owners = owners;
    this.repeats = repeats;
    this.limits = limits;
    this.desk = desk;
  }

  /** Tells whether there is what the others should know at once. */
  boolean takeNews() {
    boolean ofRepeats = repeats.takeUrgentUpdate();
    return limits.known().takeNews() || ofRepeats;
  }

  @Override
  public List<RequestRecord> records(boolean forOthers) {
    return repeats.recordsToSend(forOthers);
  }

  @Override
  public List<LimitNote> limits(boolean forOthers) {
    return limits.toTell(forOthers, System.nanoTime());
  }

  @Override
  public void hear(List<RequestRecord> records, List<LimitNote> notes) {
    if (!records.isEmpty()) {
      repeats.receive(records);
    }
    desk.receive(notes);
  }

  /** Takes in which daemons are in touch: they share limits, and trials of barred requests. */
  void see(Collection<PeerNote> live, int heardLately) {
    List<Owners.Daemon> others = new ArrayList<>();
    live.forEach(
        note -> others.add(new Owners.Daemon(note.name(), note.address(), note.dataCentre())));
    if (owners.see(others, heardLately, System.nanoTime())) {
      limits.ownersChanged();
    }
  }
}
