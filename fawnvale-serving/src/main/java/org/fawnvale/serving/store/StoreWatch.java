package org.fawnvale.serving.store;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.watch.EraFilter;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePosition;
import org.fawnvale.serving.http.BufferedCall;
import org.fawnvale.serving.http.HttpClient;
import org.fawnvale.serving.http.Timers;
import org.fawnvale.serving.spi.Call;
import org.fawnvale.serving.spi.Page;
import org.fawnvale.serving.spi.Platform;
import org.jspecify.annotations.Nullable;

/**
 * Keeps a copy of the objects of one kind: lists them, then waits for changes, and lists again when
 * the store has forgotten its history or has begun another one.
 *
 * <p>Each answer tells in which history it was given; {@link EraFilter} says what it is good for.
 *
 * @param <T> the type of the objects
 */
public final class StoreWatch<T> {

  private static final Logger LOG = LogManager.getLogger("store");

  /**
   * What a call that waits may take beyond its wait: a store sixty times slower than its usual 4 ms
   * takes a quarter of this.
   */
  private static final int WAIT_SLACK_MILLIS = 1_000;

  private static final int LIST_MILLIS = 1_500;

  /** Next to no wait: whether the store answers again must not stay unknown until a change. */
  private static final int PROBE_WAIT_MILLIS = 1;

  private static final int FIRST_PAUSE_MILLIS = 100;
  private static final int LONGEST_PAUSE_MILLIS = 800;
  private static final int OK = 200;
  private static final int GONE = 410;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** A store that forgets its history again and again is told of once a second. */
  private static final long TELL_AGAIN_NANOS = 1_000_000_000L;

  private final HttpClient client;
  private final Timers timers;
  private final Endpoint store;
  private final Platform platform;
  private final Platform.Kind kind;
  private final Reader<T> reader;
  private final Pace pace;
  private final boolean firstMayBeOld;
  private final StoreCallMetrics figures;
  private final Runnable changed;
  private final ObjectTable<T> table;
  private final EraFilter eraRule = new EraFilter();
  private Map<String, Page.Item<T>> listing = new LinkedHashMap<>();
  private StorePosition listingPlace = StorePosition.NONE;
  private boolean active = true;
  private boolean reachable = true;
  private long failedAtNanos = Long.MIN_VALUE / 2;
  private long answeredAtNanos = Long.MIN_VALUE / 2;
  private int pauseMillis = FIRST_PAUSE_MILLIS;
  private int round;
  private long toldOfAtNanos = Long.MIN_VALUE / 2;
  private boolean forgottenBefore;
  private StoreEra heardOf = StoreEra.UNKNOWN;

  /**
   * How often calls are made. Each call costs; a longer wait leaves it unnoticed for longer that
   * the connection has gone silent.
   *
   * @param restMillis how long to rest between two calls that wait for changes, in milliseconds;
   *     what changes in the meantime comes with the next call, at the price of one
   * @param waitMillis how long a call waits for a change, in milliseconds
   */
  public record Pace(IntSupplier restMillis, IntSupplier waitMillis) {}

  /**
   * Reads the body of a list or of a watch.
   *
   * @param <T> the type of the objects
   */
  @FunctionalInterface
  public interface Reader<T> {

    /**
     * Reads an answer.
     *
     * @param era the era in which it was given
     * @param body its body
     * @return the page
     * @throws IOException when it can't be read
     */
    Page<T> read(StoreEra era, byte[] body) throws IOException;
  }

  /**
   * Creates a watch; it does nothing before {@link #start}.
   *
   * @param client sends the calls
   * @param timers bounds their times
   * @param store where the store listens
   * @param platform makes the calls
   * @param kind the kind of objects
   * @param reader reads the answers
   * @param pace how often calls are made
   * @param firstMayBeOld whether the first list may be seconds old, which is cheaper; what changed
   *     since comes with the first call that waits, or from peers
   * @param succession what goes before what the store shows
   * @param figures counts the calls
   * @param changed told, while the guard is held, when the copy has changed
   */
  public StoreWatch(
      HttpClient client,
      Timers timers,
      Endpoint store,
      Platform platform,
      Platform.Kind kind,
      Reader<T> reader,
      Pace pace,
      boolean firstMayBeOld,
      MergePolicy<T> succession,
      StoreCallMetrics figures,
      Runnable changed) {
    this.client = client;
    this.timers = timers;
    this.store = store;
    this.platform = platform;
    this.kind = kind;
    this.reader = reader;
    this.pace = pace;
    this.firstMayBeOld = firstMayBeOld;
    this.figures = figures;
    this.changed = changed;
    this.table = new ObjectTable<>(kind.name(), unreadable(kind), succession);
  }

  private static ObjectTable.Unreadable unreadable(Platform.Kind kind) {
    return kind == Platform.Kind.CONFIGURATION
        ? ObjectTable.Unreadable.KEEPS_LAST
        : ObjectTable.Unreadable.NAMES_NOTHING;
  }

  /**
   * Names who is told, while the guard is held, that the copy shows another history of the store.
   *
   * @param listener told after the change
   */
  public void onEraChange(Consumer<EraChange<T>> listener) {
    table.onEraChange(listener);
  }

  /** Begins with a list. */
  public void start() {
    round++;
    list("", round);
  }

  /**
   * Begins or ends the calls to the store: a daemon that takes its copy from peers makes none.
   *
   * @param wanted whether the store is to be watched
   */
  public void active(boolean wanted) {
    if (wanted == active) {
      return;
    }
    active = wanted;
    int ofRound = ++round;
    LOG.info("kind={} place={} outcome={}", kind, place(), wanted ? "watches" : "rests");
    if (wanted && place().isKnown()) {
      watch(ofRound);
    } else if (wanted) {
      list("", ofRound);
    }
  }

  /**
   * Tells whether this daemon watches the store itself.
   *
   * @return false while it takes its copy from peers
   */
  public boolean isActive() {
    return active;
  }

  /**
   * The place of the newest change in the copy; unlike the store's own it does not move with other
   * kinds.
   *
   * @return the place; {@link StorePosition#NONE} before the first list
   */
  public StorePosition newest() {
    return table.newest();
  }

  /**
   * The copy.
   *
   * @return the objects by name
   */
  public Map<String, T> objects() {
    return table.objects();
  }

  /**
   * Where each object of the copy was changed last.
   *
   * @return the places by name
   */
  public Map<String, StorePosition> places() {
    return table.places();
  }

  /**
   * The store's place that the copy shows.
   *
   * @return the place; {@link StorePosition#NONE} before the first list
   */
  public StorePosition place() {
    return table.place();
  }

  /**
   * Tells whether the store answers.
   *
   * @return false from a failed call until the next good one
   */
  public boolean reachable() {
    return reachable;
  }

  /**
   * When a call failed last.
   *
   * @return the steady time, in nanoseconds; long ago when none has
   */
  public long failedAtNanos() {
    return failedAtNanos;
  }

  /**
   * When the store answered last.
   *
   * @return the steady time, in nanoseconds; long ago when it never has
   */
  public long answeredAtNanos() {
    return answeredAtNanos;
  }

  /** Asks at once for what has changed, to find out whether the store still answers. */
  public void probe() {
    if (active && reachable && place().isKnown()) {
      watch(++round, StoreCallMetrics.Reason.RETRY, PROBE_WAIT_MILLIS);
    }
  }

  /**
   * Hears that the store has begun a later history. The call that waits may not tell it for long,
   * or never, so the store is asked at once; only its own answer counts.
   *
   * @param told the era that another copy or another daemon has seen
   */
  public void hearOf(StoreEra told) {
    boolean isNews = told.isAfter(place().era()) && told.isAfter(heardOf);
    if (active && place().isKnown() && isNews) {
      heardOf = told;
      list("", ++round);
    }
  }

  /**
   * Takes what a peer knows, if it is newer.
   *
   * @param copy the peer's objects or changes
   */
  void adopt(CopyUpdate<T> copy) {
    if (table.merge(copy)) {
      LOG.debug(
          "kind={} place={} newest={} whole={} outcome=taken_from_peer",
          kind,
          copy.place(),
          copy.newest(),
          copy.whole());
      changed.run();
    }
  }

  /** Counts what may have changed the copy. */
  long changes() {
    return table.changes();
  }

  /** What has changed in this daemon's copy since a place. */
  CopyUpdate<T> copySince(StorePosition since) {
    return table.copySince(since);
  }

  private void list(String afterName, int ofRound) {
    if (afterName.isEmpty()) {
      listing = new LinkedHashMap<>();
      listingPlace = StorePosition.NONE;
    }
    boolean mayBeOld = firstMayBeOld && !place().isKnown();
    call(
        platform.list(kind, afterName, mayBeOld),
        StorePosition.NONE,
        StoreCallMetrics.Reason.LIST,
        LIST_MILLIS,
        ofRound,
        page -> listed(page, ofRound));
  }

  private void call(
      Call call,
      StorePosition asked,
      StoreCallMetrics.Reason reason,
      int timeoutMillis,
      int ofRound,
      Consumer<Page<T>> good) {
    BufferedCall.send(
        client,
        timers,
        store,
        call,
        timeoutMillis,
        reply -> {
          if (ofRound == round) {
            replied(reply, asked, reason, good);
          }
        });
  }

  private void replied(
      BufferedCall.Reply reply,
      StorePosition asked,
      StoreCallMetrics.Reason reason,
      Consumer<Page<T>> good) {
    if (!(reply instanceof BufferedCall.Answered answer) || answer.status() != OK) {
      failed(reply, reason);
      return;
    }
    StoreEra era = platform.era(answer.head());
    switch (eraRule.evaluate(era, place(), asked, System.nanoTime())) {
      case DISCARD -> earlier(era, reason);
      case RELIST -> {
        answered();
        count(reason, StoreCallMetrics.Outcome.OTHER_ERA);
        list("", ++round);
      }
      case APPLY -> {
        answered();
        take(era, answer.body(), reason, good);
      }
    }
  }

  private void take(
      StoreEra era, byte[] body, StoreCallMetrics.Reason reason, Consumer<Page<T>> good) {
    Page<T> page = read(era, body);
    if (page == null) {
      return;
    }
    StorePosition before = newest();
    good.accept(page);
    boolean isList = reason == StoreCallMetrics.Reason.LIST;
    boolean news = isList || newest().isAfter(before);
    count(reason, news ? StoreCallMetrics.Outcome.NEWS : StoreCallMetrics.Outcome.NOTHING);
    if (!isList) {
      pauseMillis = FIRST_PAUSE_MILLIS;
      forgottenBefore = false;
    }
  }

  private void answered() {
    if (!reachable) {
      LOG.info("kind={} outcome=store_regained place={}", kind, place());
    }
    reachable = true;
    answeredAtNanos = System.nanoTime();
  }

  private void earlier(StoreEra era, StoreCallMetrics.Reason reason) {
    count(reason, StoreCallMetrics.Outcome.OTHER_ERA);
    if (isToldAgain()) {
      LOG.warn(
          "kind={} era={} known={} outcome=earlier_era_dropped. The store's answers must tell its"
              + " newest era; what they say is taken after {} ms.",
          kind,
          era,
          place(),
          EraFilter.STALE_RESPONSE_NANOS / NANOS_PER_MILLI);
    }
    later(nextPauseMillis(), () -> list("", round));
  }

  private void failed(BufferedCall.Reply reply, StoreCallMetrics.Reason reason) {
    count(reason, StoreCallMetrics.Outcome.FAILED);
    boolean forgotten = reply instanceof BufferedCall.Answered answer && answer.status() == GONE;
    if (forgotten) {
      forgotten(((BufferedCall.Answered) reply).head());
      return;
    }
    failedAtNanos = System.nanoTime();
    if (reachable) {
      reachable = false;
      LOG.warn("kind={} outcome=store_lost reply={} place={}", kind, describe(reply), place());
    }
    later(nextPauseMillis(), this::goOn);
  }

  /**
   * The list follows at once, but only once: a store that refuses again what it has just listed
   * would be asked without a pause.
   */
  private void forgotten(HttpResponse head) {
    if (isToldAgain()) {
      LOG.warn(
          "kind={} place={} era={} outcome=history_forgotten", kind, place(), platform.era(head));
    }
    int pause = forgottenBefore ? nextPauseMillis() : 0;
    forgottenBefore = true;
    later(pause, () -> list("", round));
  }

  private int nextPauseMillis() {
    int pause = pauseMillis;
    pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, pauseMillis * 2);
    return pause;
  }

  /** Does something after a pause, unless another call has been made meanwhile. */
  private void later(int pause, Runnable next) {
    int ofRound = ++round;
    timers.after(
        pause,
        () -> {
          if (ofRound == round) {
            next.run();
          }
        });
  }

  /**
   * After a failed call the copy still shows its place, so what has changed since is asked for
   * instead of all: a list of 1,100 nodes is 22 calls and 330 KB, and was listed by each watcher
   * after each outage.
   */
  private void goOn() {
    if (place().isKnown()) {
      watch(round, StoreCallMetrics.Reason.RETRY, PROBE_WAIT_MILLIS);
    } else {
      list("", round);
    }
  }

  /** Tells whether lines on what repeats with each call are due. */
  private boolean isToldAgain() {
    long now = System.nanoTime();
    boolean due = now - toldOfAtNanos > TELL_AGAIN_NANOS;
    toldOfAtNanos = due ? now : toldOfAtNanos;
    return due;
  }

  private void count(StoreCallMetrics.Reason reason, StoreCallMetrics.Outcome outcome) {
    figures.count(kind, reason, outcome);
  }

  private static String describe(BufferedCall.Reply reply) {
    return reply instanceof BufferedCall.Answered answer
        ? "status_" + answer.status()
        : String.valueOf(((BufferedCall.Failed) reply).failure());
  }

  private void listed(Page<T> page, int ofRound) {
    if (listing.isEmpty()) {
      // What changes while the pages are read comes with the watch that follows.
      listingPlace = page.place();
    } else if (!listingPlace.isSameEra(page.place())) {
      list("", ofRound);
      return;
    }
    page.items().forEach(item -> listing.put(item.name(), item));
    if (page.more()) {
      list(page.lastName(), ofRound);
      return;
    }
    if (table.replace(listing, listingPlace)) {
      changed.run();
    } else if (isToldAgain()) {
      LOG.warn("kind={} listed={} known={} outcome=list_not_taken", kind, listingPlace, place());
    }
    watch(ofRound);
  }

  private void watch(int ofRound) {
    watch(ofRound, StoreCallMetrics.Reason.WAIT, pace.waitMillis().getAsInt());
  }

  private void watch(int ofRound, StoreCallMetrics.Reason reason, int waitMillis) {
    StorePosition since = place();
    call(
        platform.watch(kind, since, waitMillis),
        since,
        reason,
        waitMillis + WAIT_SLACK_MILLIS,
        ofRound,
        page -> watched(page, ofRound));
  }

  private void watched(Page<T> page, int ofRound) {
    table.change(page);
    if (!page.items().isEmpty()) {
      changed.run();
    }
    timers.after(
        pace.restMillis().getAsInt(),
        () -> {
          if (ofRound == round) {
            watch(ofRound);
          }
        });
  }

  private @Nullable Page<T> read(StoreEra era, byte[] body) {
    try {
      return reader.read(era, body);
    } catch (IOException | RuntimeException e) {
      LOG.error("kind={} outcome=unreadable_answer cause={}", kind, e.toString());
      later(LONGEST_PAUSE_MILLIS, () -> list("", round));
      return null;
    }
  }
}
