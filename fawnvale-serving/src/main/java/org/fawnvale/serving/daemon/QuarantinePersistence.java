package org.fawnvale.serving.daemon;

import org.fawnvale.serving.core.quarantine.Fingerprint;
import org.fawnvale.serving.core.quarantine.PartRecord;
import org.fawnvale.serving.core.quarantine.QuarantineRecord;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.gateway.PromptPartQuarantine;
import org.fawnvale.serving.gateway.RequestQuarantine;
import org.fawnvale.serving.store.QuarantineStore;

/**
 * Decides which daemon saves the records of quarantined requests in the platform's store, for
 * daemons that start later. Only few daemons save a record, to limit the number of calls.
 */
final class QuarantinePersistence {

  private final RequestQuarantine quarantine;
  private final QuarantineStore store;
  private boolean leading;
  private StoreEra savedInEra = StoreEra.UNKNOWN;

  /**
   * Creates the service; it does nothing before {@link #start}.
   *
   * @param quarantine notifies which requests are quarantined, and which a successful response has
   *     cleared
   * @param store saves their records
   */
  QuarantinePersistence(RequestQuarantine quarantine, QuarantineStore store) {
    this.quarantine = quarantine;
    this.store = store;
  }

  /**
   * Loads the saved records and registers the listeners.
   *
   * @param mayHaveRecords whether the store may contain records of earlier daemons
   */
  void start(boolean mayHaveRecords) {
    if (mayHaveRecords) {
      store.load();
    }
    quarantine.onQuarantined(this::onQuarantined);
    quarantine.onCleared(store::delete);
    quarantine.parts().onChange(new PartRecords());
  }

  /**
   * Runs a task once this daemon knows what is quarantined, with a bound.
   *
   * @param task releases the first requests
   */
  void whenLoaded(Runnable task) {
    store.whenLoaded(task);
  }

  /** Keeps the records of barred prompt parts, at the daemon that observed it and at the leader. */
  private final class PartRecords implements PromptPartQuarantine.Listener {

    @Override
    public void barred(PartRecord part, boolean own) {
      if (own || leading) {
        store.save(part);
      }
    }

    @Override
    public void freed(Fingerprint part, boolean own) {
      if (own || leading) {
        store.delete(part);
      }
    }
  }

  /**
   * Saves the record of a newly quarantined request. All daemons are notified; the daemon that
   * observed the node exit which led to the quarantine saves the record, and so does the leader,
   * because the other daemon may be shutting down.
   */
  private void onQuarantined(QuarantineRecord quarantined, boolean own) {
    if (own || leading) {
      store.save(quarantined);
    }
  }

  /**
   * Records whether this daemon leads. A rollback of the store may have removed saved records, so
   * the leader, which receives all of them in peer messages, saves them again once in each era.
   *
   * @param leadsNow whether this daemon leads
   * @param era the era of this daemon's copies
   */
  void update(boolean leadsNow, StoreEra era) {
    leading = leadsNow;
    if (leadsNow && !era.equals(savedInEra)) {
      savedInEra = era;
      quarantine.quarantinedRecords().forEach(store::save);
      quarantine.parts().barredRecords().forEach(store::save);
    }
  }
}
