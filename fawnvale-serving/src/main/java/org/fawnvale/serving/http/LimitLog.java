package org.fawnvale.serving.http;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.limit.KnownLimits;
import org.fawnvale.serving.core.limit.LimitUpdate;
import org.fawnvale.serving.core.model.AdvertisedLimit;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.jspecify.annotations.Nullable;

/** Tells each change of a limit in the log, and counts them. */
public final class LimitLog {

  private static final Logger LOG = LogManager.getLogger("limits");

  private final Map<KnownLimits.Change, Counter> changes = new EnumMap<>(KnownLimits.Change.class);

  /**
   * Creates the log.
   *
   * @param registry holds the figures
   */
  public LimitLog(MeterRegistry registry) {
    for (KnownLimits.Change change : KnownLimits.Change.values()) {
      if (change != KnownLimits.Change.NONE) {
        changes.put(change, registry.counter("fawnvale.limits.changes", "change", name(change)));
      }
    }
  }

  private static String name(KnownLimits.Change change) {
    return change.name().toLowerCase(Locale.ROOT);
  }

  private void count(KnownLimits.Change change) {
    Counter counter = changes.get(change);
    if (counter != null) {
      counter.increment();
    }
  }

  /**
   * Tells what an answer has brought.
   *
   * @param life the node's life
   * @param change what was new
   * @param said the limit that the answer names; null when it names none
   */
  public void responseReceived(
      NodeIncarnation life, KnownLimits.Change change, @Nullable AdvertisedLimit said) {
    if (change == KnownLimits.Change.NONE) {
      return;
    }
    count(change);
    if (said != null && !said.readable()) {
      LOG.warn(
          "node={} written={} taken_for={} by=answer outcome={}. A decimal number of requests a"
              + " second is read, as 4 or 0.25.",
          life.id(),
          said.text(),
          said.perSecond(),
          name(change));
      return;
    }
    Double limit = said == null ? null : said.perSecond();
    LOG.info("node={} limit={} by=answer outcome={}", life.id(), limit, name(change));
  }

  /**
   * Tells what another daemon's word has brought.
   *
   * @param told the word
   * @param change what was new
   */
  public void updateReceived(LimitUpdate told, KnownLimits.Change change) {
    if (change == KnownLimits.Change.NONE) {
      return;
    }
    count(change);
    LOG.info(
        "node={} limit={} stamp={} age_ms={} by=peer outcome={}",
        told.incarnation().id(),
        told.isUnlimited() ? null : told.perSecond(),
        told.version(),
        told.ageMillis(),
        name(change));
  }
}
