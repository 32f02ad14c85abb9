package org.fawnvale.serving.http;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.limit.ColdPeriods;
import org.fawnvale.serving.core.limit.KnownLimits;
import org.fawnvale.serving.core.limit.LimitUpdate;
import org.fawnvale.serving.core.model.AdvertisedLimit;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.jspecify.annotations.Nullable;

/** Logs and counts the changes of advertised limits, and logs which upstreams are cold. */
public final class LimitLog {

  private static final Logger LOG = LogManager.getLogger("limits");

  private final Map<KnownLimits.Change, Counter> changes = new EnumMap<>(KnownLimits.Change.class);

  /**
   * Creates the log.
   *
   * @param registry receives the counters
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
   * Records the change that a node's response caused.
   *
   * @param incarnation the node
   * @param change the change of its limit
   * @param advertised the limit in the response; null if it has none
   */
  public void responseReceived(
      NodeIncarnation incarnation,
      KnownLimits.Change change,
      @Nullable AdvertisedLimit advertised) {
    if (change == KnownLimits.Change.NONE) {
      return;
    }
    count(change);
    if (advertised != null && !advertised.readable()) {
      LOG.warn(
          "node={} written={} taken_for={} by=answer outcome={}. Expected a decimal number of"
              + " requests a second, such as 4 or 0.25.",
          incarnation.id(),
          advertised.text(),
          advertised.perSecond(),
          name(change));
      return;
    }
    Double limit = advertised == null ? null : advertised.perSecond();
    LOG.info("node={} limit={} by=answer outcome={}", incarnation.id(), limit, name(change));
  }

  /**
   * Records the change that another daemon's update caused.
   *
   * @param change the change of the node's limit
   */
  public void updateReceived(LimitUpdate update, KnownLimits.Change change) {
    if (change == KnownLimits.Change.NONE) {
      return;
    }
    count(change);
    LOG.info(
        "node={} limit={} stamp={} age_ms={} by=peer outcome={}",
        update.incarnation().id(),
        update.isUnlimited() ? null : update.perSecond(),
        update.version(),
        update.ageMillis(),
        name(change));
  }

  /**
   * Records that an upstream turned cold or warm.
   *
   * @param change the change
   */
  public void temperatureChanged(ColdPeriods.Change change) {
    if (change instanceof ColdPeriods.TurnedCold cold) {
      LOG.info(
          "node={} limit={} remaining_ms={} by={} outcome=cold",
          cold.incarnation().id(),
          cold.perSecond(),
          cold.remainingMillis(),
          cold.source().name().toLowerCase(Locale.ROOT));
    } else {
      LOG.info("node={} outcome=warm", change.incarnation().id());
    }
  }
}
