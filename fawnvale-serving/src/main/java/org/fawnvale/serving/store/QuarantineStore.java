package org.fawnvale.serving.store;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.quarantine.Fingerprint;
import org.fawnvale.serving.core.quarantine.QuarantineRecord;
import org.fawnvale.serving.core.quarantine.StoredQuarantineRecord;
import org.fawnvale.serving.http.BufferedCall;
import org.fawnvale.serving.http.HttpClient;
import org.fawnvale.serving.http.Timers;
import org.fawnvale.serving.spi.Page;
import org.fawnvale.serving.spi.Platform;

/**
 * Keeps requests that end nodes in the platform's store, so that they stay known when all daemons
 * have lost power at once. There are few: a call for each, and one for each daemon that starts. All
 * calls hold the guard.
 */
public final class QuarantineStore {

  private static final Logger LOG = LogManager.getLogger("store");
  private static final int CALL_MILLIS = 1_500;
  private static final int AGAIN_MILLIS = 1_000;
  private static final int OK = 200;
  private static final int REDIRECT = 300;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;

  /** As long as a daemon remembers a request of which it hears nothing. */
  private static final long KEPT_MILLIS = 1_800_000;

  /** Requests that wait to be kept; a flood of them is a caller's mistake, and peers tell them. */
  private static final int MOST_WAITING = 64;

  private final HttpClient client;
  private final Timers timers;
  private final Endpoint store;
  private final Platform platform;
  private final LongSupplier clockMillis;
  private final Consumer<List<QuarantineRecord>> known;
  private final Map<Fingerprint, QuarantineRecord> waiting = new LinkedHashMap<>();
  private boolean calling;

  /**
   * Creates the keeper.
   *
   * @param client sends the calls
   * @param timers bounds their times
   * @param store where the store listens
   * @param platform makes the calls
   * @param clockMillis the time of day, in milliseconds of Unix time
   * @param known told what the store holds
   */
  public QuarantineStore(
      HttpClient client,
      Timers timers,
      Endpoint store,
      Platform platform,
      LongSupplier clockMillis,
      Consumer<List<QuarantineRecord>> known) {
    this.client = client;
    this.timers = timers;
    this.store = store;
    this.platform = platform;
    this.clockMillis = clockMillis;
    this.known = known;
  }

  /** Learns what earlier daemons kept; asks again until the store answers. */
  public void learn() {
    learnAfter("");
  }

  private void learnAfter(String name) {
    BufferedCall.send(
        client,
        timers,
        store,
        platform.list(Platform.Kind.QUARANTINE, name, true),
        CALL_MILLIS,
        reply -> {
          if (reply instanceof BufferedCall.Answered answer && answer.status() == OK) {
            take(answer);
          } else if (!isAbsent(reply)) {
            timers.after(AGAIN_MILLIS, () -> learnAfter(name));
          }
        });
  }

  /** Before the first object of a kind is kept there may be no such kind. */
  private static boolean isAbsent(BufferedCall.Reply reply) {
    return reply instanceof BufferedCall.Answered answer && answer.status() == NOT_FOUND;
  }

  private void take(BufferedCall.Answered answer) {
    try {
      Page<StoredQuarantineRecord> page =
          platform.keptRecords(platform.era(answer.head()), answer.body());
      List<QuarantineRecord> holding = new ArrayList<>();
      for (Page.Item<StoredQuarantineRecord> item : page.items()) {
        StoredQuarantineRecord kept = item.value();
        if (kept != null && kept.expiresAtMillis() > clockMillis.getAsLong()) {
          holding.add(kept.quarantineRecord());
        } else {
          remove(item.name());
        }
      }
      LOG.info("kind=QUARANTINE holding={} listed={}", holding.size(), page.items().size());
      known.accept(holding);
      if (page.more()) {
        learnAfter(page.lastName());
      }
    } catch (IOException e) {
      LOG.error("kind=QUARANTINE outcome=unreadable_answer cause={}", e.toString());
    }
  }

  private void remove(String name) {
    BufferedCall.send(
        client,
        timers,
        store,
        platform.remove(Platform.Kind.QUARANTINE, name),
        CALL_MILLIS,
        reply -> LOG.info("kind=QUARANTINE name={} outcome=removed reply={}", name, reply));
  }

  /**
   * Keeps a request for all daemons to come.
   *
   * @param told what is known of it
   */
  public void keep(QuarantineRecord told) {
    if (waiting.size() < MOST_WAITING) {
      waiting.put(told.fingerprint(), told);
      keepNext();
    } else {
      LOG.warn("fingerprint={} outcome=not_kept; too many wait.", told.fingerprint());
    }
  }

  /**
   * Ceases to keep a request that an answer has shown to be harmless, so that no daemon that starts
   * later refuses it.
   *
   * @param fingerprint the request
   */
  public void forget(Fingerprint fingerprint) {
    waiting.remove(fingerprint);
    remove(fingerprint.toString());
  }

  private void keepNext() {
    if (calling || waiting.isEmpty()) {
      return;
    }
    calling = true;
    QuarantineRecord next = waiting.values().iterator().next();
    StoredQuarantineRecord kept =
        new StoredQuarantineRecord(next, clockMillis.getAsLong() + KEPT_MILLIS);
    BufferedCall.send(
        client, timers, store, platform.create(kept), CALL_MILLIS, reply -> called(next, reply));
  }

  private void called(QuarantineRecord told, BufferedCall.Reply reply) {
    calling = false;
    boolean isKept =
        reply instanceof BufferedCall.Answered answer
            && (answer.status() < REDIRECT || answer.status() == CONFLICT);
    LOG.info("fingerprint={} outcome={}", told.fingerprint(), isKept ? "kept" : "not_kept_yet");
    if (isKept) {
      waiting.remove(told.fingerprint());
      keepNext();
    } else {
      timers.after(AGAIN_MILLIS, this::keepNext);
    }
  }
}
