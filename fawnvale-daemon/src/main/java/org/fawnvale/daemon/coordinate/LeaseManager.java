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
 * Takes and renews one lease, a step at a time.
 *
 * <p>A holder counts the lease from before it sent the renewal. One who waits counts from after it
 * first saw the lease unchanged, and adds a margin for clocks that run at other rates.
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
  private @Nullable StoredObject seen;
  private long seenSinceNanos;

  /**
   * The lease as this daemon holds it.
   *
   * @param lease the lease
   * @param version the version of its object
   * @param untilNanos when it ends, by the own monotonic clock
   * @param takenNanos when this daemon took it
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

  /** Tells whether this daemon held the lease at its last step, lapsed or not. */
  boolean believesToHold() {
    return held != null;
  }

  /** Renews the lease when it is held, and looks whether it is free otherwise. */
  void step() {
    Held now = held;
    if (now == null) {
      look();
    } else {
      renew(now);
    }
  }

  /** Gives the lease up, so that another daemon can take it at once. */
  void release() {
    Held last = held;
    held = null;
    if (last != null) {
      store.put(name, last.version(), Documents.write(last.lease().released()));
      LOG.info("Released the lease of epoch {}.", last.lease().epoch());
    }
  }

  private void renew(Held now) {
    long asked = nanoClock.getAsLong();
    if (now.untilNanos() - asked <= 0) {
      drop(now, "it lapsed before it could be renewed");
      return;
    }
    Lease next = now.lease().renewed();
    WriteResult result = store.put(name, now.version(), Documents.write(next));
    if (result instanceof WriteResult.Written written) {
      hold(next, written.version(), asked, now.takenNanos());
    } else if (result instanceof WriteResult.Conflict) {
      settle(now);
    } else if (result instanceof WriteResult.Unknown) {
      readBack(next, asked, now.takenNanos());
    }
  }

  /** A conflict may be with an own renewal whose answer was lost earlier. */
  private void settle(Held now) {
    Optional<StoredObject> found = find();
    if (found.isEmpty()) {
      return;
    }
    Lease lease = parse(found.get());
    if (isOwn(lease) && lease.epoch() == now.lease().epoch()) {
      held = new Held(lease, found.get().version(), now.untilNanos(), now.takenNanos());
    } else {
      drop(now, "another daemon took it");
    }
  }

  /** A write whose answer was lost counts from when it was sent, if it is found written. */
  private void readBack(Lease sent, long asked, long taken) {
    find()
        .filter(object -> sent.equals(parse(object)))
        .ifPresent(object -> hold(sent, object.version(), asked, taken));
  }

  private Optional<StoredObject> find() {
    return store.get(name).fold(each -> each, problem -> Optional.empty());
  }

  private void look() {
    Result<Optional<StoredObject>> read = store.get(name);
    if (!read.isSuccess()) {
      return;
    }
    StoredObject object =
        read.fold(each -> each, p -> Optional.<StoredObject>empty()).orElseGet(this::absent);
    long now = nanoClock.getAsLong();
    StoredObject before = seen;
    if (before == null || before.version() != object.version()) {
      seen = object;
      seenSinceNanos = now;
    }
    Lease lease = parse(object);
    double lapse = lease.durationMillis() * CLOCK_RATE_MARGIN;
    long unchangedMillis = TimeUnit.NANOSECONDS.toMillis(now - seenSinceNanos);
    if (lease.holder().isEmpty() || unchangedMillis > lapse) {
      take(lease, object.version());
    }
  }

  private StoredObject absent() {
    return new StoredObject(name, ObjectStore.ABSENT, Documents.write(new Lease("", 0, 0, 0)));
  }

  private void take(Lease lease, long version) {
    long asked = nanoClock.getAsLong();
    Lease next = lease.takenBy(holder, durationMillis);
    WriteResult result = store.put(name, version, Documents.write(next));
    if (result instanceof WriteResult.Written written) {
      hold(next, written.version(), asked, asked);
      LOG.info("Took the lease with epoch {}.", next.epoch());
    } else if (result instanceof WriteResult.Unknown) {
      readBack(next, asked, asked);
    }
  }

  private boolean isOwn(Lease lease) {
    return lease.holder().equals(holder);
  }

  private void hold(Lease lease, long version, long asked, long taken) {
    long duration = TimeUnit.MILLISECONDS.toNanos(lease.durationMillis());
    held = new Held(lease, version, asked + duration, taken);
  }

  private void drop(Held now, String cause) {
    LOG.warn("Lost the lease of epoch {}, since {}.", now.lease().epoch(), cause);
    held = null;
    seen = null;
  }

  private static Lease parse(StoredObject object) {
    try {
      return Documents.read(object.value(), Lease.class);
    } catch (IOException e) {
      throw new IllegalStateException("The lease " + object.name() + " cannot be read.", e);
    }
  }
}
