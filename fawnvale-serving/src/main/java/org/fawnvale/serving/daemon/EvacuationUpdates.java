package org.fawnvale.serving.daemon;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.evacuation.Evacuations;
import org.fawnvale.serving.core.peer.EvacuationState;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.store.StoreWatch;
import org.jspecify.annotations.Nullable;

/**
 * Passes the evacuated data centres that the store or another daemon reports to {@link Evacuations}
 * and logs what changes. Callers of the methods hold the lock.
 */
final class EvacuationUpdates {

  private static final Logger LOG = LogManager.getLogger("evacuation");

  private final Evacuations evacuations;
  private final Listener listener;
  private final Supplier<Set<String>> listedDataCentres;
  private final @Nullable StoreWatch<String> watch;
  private boolean urgent;

  /** Receives changes of the evacuated data centres. */
  interface Listener {

    /** Called after the evacuated data centres have changed or have become known. */
    void changed();

    /**
     * Called when the evacuation of data centres is taken back, before any request can be sent
     * there.
     *
     * @param dataCentres their names
     */
    void returned(Set<String> dataCentres);
  }

  /**
   * Creates the updates.
   *
   * @param evacuations the evacuated data centres
   * @param listener called when they change
   * @param listedDataCentres returns the names of the data centres of all nodes and daemons; empty
   *     while the nodes are not known
   * @param watchFactory creates the watch of the store from the action to run on its changes; null
   *     when the platform has no evacuations
   * @param registry receives the metrics
   */
  EvacuationUpdates(
      Evacuations evacuations,
      Listener listener,
      Supplier<Set<String>> listedDataCentres,
      @Nullable Function<Runnable, StoreWatch<String>> watchFactory,
      MeterRegistry registry) {
    this.evacuations = evacuations;
    this.listener = listener;
    this.listedDataCentres = listedDataCentres;
    this.watch = watchFactory == null ? null : watchFactory.apply(this::onStoreChange);
    registry.gauge(
        "fawnvale.evacuation.data.centres",
        evacuations,
        known -> known.state().dataCentres().size());
  }

  /** Starts to read the store. Makes no call when the platform has no evacuations. */
  void start() {
    if (watch != null) {
      watch.start();
    }
  }

  /**
   * Starts or stops the calls to the store. Each daemon lists the store's objects once; after that,
   * only one daemon of each data centre waits for changes.
   *
   * @param isDataCentreWatcher whether this daemon watches the store for its data centre
   */
  void update(boolean isDataCentreWatcher) {
    if (watch != null) {
      watch.setActive(isDataCentreWatcher || !watch.position().isKnown());
    }
  }

  /** Returns the state to send to the other daemons. */
  EvacuationState state() {
    return evacuations.state();
  }

  /** Merges the state that another daemon reports. */
  void receive(EvacuationState received) {
    apply(received, false);
    onEraReported(received.position().era());
  }

  /** Lists the store's objects again if a later era of the store was observed. */
  void onEraReported(StoreEra era) {
    if (watch != null) {
      watch.onEraReported(era);
    }
  }

  /** Returns whether a change since the last call has to reach the other daemons at once. */
  boolean takeUrgentUpdate() {
    boolean taken = urgent;
    urgent = false;
    return taken;
  }

  /** Logs evacuations that name no known data centre, once the nodes are known. */
  void reportUnlisted() {
    if (evacuations.state().dataCentres().isEmpty()) {
      return;
    }
    Set<String> listed = listedDataCentres.get();
    Set<String> unlisted = listed.isEmpty() ? Set.of() : evacuations.takeUnlisted(listed);
    for (String name : unlisted) {
      LOG.warn(
          "evacuated={} outcome=not_listed. No node or daemon names this data centre; compare the"
              + " name of the object with the nodes' entries.",
          name);
    }
  }

  private void onStoreChange() {
    if (watch == null) {
      return;
    }
    Set<String> names = watch.objects().keySet();
    if (names.size() > Evacuations.MAX_NAMES) {
      LOG.error(
          "names={} most={} outcome=names_dropped. Delete the objects that name no data centre.",
          names.size(),
          Evacuations.MAX_NAMES);
    }
    Set<String> bounded = Evacuations.bounded(names, listedDataCentres.get());
    apply(new EvacuationState(watch.position(), bounded), true);
  }

  private void apply(EvacuationState received, boolean byStore) {
    if (!evacuations.receive(received)) {
      return;
    }
    Set<String> returned = evacuations.takeReturned();
    LOG.info(
        "evacuated={} returned={} place={} by={} outcome=in_force",
        received.dataCentres(),
        returned,
        received.position(),
        byStore ? "store" : "peer");
    urgent |= byStore && !(received.dataCentres().isEmpty() && returned.isEmpty());
    if (!returned.isEmpty()) {
      listener.returned(returned);
    }
    listener.changed();
  }
}
