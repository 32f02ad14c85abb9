package org.fawnvale.serving.daemon;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.spi.Platform;
import org.fawnvale.serving.store.EraChange;

/** Tells people that the store has come back from a copy, and what that has changed here. */
final class StoreRollbackReporter {

  private static final Logger LOG = LogManager.getLogger("store");

  private final MeterRegistry registry;

  /**
   * Creates the figures and lines.
   *
   * @param registry serves the figures
   */
  StoreRollbackReporter(MeterRegistry registry) {
    this.registry = registry;
  }

  /**
   * Tells of one return, as one kind of objects shows it.
   *
   * @param kind the kind
   * @param change what was known before
   * @param listed names of the objects that are listed now
   */
  void tell(Platform.Kind kind, EraChange<?> change, Set<String> listed) {
    registry
        .counter("fawnvale.store.returns", "kind", kind.name().toLowerCase(Locale.ROOT))
        .increment();
    LOG.warn(
        "kind={} before={} now={} known={} listed={} lost={} back={} outcome=store_went_back",
        kind,
        change.previousPosition(),
        change.currentPosition(),
        change.previousObjects().size(),
        listed.size(),
        lost(change.previousObjects(), listed),
        back(change.removedNames(), listed));
    tellJump(kind, change.previousPosition().era(), change.currentPosition().era());
  }

  /** Objects that were known and are not listed: made since the copy. */
  private static long lost(Map<String, ?> known, Set<String> listed) {
    return known.keySet().stream().filter(name -> !listed.contains(name)).count();
  }

  /** Objects that had gone and are listed: removed since the copy. */
  private static long back(Set<String> removed, Set<String> listed) {
    return removed.stream().filter(listed::contains).count();
  }

  /** Returns that went unseen cost nothing more: a list of the newest history is whole. */
  private static void tellJump(Platform.Kind kind, StoreEra before, StoreEra now) {
    if (!before.equals(StoreEra.UNTOLD) && Math.abs(now.number() - before.number()) > 1) {
      LOG.warn(
          "kind={} era={} before={} outcome=era_jumped. Eras should rise by one; look whether the"
              + " store went back unseen or was set up anew.",
          kind,
          now,
          before);
    }
  }
}
