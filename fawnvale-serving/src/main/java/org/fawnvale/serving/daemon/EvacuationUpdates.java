package org.fawnvale.serving.daemon;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.Collection;
import java.util.Set;
import java.util.function.Function;
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
   * @param watchFactory creates the watch of the store from the action to run on its changes; null
   *     when the platform has no evacuations
   * @param registry receives the metrics
   */
  EvacuationUpdates(
      Evacuations evacuations,
      Listener listener,
      @Nullable Function<Runnable, StoreWatch<String>> watchFactory,
      MeterRegistry registry) {
    this.evacuations = evacuations;
    this.listener = listener;
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

  /**
   * Logs evacuations that name no known data centre.
   *
   * @param listed the data centres of all nodes and daemons
   */
  void reportUnlisted(Collection<String> listed) {
    for (String name : evacuations.takeUnlisted(listed)) {
      LOG.warn(
          "evacuated={} outcome=not_listed. No node or daemon names this data centre; compare the"
              + " name of the object with the nodes' entries.",
          name);
    }
  }

  private void onStoreChange() {
    if (watch != null) {
      apply(new EvacuationState(watch.position(), Set.copyOf(watch.objects().keySet())), true);
    }
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
