package org.fawnvale.serving.store;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.peer.DaemonRecord;
import org.fawnvale.serving.core.peer.FleetMembers;
import org.fawnvale.serving.http.BufferedCall;
import org.fawnvale.serving.spi.Page;
import org.fawnvale.serving.spi.Platform;

/**
 * Registers this daemon in the platform's store and reads which others are registered, so that
 * daemons that start behind a network partition know how many share the fleet's bounds. Callers
 * hold the daemon's lock.
 */
public final class DaemonRegistry {

  private static final Logger LOG = LogManager.getLogger("store");
  private static final int CALL_TIMEOUT_MILLIS = 1_500;
  private static final int RETRY_DELAY_MILLIS = 1_000;

  /** Daemons that start together have registered by then. */
  private static final int LIST_AGAIN_MILLIS = 5_000;

  private static final int FIRST_REDIRECT = 300;
  private static final int CONFLICT = 409;
  private static final long RETENTION_MILLIS =
      TimeUnit.NANOSECONDS.toMillis(FleetMembers.RETENTION_NANOS);

  /** A record that expires sooner is followed by a newer one: after three quarters of its time. */
  private static final long RENEWAL_MILLIS = RETENTION_MILLIS / 4;

  private final StoreClient store;
  private final LongSupplier clockMillis;
  private final String self;
  private final Consumer<Set<String>> listed;
  private final StoredList<DaemonRecord> records;
  private final Set<String> daemons = new HashSet<>();
  private final Set<String> outdated = new HashSet<>();
  private long registeredUntilMillis;
  private boolean listing;

  /**
   * Creates a client of the store; it makes no calls by itself.
   *
   * @param store sends the calls
   * @param clockMillis the wall clock, in milliseconds since the Unix epoch
   * @param self the name of this daemon
   * @param listed receives the names of all registered daemons
   */
  public DaemonRegistry(
      StoreClient store, LongSupplier clockMillis, String self, Consumer<Set<String>> listed) {
    this.store = store;
    this.clockMillis = clockMillis;
    this.self = self;
    this.listed = listed;
    this.records = new StoredList<>(store, Platform.Kind.DAEMONS, store.platform()::daemons);
  }

  /**
   * Lists the daemons, registers this one, and repeats that before its record expires. While the
   * store is away, one list is tried again and again.
   */
  public void start() {
    store.timers().every(RENEWAL_MILLIS / 2, this::list);
    list();
  }

  private void list() {
    if (listing) {
      return;
    }
    listing = true;
    daemons.clear();
    outdated.clear();
    registeredUntilMillis = 0;
    records.load(this::acceptPage, this::onListed);
  }

  private void acceptPage(Page<DaemonRecord> page) {
    for (Page.Item<DaemonRecord> item : page.items()) {
      DaemonRecord daemon = item.value();
      if (daemon == null || daemon.expiresAtMillis() < clockMillis.getAsLong()) {
        outdated.add(item.name());
      } else {
        daemons.add(daemon.daemon());
        recordOwn(daemon);
      }
    }
  }

  private void recordOwn(DaemonRecord daemon) {
    if (daemon.daemon().equals(self)) {
      registeredUntilMillis = Math.max(registeredUntilMillis, daemon.expiresAtMillis());
    }
  }

  private void onListed() {
    listing = false;
    LOG.info("kind=DAEMONS listed={} outdated={}", daemons.size(), outdated.size());
    outdated.forEach(this::remove);
    if (daemons.isEmpty()) {
      store.timers().after(LIST_AGAIN_MILLIS, this::list);
    } else {
      listed.accept(Set.copyOf(daemons));
    }
    if (registeredUntilMillis < clockMillis.getAsLong() + RENEWAL_MILLIS) {
      register();
    }
  }

  /** A newer record is added before the older one expires and is removed by anyone who lists. */
  private void register() {
    DaemonRecord own = new DaemonRecord(self, clockMillis.getAsLong() + RETENTION_MILLIS);
    store.send(
        store.platform().create(own),
        CALL_TIMEOUT_MILLIS,
        reply -> {
          if (!isStored(reply)) {
            store.timers().after(RETRY_DELAY_MILLIS, this::register);
          }
        });
  }

  private static boolean isStored(BufferedCall.Reply reply) {
    return reply instanceof BufferedCall.Answered answer
        && (answer.status() < FIRST_REDIRECT || answer.status() == CONFLICT);
  }

  private void remove(String name) {
    store.send(
        store.platform().remove(Platform.Kind.DAEMONS, name),
        CALL_TIMEOUT_MILLIS,
        reply -> LOG.info("kind=DAEMONS name={} outcome=removed reply={}", name, reply));
  }
}
