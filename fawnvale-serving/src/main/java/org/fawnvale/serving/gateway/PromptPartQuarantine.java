package org.fawnvale.serving.gateway;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.quarantine.Fingerprint;
import org.fawnvale.serving.core.quarantine.PartQuarantine;
import org.fawnvale.serving.core.quarantine.PartRecord;

/** Stops requests with prompt parts that crash nodes. Callers of the methods hold the lock. */
public final class PromptPartQuarantine {

  private static final Logger LOG = LogManager.getLogger("gateway");

  /** Receives the parts that become barred, and those that are no longer barred. */
  public interface Listener {

    /**
     * Called when a part becomes barred.
     *
     * @param own whether this daemon observed what led to it; false if a peer reported it
     */
    void barred(PartRecord part, boolean own);

    /**
     * Called when a part is no longer barred.
     *
     * @param own whether this daemon observed what led to it; false if a peer reported it
     */
    void freed(Fingerprint part, boolean own);
  }

  private static final Listener NONE =
      new Listener() {
        @Override
        public void barred(PartRecord part, boolean own) {
          // Nothing keeps the records.
        }

        @Override
        public void freed(Fingerprint part, boolean own) {
          // As above.
        }
      };

  private final PartQuarantine quarantine = new PartQuarantine();
  private final GatewayMetrics metrics;
  private final Consumer<Set<Fingerprint>> cancelRequests;
  private Listener listener = NONE;

  PromptPartQuarantine(GatewayMetrics metrics, Consumer<Set<Fingerprint>> cancelRequests) {
    this.metrics = metrics;
    this.cancelRequests = cancelRequests;
    metrics.registerPartQuarantine(quarantine);
  }

  /**
   * Sets the listener for parts that become barred or free.
   *
   * @param partListener keeps the records of barred parts
   */
  public void onChange(Listener partListener) {
    listener = partListener;
  }

  /** Returns the barred ones of the parts of a request. */
  List<Fingerprint> barredAmong(Supplier<List<Fingerprint>> parts) {
    return quarantine.barredCount() == 0
        ? List.of()
        : quarantine.barredAmong(parts.get(), System.nanoTime());
  }

  /** Returns whether one more crash would bar a part that has not been answered before. */
  boolean isAnyOneCrashFromBarred(Supplier<List<Fingerprint>> parts) {
    return !quarantine.isEmpty()
        && parts.get().stream()
            .anyMatch(part -> quarantine.crashCount(part) >= PartQuarantine.MIN_CRASHES - 1);
  }

  void recordCrash(List<Fingerprint> parts, NodeIncarnation node) {
    if (parts.isEmpty()) {
      return;
    }
    PartQuarantine.Changes changes = quarantine.recordCrash(parts, node, System.nanoTime());
    for (Fingerprint part : parts) {
      int crashes = quarantine.crashCount(part);
      LOG.info("part={} node={} crashes={} outcome=suspected", part, node.id(), crashes);
    }
    apply(changes, true);
  }

  /** Records that a node has answered a request, or has been answering it for a while. */
  void recordAnswer(List<Fingerprint> parts, long begunNanos) {
    if (!parts.isEmpty()) {
      apply(quarantine.recordAnswer(parts, begunNanos, System.nanoTime()), true);
    }
  }

  /** Joins records of other daemons, or of the store. */
  void receive(Collection<PartRecord> records) {
    if (!records.isEmpty()) {
      apply(quarantine.merge(records, System.nanoTime()), false);
    }
  }

  private void apply(PartQuarantine.Changes changes, boolean own) {
    for (Fingerprint part : changes.freed()) {
      LOG.warn("part={} own={} outcome=part_freed", part, own);
      listener.freed(part, own);
    }
    for (Fingerprint part : changes.barred()) {
      PartRecord barred = quarantine.recordOf(part);
      if (barred != null) {
        LOG.warn("part={} crashes={} own={} outcome=part_barred", part, barred.crashCount(), own);
        metrics.partBarred();
        listener.barred(barred, own);
      }
    }
    if (!changes.barred().isEmpty()) {
      cancelRequests.accept(changes.barred());
    }
  }

  boolean mayRequestTrial(List<Fingerprint> requestParts) {
    return quarantine.mayRequestTrial(requestParts, System.nanoTime());
  }

  /** Returns the part whose owner grants the trial of a request with several barred parts. */
  Fingerprint trialPartOf(List<Fingerprint> barredParts) {
    return quarantine.trialPartOf(barredParts);
  }

  /** Records the trial of a request for its barred parts other than the one it was granted for. */
  void recordTrial(List<Fingerprint> barredParts, Fingerprint granted) {
    List<Fingerprint> others = barredParts.stream().filter(part -> !part.equals(granted)).toList();
    quarantine.recordTrial(others, System.nanoTime());
  }

  boolean grantTrial(Fingerprint part) {
    return quarantine.grantTrial(part, System.nanoTime());
  }

  /** Returns the longest time until a trial of one of the parts is due, in milliseconds. */
  int millisUntilTrial(List<Fingerprint> parts) {
    long now = System.nanoTime();
    long nanos = 0;
    for (Fingerprint part : parts) {
      nanos = Math.max(nanos, quarantine.nanosUntilTrial(part, now));
    }
    return (int) TimeUnit.NANOSECONDS.toMillis(nanos);
  }

  boolean takeUrgentUpdate() {
    return quarantine.takeUrgent();
  }

  List<PartRecord> recordsToSend(boolean forwarded) {
    return quarantine.recordsToSend(forwarded, System.nanoTime());
  }

  /**
   * Returns the records of the barred parts.
   *
   * @return records of the parts whose requests are sent to no node
   */
  public List<PartRecord> barredRecords() {
    return quarantine.barredRecords();
  }
}
