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

/** Reports rollbacks of the platform's store, and their effect on this daemon's copies. */
final class StoreRollbackReporter {

  private static final Logger LOG = LogManager.getLogger("store");

  private final MeterRegistry registry;

  /**
   * Creates a reporter.
   *
   * @param registry receives the counters
   */
  StoreRollbackReporter(MeterRegistry registry) {
    this.registry = registry;
  }

  /**
   * Reports one rollback, as observed by the copy of one kind of objects.
   *
   * @param kind the kind of objects
   * @param change the state of the copy before the rollback
   * @param listed names of the objects that the store lists now
   */
  void report(Platform.Kind kind, EraChange<?> change, Set<String> listed) {
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
        reappeared(change.removedNames(), listed));
    warnOnEraJump(kind, change.previousPosition().era(), change.currentPosition().era());
  }

  /** Counts the known objects that the store no longer lists. */
  private static long lost(Map<String, ?> known, Set<String> listed) {
    return known.keySet().stream().filter(name -> !listed.contains(name)).count();
  }

  /** Counts the removed objects that the store lists again. */
  private static long reappeared(Set<String> removed, Set<String> listed) {
    return removed.stream().filter(listed::contains).count();
  }

  /**
   * Warns when this daemon did not observe an era. The copy is complete nevertheless, because each
   * change of the era replaces it as a whole.
   */
  private static void warnOnEraJump(Platform.Kind kind, StoreEra before, StoreEra now) {
    if (!before.equals(StoreEra.UNKNOWN) && Math.abs(now.number() - before.number()) > 1) {
      LOG.warn(
          "kind={} era={} before={} outcome=era_jumped. Eras should increase by one; check whether"
              + " the store was rolled back unnoticed or was reinitialised.",
          kind,
          now,
          before);
    }
  }
}
