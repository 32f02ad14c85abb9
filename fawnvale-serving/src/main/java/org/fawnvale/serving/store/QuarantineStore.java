package org.fawnvale.serving.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.quarantine.Fingerprint;
import org.fawnvale.serving.core.quarantine.PartRecord;
import org.fawnvale.serving.core.quarantine.QuarantineRecord;
import org.fawnvale.serving.core.quarantine.StoredQuarantineRecord;
import org.fawnvale.serving.http.BufferedCall;
import org.fawnvale.serving.spi.Page;
import org.fawnvale.serving.spi.Platform;

/**
 * Persists the records of quarantined requests and of barred prompt parts, which crash nodes, in
 * the platform's store, so that a restart of all daemons does not lose them. Callers hold the
 * daemon's lock.
 */
public final class QuarantineStore {

  private static final Logger LOG = LogManager.getLogger("store");
  private static final int CALL_TIMEOUT_MILLIS = 1_500;
  private static final int RETRY_DELAY_MILLIS = 1_000;

  /** The list usually comes with that of the nodes; peers tell their records within this time. */
  private static final int MAX_LOAD_WAIT_MILLIS = 400;

  private static final int FIRST_REDIRECT = 300;
  private static final int CONFLICT = 409;

  /** Equal to the time for which a daemon keeps a record in memory without updates. */
  private static final long RETENTION_MILLIS = 1_800_000;

  /** Limits the records that wait to be saved; peers also receive the records in peer messages. */
  private static final int MAX_PENDING = 64;

  private final StoreClient store;
  private final LongSupplier clockMillis;
  private final Consumer<List<StoredQuarantineRecord>> loaded;
  private final StoredList<StoredQuarantineRecord> records;
  private final Map<Fingerprint, StoredQuarantineRecord> pending = new LinkedHashMap<>();
  private final Deque<Runnable> waitingForLoad = new ArrayDeque<>();
  private boolean saving;
  private boolean loading;

  /**
   * Creates a client of the store; it makes no calls by itself.
   *
   * @param store sends the calls
   * @param clockMillis the wall clock, in milliseconds since the Unix epoch
   * @param loaded receives each page of unexpired records that {@link #load} reads
   */
  public QuarantineStore(
      StoreClient store, LongSupplier clockMillis, Consumer<List<StoredQuarantineRecord>> loaded) {
    this.store = store;
    this.clockMillis = clockMillis;
    this.loaded = loaded;
    this.records = new StoredList<>(store, Platform.Kind.QUARANTINE, store.platform()::keptRecords);
  }

  /** Loads the records that other daemons saved; retries until the store answers. */
  public void load() {
    loading = true;
    records.load(this::acceptPage, this::endLoading);
  }

  /**
   * Runs a task once the records are loaded, or have turned out to be late: then peers may know
   * them, and callers wait no longer.
   *
   * @param task runs at once if nothing is being loaded
   */
  public void whenLoaded(Runnable task) {
    if (!loading) {
      task.run();
      return;
    }
    waitingForLoad.addLast(task);
    store.timers().after(MAX_LOAD_WAIT_MILLIS, this::endLoading);
  }

  private void endLoading() {
    loading = false;
    while (!waitingForLoad.isEmpty()) {
      waitingForLoad.removeFirst().run();
    }
  }

  private void acceptPage(Page<StoredQuarantineRecord> page) {
    List<StoredQuarantineRecord> unexpired = new ArrayList<>();
    for (Page.Item<StoredQuarantineRecord> item : page.items()) {
      StoredQuarantineRecord kept = item.value();
      if (kept != null && kept.expiresAtMillis() > clockMillis.getAsLong()) {
        unexpired.add(kept);
      } else if (!item.name().isEmpty()) {
        remove(item.name());
      }
    }
    LOG.info("kind=QUARANTINE holding={} listed={}", unexpired.size(), page.items().size());
    loaded.accept(unexpired);
  }

  private void remove(String name) {
    store.send(
        store.platform().remove(Platform.Kind.QUARANTINE, name),
        CALL_TIMEOUT_MILLIS,
        reply -> LOG.info("kind=QUARANTINE name={} outcome=removed reply={}", name, reply));
  }

  /**
   * Saves a record for daemons that start later; retries until the store has accepted it.
   *
   * @param quarantined the record of a quarantined request
   */
  public void save(QuarantineRecord quarantined) {
    save(StoredQuarantineRecord.of(quarantined, expiresAtMillis()));
  }

  /**
   * Saves a record for daemons that start later; retries until the store has accepted it.
   *
   * @param barred the record of a barred prompt part
   */
  public void save(PartRecord barred) {
    save(StoredQuarantineRecord.of(barred, expiresAtMillis()));
  }

  private long expiresAtMillis() {
    return clockMillis.getAsLong() + RETENTION_MILLIS;
  }

  private void save(StoredQuarantineRecord quarantined) {
    if (pending.size() < MAX_PENDING) {
      pending.put(quarantined.fingerprint(), quarantined);
      saveNext();
    } else {
      LOG.warn(
          "fingerprint={} outcome=not_kept; too many records are waiting to be saved.",
          quarantined.fingerprint());
    }
  }

  /**
   * Deletes the record of a request that a node has since completed, so that daemons that start
   * later do not quarantine it.
   *
   * @param fingerprint the request
   */
  public void delete(Fingerprint fingerprint) {
    pending.remove(fingerprint);
    remove(fingerprint.toString());
  }

  private void saveNext() {
    if (saving || pending.isEmpty()) {
      return;
    }
    saving = true;
    StoredQuarantineRecord next = pending.values().iterator().next();
    store.send(
        store.platform().create(next), CALL_TIMEOUT_MILLIS, reply -> onSaveReply(next, reply));
  }

  private void onSaveReply(StoredQuarantineRecord quarantined, BufferedCall.Reply reply) {
    saving = false;
    boolean isSaved =
        reply instanceof BufferedCall.Answered answer
            && (answer.status() < FIRST_REDIRECT || answer.status() == CONFLICT);
    LOG.info(
        "fingerprint={} outcome={}", quarantined.fingerprint(), isSaved ? "kept" : "not_kept_yet");
    if (isSaved) {
      pending.remove(quarantined.fingerprint());
      saveNext();
    } else {
      store.timers().after(RETRY_DELAY_MILLIS, this::saveNext);
    }
  }
}
