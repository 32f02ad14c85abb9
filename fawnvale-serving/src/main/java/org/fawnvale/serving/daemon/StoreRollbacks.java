package org.fawnvale.serving.daemon;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.spi.Platform;
import org.fawnvale.serving.store.EraChange;
import org.fawnvale.serving.store.StoreWatch;

/**
 * Follows the rollbacks of the platform's store: a copy that observes a new era reports it, and
 * tells the other copies, so that they are listed again at once.
 */
final class StoreRollbacks {

  private final StoreRollbackReporter reporter;
  private final List<Consumer<StoreEra>> copies = new ArrayList<>();

  /**
   * Creates an object that follows no copy yet.
   *
   * @param registry receives the counters
   */
  StoreRollbacks(MeterRegistry registry) {
    this.reporter = new StoreRollbackReporter(registry);
  }

  /**
   * Follows one copy.
   *
   * @param kind the kind of objects
   * @param watch the copy
   * @param listener called with each change of its era, before the other copies are told
   * @param <T> the type of the objects
   */
  <T> void follow(Platform.Kind kind, StoreWatch<T> watch, Consumer<EraChange<T>> listener) {
    copies.add(watch::onEraReported);
    watch.onEraChange(
        change -> {
          reporter.report(kind, change, watch.objects().keySet());
          listener.accept(change);
          copies.forEach(copy -> copy.accept(change.currentPosition().era()));
        });
  }
}
