package org.fawnvale.daemon.coordinate;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.core.model.Lease;
import org.fawnvale.core.result.Result;
import org.fawnvale.daemon.state.Documents;
import org.fawnvale.platform.ObjectStore;
import org.fawnvale.platform.StoredObject;
import org.fawnvale.platform.WriteResult;
import org.jspecify.annotations.Nullable;

/**
 * Acquires and renews one lease; the caller runs one step at a time.
 *
 * <p>The holder measures the lease's duration from the moment before it sends a renewal. A waiting
 * daemon measures it from the moment after it first read the current version, and adds a margin for
 * clocks that run at different rates. So the holder's lease ends before a waiting daemon takes it.
 */
final class LeaseManager {

  private static final Logger LOG = LogManager.getLogger("lease");
  private static final double CLOCK_RATE_MARGIN = 1.1;

  private final ObjectStore store;
  private final String name;
  private final String holder;
  private final long durationMillis;
  private final LongSupplier nanoClock;
  private volatile @Nullable Held held;
  private @Nullable StoredObject observed;
  private long observedSinceNanos;

  /**
   * The lease while this daemon holds it.
   *
   * @param lease the lease as last written
   * @param version the version of the stored object
   * @param untilNanos when the lease expires, on this daemon's monotonic clock
   * @param takenNanos when this daemon acquired the lease, on the same clock
   */
  private record Held(Lease lease, long version, long untilNanos, long takenNanos) {}

  LeaseManager(
      ObjectStore store, String name, String holder, long durationMillis, LongSupplier nanoClock) {
    this.store = store;
    this.name = name;
    this.holder = holder;
    this.durationMillis = durationMillis;
    this.nanoClock = nanoClock;
  }

  boolean isHeldFor(long marginMillis) {
    Held now = held;
    return now != null
        && now.untilNanos() - nanoClock.getAsLong() > TimeUnit.MILLISECONDS.toNanos(marginMillis);
  }

  Optional<Long> epoch() {
    Held now = held;
    return now == null || !isHeldFor(0) ? Optional.empty() : Optional.of(now.lease().epoch());
  }

  long heldMillis() {
    Held now = held;
    return now == null
        ? 0
        : TimeUnit.NANOSECONDS.toMillis(nanoClock.getAsLong() - now.takenNanos());
  }

  /** Returns whether this daemon held the lease after its last step; it may have expired since. */
  boolean heldAtLastStep() {
    return held != null;
  }

  /** Renews the lease if this daemon holds it; otherwise acquires it if it is free or expired. */
  void step() {
    Held now = held;
    if (now == null) {
      tryAcquire();
    } else {
      renew(now);
    }
  }

  /** Releases the lease, so that another daemon can acquire it without waiting for its expiry. */
  void release() {
    Held last = held;
    held = null;
    if (last != null) {
      store.put(name, last.version(), Documents.write(last.lease().released()));
      LOG.info("Released the lease of epoch {}.", last.lease().epoch());
    }
  }

  private void renew(Held now) {
    long sentNanos = nanoClock.getAsLong();
    if (now.untilNanos() - sentNanos <= 0) {
      markLost(now, "it expired before it could be renewed");
      return;
    }
    Lease next = now.lease().renewed();
    WriteResult result = store.put(name, now.version(), Documents.write(next));
    if (result instanceof WriteResult.Written written) {
      hold(next, written.version(), sentNanos, now.takenNanos());
    } else if (result instanceof WriteResult.Conflict) {
      resolveConflict(now);
    } else if (result instanceof WriteResult.Unknown) {
      readBack(next, sentNanos, now.takenNanos());
    }
  }

  /**
   * Resolves a write conflict: the stored version may be an earlier renewal of this daemon whose
   * response was lost.
   */
  private void resolveConflict(Held now) {
    Optional<StoredObject> found = readObject();
    if (found.isEmpty()) {
      return;
    }
    Lease lease = parse(found.get());
    if (isOwn(lease) && lease.epoch() == now.lease().epoch()) {
      held = new Held(lease, found.get().version(), now.untilNanos(), now.takenNanos());
    } else {
      markLost(now, "another daemon acquired it");
    }
  }

  /**
   * Reads the object after a write without a response. If the write is stored, the lease counts
   * from the moment at which the write was sent.
   */
  private void readBack(Lease sent, long sentNanos, long takenNanos) {
    readObject()
        .filter(object -> sent.equals(parse(object)))
        .ifPresent(object -> hold(sent, object.version(), sentNanos, takenNanos));
  }

  private Optional<StoredObject> readObject() {
    return store.get(name).fold(each -> each, problem -> Optional.empty());
  }

  private void tryAcquire() {
    Result<Optional<StoredObject>> read = store.get(name);
    if (!read.isSuccess()) {
      return;
    }
    StoredObject object =
        read.fold(each -> each, p -> Optional.<StoredObject>empty()).orElseGet(this::absent);
    long now = nanoClock.getAsLong();
    StoredObject before = observed;
    if (before == null || before.version() != object.version()) {
      observed = object;
      observedSinceNanos = now;
    }
    Lease lease = parse(object);
    double expiryMillis = lease.durationMillis() * CLOCK_RATE_MARGIN;
    long unchangedMillis = TimeUnit.NANOSECONDS.toMillis(now - observedSinceNanos);
    if (lease.holder().isEmpty() || unchangedMillis > expiryMillis) {
      acquire(lease, object.version());
    }
  }

  private StoredObject absent() {
    return new StoredObject(name, ObjectStore.ABSENT, Documents.write(new Lease("", 0, 0, 0)));
  }

  private void acquire(Lease lease, long version) {
    long sentNanos = nanoClock.getAsLong();
    Lease next = lease.takenBy(holder, durationMillis);
    WriteResult result = store.put(name, version, Documents.write(next));
    if (result instanceof WriteResult.Written written) {
      hold(next, written.version(), sentNanos, sentNanos);
      LOG.info("Acquired the lease with epoch {}.", next.epoch());
    } else if (result instanceof WriteResult.Unknown) {
      readBack(next, sentNanos, sentNanos);
    }
  }

  private boolean isOwn(Lease lease) {
    return lease.holder().equals(holder);
  }

  private void hold(Lease lease, long version, long sentNanos, long takenNanos) {
    long duration = TimeUnit.MILLISECONDS.toNanos(lease.durationMillis());
    held = new Held(lease, version, sentNanos + duration, takenNanos);
  }

  private void markLost(Held now, String cause) {
    LOG.warn("Lost the lease of epoch {}: {}.", now.lease().epoch(), cause);
    held = null;
    observed = null;
  }

  private static Lease parse(StoredObject object) {
    try {
      return Documents.read(object.value(), Lease.class);
    } catch (IOException e) {
      throw new IllegalStateException("The lease " + object.name() + " cannot be read.", e);
    }
  }
}
