package org.fawnvale.daemon.claim;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.core.claims.ClaimSlot;
import org.fawnvale.daemon.state.Documents;
import org.fawnvale.daemon.state.ObjectNames;
import org.fawnvale.platform.ObjectStore;
import org.fawnvale.platform.StoredObject;
import org.fawnvale.platform.WriteResult;
import org.jspecify.annotations.Nullable;

/**
 * Claims the keys of one slot in group commits: claims that arrive during a write are combined into
 * the next write.
 *
 * <p>Only the conditional update keeps claims exclusive. The cached slot may be stale, and other
 * daemons may batch the same slot; either leads to a write conflict, after which the slot is read
 * again.
 */
final class SlotBatcher {

  private static final Logger LOG = LogManager.getLogger("claim");
  private static final int MAXIMUM_ATTEMPTS = 6;

  private final int slot;
  private final ObjectStore store;
  private final Executor executor;
  private final LongSupplier wallClock;
  private final long windowMillis;
  private List<Pending> waiting = new ArrayList<>();
  private boolean writing;
  private @Nullable CachedSlot cached;

  /** A claim or a release that waits to be written. */
  private record Pending(
      String key, String owner, boolean isRelease, CompletableFuture<ClaimResult> verdict) {}

  private record CachedSlot(long version, ClaimSlot slot) {}

  SlotBatcher(
      int slot, ObjectStore store, Executor executor, LongSupplier wallClock, long windowMillis) {
    this.slot = slot;
    this.store = store;
    this.executor = executor;
    this.wallClock = wallClock;
    this.windowMillis = windowMillis;
  }

  CompletableFuture<ClaimResult> submit(String key, String owner, boolean isRelease) {
    Pending pending = new Pending(key, owner, isRelease, new CompletableFuture<>());
    boolean start;
    synchronized (this) {
      waiting.add(pending);
      start = !writing;
      writing = true;
    }
    if (start) {
      executor.execute(this::drain);
    }
    return pending.verdict();
  }

  private void drain() {
    List<Pending> batch = takeBatch();
    while (!batch.isEmpty()) {
      try {
        commit(batch);
      } catch (RuntimeException e) {
        LOG.error("Could not commit the claims of slot {}; refusing their requests.", slot, e);
        batch.forEach(pending -> completeOne(pending, ClaimSlot.Verdict.UNAVAILABLE, null));
      }
      batch = takeBatch();
    }
  }

  private synchronized List<Pending> takeBatch() {
    List<Pending> batch = waiting;
    waiting = new ArrayList<>();
    writing = !batch.isEmpty();
    return batch;
  }

  private void commit(List<Pending> batch) {
    boolean maybeWritten = false;
    for (int i = 0; i < MAXIMUM_ATTEMPTS; i++) {
      boolean fromCache = cached != null;
      CachedSlot current = fromCache ? cached : read();
      cached = current;
      if (current == null) {
        continue;
      }
      Map<String, String> granted = findGrantable(batch, current.slot());
      boolean anyRefused = batch.stream().anyMatch(each -> !granted.containsKey(each.key()));
      if (fromCache && anyRefused) {
        cached = null; // A stale cached slot must not refuse a key: read it again.
        continue;
      }
      ClaimSlot next = next(current.slot(), granted, batch);
      if (next.equals(current.slot())) {
        completeAll(batch, next);
        return;
      }
      byte[] value = Documents.write(next);
      WriteResult result = store.put(ObjectNames.claims(slot), current.version(), value);
      if (result instanceof WriteResult.Written written) {
        cached = new CachedSlot(written.version(), next);
        completeAll(batch, next);
        return;
      }
      maybeWritten |= result instanceof WriteResult.Unknown;
      cached = null;
      if (result instanceof WriteResult.NotWritten) {
        break;
      }
    }
    giveUp(batch, maybeWritten);
  }

  /**
   * Fails all claims of the batch. A claim whose write has an unknown result may be in the store;
   * it blocks its key until it expires, and its request is not run.
   */
  private void giveUp(List<Pending> batch, boolean maybeWritten) {
    if (maybeWritten) {
      LOG.warn(
          "Result of writing the claims of slot {} is unknown; their requests are not run.", slot);
    }
    batch.forEach(pending -> completeOne(pending, ClaimSlot.Verdict.UNAVAILABLE, null));
  }

  private Map<String, String> findGrantable(List<Pending> batch, ClaimSlot current) {
    long now = wallClock.getAsLong();
    Map<String, String> granted = new HashMap<>();
    for (Pending pending : batch) {
      boolean grantable =
          !pending.isRelease()
              && current.evaluate(pending.key(), pending.owner(), now) == ClaimSlot.Verdict.GRANTED
              && current.claims().size() + granted.size() < ClaimSlot.MAXIMUM_CLAIMS;
      if (grantable) {
        granted.putIfAbsent(pending.key(), pending.owner());
      }
    }
    return granted;
  }

  private ClaimSlot next(ClaimSlot current, Map<String, String> granted, List<Pending> batch) {
    long now = wallClock.getAsLong();
    boolean changes =
        granted.keySet().stream().anyMatch(key -> !isHeldBy(current, key, granted.get(key), now));
    ClaimSlot next = changes ? current.with(granted, now, now + windowMillis) : current;
    for (Pending pending : batch) {
      if (pending.isRelease()) {
        next = next.without(pending.key(), pending.owner());
      }
    }
    return next;
  }

  private static boolean isHeldBy(ClaimSlot slot, String key, String owner, long now) {
    ClaimSlot.Claim held = slot.claims().get(key);
    return held != null && held.expiresMillis() > now && held.owner().equals(owner);
  }

  private void completeAll(List<Pending> batch, ClaimSlot written) {
    for (Pending pending : batch) {
      ClaimSlot.Claim held = written.claims().get(pending.key());
      if (pending.isRelease()) {
        completeOne(pending, ClaimSlot.Verdict.GRANTED, null);
      } else if (held == null) {
        completeOne(pending, ClaimSlot.Verdict.FULL, null);
      } else if (held.owner().equals(pending.owner())) {
        completeOne(pending, ClaimSlot.Verdict.GRANTED, held.owner());
      } else {
        completeOne(pending, ClaimSlot.Verdict.HELD, held.owner());
      }
    }
  }

  private static void completeOne(
      Pending pending, ClaimSlot.Verdict verdict, @Nullable String owner) {
    pending.verdict().complete(new ClaimResult(verdict, owner));
  }

  private @Nullable CachedSlot read() {
    return store.get(ObjectNames.claims(slot)).fold(this::parse, problem -> null);
  }

  private CachedSlot parse(Optional<StoredObject> found) {
    if (found.isEmpty()) {
      return new CachedSlot(ObjectStore.ABSENT, ClaimSlot.EMPTY);
    }
    try {
      ClaimSlot parsed = Documents.read(found.get().value(), ClaimSlot.class);
      return new CachedSlot(found.get().version(), parsed);
    } catch (IOException e) {
      throw new IllegalStateException("Claims of slot " + slot + " are not a valid document.", e);
    }
  }
}
