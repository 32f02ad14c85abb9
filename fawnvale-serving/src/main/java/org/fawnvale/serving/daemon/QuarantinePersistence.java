package org.fawnvale.serving.daemon;

import org.fawnvale.serving.core.quarantine.RequestRecord;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.gateway.RepeatGuard;
import org.fawnvale.serving.store.QuarantineStore;

/**
 * Who keeps requests that end nodes in the platform's store, for daemons to come: few daemons,
 * since each call costs.
 */
final class QuarantinePersistence {

  private final RepeatGuard repeats;
  private final QuarantineStore store;
  private boolean leads;
  private StoreEra keptIn = StoreEra.UNTOLD;

  /**
   * Creates the keeper; it does nothing before {@link #begin}.
   *
   * @param repeats tells which requests are barred and which an answer has cleared
   * @param store keeps them
   */
  QuarantinePersistence(RepeatGuard repeats, QuarantineStore store) {
    this.repeats = repeats;
    this.store = store;
  }

  /**
   * Begins to hear of them.
   *
   * @param mayBeKnown whether earlier daemons may have kept some
   */
  void begin(boolean mayBeKnown) {
    if (mayBeKnown) {
      store.load();
    }
    repeats.onBarred(this::barred);
    repeats.onCleared(store::delete);
  }

  /**
   * Each daemon hears of a request that is barred. The one that saw the last end keeps it for those
   * to come, and the leader, since the other may be at its end.
   */
  private void barred(RequestRecord told, boolean own) {
    if (own || leads) {
      store.save(told);
    }
  }

  /**
   * Takes note of who leads. The store may have gone back behind what was kept there: the leader,
   * which knows all of it from the notes, keeps it again, once for each history of the store.
   *
   * @param leadsNow whether this daemon leads
   * @param era the store's history that its copies show
   */
  void look(boolean leadsNow, StoreEra era) {
    leads = leadsNow;
    if (leadsNow && !era.equals(keptIn)) {
      keptIn = era;
      repeats.barred().forEach(store::save);
    }
  }
}
