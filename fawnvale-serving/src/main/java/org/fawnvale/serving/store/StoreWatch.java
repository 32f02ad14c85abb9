package org.fawnvale.serving.store;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.watch.EraFilter;
import org.fawnvale.serving.core.watch.StartupRetries;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePosition;
import org.fawnvale.serving.http.BufferedCall;
import org.fawnvale.serving.spi.Call;
import org.fawnvale.serving.spi.Page;
import org.fawnvale.serving.spi.Platform;
import org.jspecify.annotations.Nullable;

/**
 * Maintains a local copy of the store's objects of one kind: lists them, then waits for changes,
 * and lists them again when the store no longer has the requested history, when the changes are too
 * many for one answer, or when the store has begun another era.
 *
 * <p>Each answer of the store names its era; {@link EraFilter} decides how the answer is used.
 * Callers hold the daemon's lock.
 *
 * @param <T> the type of the objects
 */
public final class StoreWatch<T> {

  private static final Logger LOG = LogManager.getLogger("store");

  /**
   * Time that a waiting call may take in addition to its wait, for the store and the network. A
   * store sixty times slower than its usual 4 ms takes a quarter of it.
   */
  private static final int WAIT_SLACK_MILLIS = 1_000;

  private static final int LIST_TIMEOUT_MILLIS = 1_500;

  /** Nearly no wait, so that the answer shows at once whether the store can be reached. */
  private static final int PROBE_WAIT_MILLIS = 1;

  private static final int MIN_BACKOFF_MILLIS = 100;
  private static final int MAX_BACKOFF_MILLIS = 800;
  private static final int OK = 200;
  private static final int GONE = 410;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Minimum interval between two log lines on conditions that may recur with every call. */
  private static final long LOG_INTERVAL_NANOS = 1_000_000_000L;

  private final StoreClient store;
  private final Platform.Kind kind;
  private final Reader<T> reader;
  private final Timing timing;
  private final boolean firstListMayBeStale;
  private final StoreCallMetrics metrics;
  private final Runnable changeListener;
  private final ObjectTable<T> table;
  private final EraFilter eraRule = new EraFilter();
  private final StartupRetries startupRetries = new StartupRetries();
  private Map<String, Page.Item<T>> listing = new LinkedHashMap<>();
  private StorePosition listingPosition = StorePosition.NONE;
  private boolean active = true;
  private boolean reachable = true;
  private long lastFailureNanos = Long.MIN_VALUE / 2;
  private long lastAnswerNanos = Long.MIN_VALUE / 2;
  private int backoffMillis = MIN_BACKOFF_MILLIS;

  /** Identifies the current sequence of calls; replies of earlier sequences are ignored. */
  private int sequence;

  private long lastLogNanos = Long.MIN_VALUE / 2;
  private boolean listedInstead;
  private StoreEra reportedEra = StoreEra.UNKNOWN;

  /**
   * Timing of the calls that wait for changes. Longer times reduce the number of calls; a longer
   * wait also delays the detection of a silent connection.
   *
   * @param pauseMillis the pause between two calls, in milliseconds; the next call returns all
   *     changes of the pause together
   * @param waitMillis how long a call waits for a change, in milliseconds
   */
  public record Timing(IntSupplier pauseMillis, IntSupplier waitMillis) {}

  /**
   * Parses the body of a list or of a watch.
   *
   * @param <T> the type of the objects
   */
  @FunctionalInterface
  public interface Reader<T> {

    /**
     * Parses an answer.
     *
     * @param era the era of the answer
     * @param body the body of the answer
     * @return the page
     * @throws IOException when the body can't be parsed
     */
    Page<T> read(StoreEra era, byte[] body) throws IOException;
  }

  /**
   * Creates a watch; it makes no calls before {@link #start}.
   *
   * @param store sends the calls
   * @param kind the kind of objects
   * @param reader parses the answers
   * @param timing the timing of the calls that wait for changes
   * @param firstListMayBeStale whether the first list may be seconds old, which is cheaper; newer
   *     changes arrive with the first call that waits, or from peers
   * @param mergePolicy decides which known objects take precedence over those that the store shows
   * @param metrics counts the calls
   * @param changeListener notified, while the daemon's lock is held, when the copy has changed
   */
  public StoreWatch(
      StoreClient store,
      Platform.Kind kind,
      Reader<T> reader,
      Timing timing,
      boolean firstListMayBeStale,
      MergePolicy<T> mergePolicy,
      StoreCallMetrics metrics,
      Runnable changeListener) {
    this.store = store;
    this.kind = kind;
    this.reader = reader;
    this.timing = timing;
    this.firstListMayBeStale = firstListMayBeStale;
    this.metrics = metrics;
    this.changeListener = changeListener;
    this.table = new ObjectTable<>(kind.name(), unreadablePolicy(kind), mergePolicy);
  }

  private static ObjectTable.UnreadablePolicy unreadablePolicy(Platform.Kind kind) {
    return kind == Platform.Kind.NODES
        ? ObjectTable.UnreadablePolicy.NAMES_NOTHING
        : ObjectTable.UnreadablePolicy.KEEPS_LAST;
  }

  /**
   * Sets the listener for changes of the era.
   *
   * @param listener notified after the change, while the daemon's lock is held
   */
  public void onEraChange(Consumer<EraChange<T>> listener) {
    table.onEraChange(listener);
  }

  /** Starts the watch with a list. */
  public void start() {
    sequence++;
    startupRetries.start(System.nanoTime());
    list("", sequence);
  }

  /**
   * Repeats a call of a daemon that has just started if its answer seems to be lost. Does nothing
   * while the store may still answer, and once the daemon has started.
   *
   * @param otherAnswerNanos when the store last answered a call of another kind, in monotonic time
   * @param nowNanos the monotonic time, in nanoseconds
   */
  public void repeatIfLost(long otherAnswerNanos, long nowNanos) {
    if (active && startupRetries.takeDue(otherAnswerNanos, nowNanos)) {
      LOG.info("kind={} place={} outcome=repeats_lost_call", kind, position());
      sequence++;
      resume();
    }
  }

  /**
   * Starts or stops the calls to the store. While the watch is inactive, the daemon takes its copy
   * from peers.
   *
   * @param wanted whether the watch calls the store
   */
  public void setActive(boolean wanted) {
    if (wanted == active) {
      return;
    }
    active = wanted;
    int ofSequence = ++sequence;
    LOG.info("kind={} place={} outcome={}", kind, position(), wanted ? "watches" : "rests");
    if (wanted && position().isKnown()) {
      watch(ofSequence);
    } else if (wanted) {
      list("", ofSequence);
    }
  }

  /**
   * Returns whether this daemon watches the store itself.
   *
   * @return false while this daemon takes its copy from peers
   */
  public boolean isActive() {
    return active;
  }

  /**
   * The position of the newest change in the copy. Unlike {@link #position}, it does not advance
   * with changes of other kinds.
   *
   * @return the position; {@link StorePosition#NONE} before the first list
   */
  public StorePosition newest() {
    return table.newest();
  }

  /**
   * The objects of the copy.
   *
   * @return the objects by name
   */
  public Map<String, T> objects() {
    return table.objects();
  }

  /**
   * The position of the last change of each object.
   *
   * @return the positions by name
   */
  public Map<String, StorePosition> positions() {
    return table.positions();
  }

  /**
   * The position in the store's history up to which the copy is current.
   *
   * @return the position; {@link StorePosition#NONE} before the first list
   */
  public StorePosition position() {
    return table.position();
  }

  /**
   * Returns whether the store answers.
   *
   * @return false from a failed call until the next successful one
   */
  public boolean reachable() {
    return reachable;
  }

  /**
   * The time of the last failed call.
   *
   * @return the monotonic time, in nanoseconds; far in the past when no call has failed
   */
  public long lastFailureNanos() {
    return lastFailureNanos;
  }

  /**
   * The time of the store's last answer.
   *
   * @return the monotonic time, in nanoseconds; far in the past when the store has never answered
   */
  public long lastAnswerNanos() {
    return lastAnswerNanos;
  }

  /** Reads the changes without waiting, to find out whether the store still answers. */
  public void probe() {
    if (active && reachable && position().isKnown()) {
      watch(++sequence, StoreCallMetrics.Reason.RETRY, PROBE_WAIT_MILLIS);
    }
  }

  /**
   * Lists the objects again if another copy or another daemon has observed a later era of the
   * store. The call that waits for changes may return late or never after a rollback. The reported
   * era itself does not change the copy; only the store's answer does.
   *
   * @param reported the observed era
   */
  public void onEraReported(StoreEra reported) {
    boolean isLater = reported.isAfter(position().era()) && reported.isAfter(reportedEra);
    if (active && position().isKnown() && isLater) {
      reportedEra = reported;
      list("", ++sequence);
    }
  }

  /**
   * Merges the objects or changes of a peer's copy, if they are newer.
   *
   * @param update the peer's objects or changes
   */
  void merge(CopyUpdate<T> update) {
    if (table.merge(update)) {
      LOG.debug(
          "kind={} place={} newest={} whole={} outcome=taken_from_peer",
          kind,
          update.place(),
          update.newest(),
          update.whole());
      changeListener.run();
    }
  }

  /** The number of operations so far that may have changed the copy. */
  long changeCount() {
    return table.changeCount();
  }

  /** Creates an update for a peer whose copy is at a given position. */
  CopyUpdate<T> updateSince(StorePosition since) {
    return table.updateSince(since);
  }

  private void list(String afterName, int ofSequence) {
    if (afterName.isEmpty()) {
      listing = new LinkedHashMap<>();
      listingPosition = StorePosition.NONE;
    }
    boolean mayBeStale = firstListMayBeStale && !position().isKnown();
    call(
        store.platform().list(kind, afterName, mayBeStale),
        StorePosition.NONE,
        StoreCallMetrics.Reason.LIST,
        LIST_TIMEOUT_MILLIS,
        ofSequence,
        page -> onListPage(page, ofSequence));
  }

  private void call(
      Call call,
      StorePosition requested,
      StoreCallMetrics.Reason reason,
      int timeoutMillis,
      int ofSequence,
      Consumer<Page<T>> onPage) {
    if (reason != StoreCallMetrics.Reason.WAIT) {
      startupRetries.onSent(System.nanoTime());
    }
    store.send(
        call,
        timeoutMillis,
        reply -> {
          if (ofSequence == sequence) {
            handle(reply, requested, reason, onPage);
          }
        });
  }

  /** Handles a reply; a fault on the way must not be the end of the calls. */
  private void handle(
      BufferedCall.Reply reply,
      StorePosition requested,
      StoreCallMetrics.Reason reason,
      Consumer<Page<T>> onPage) {
    try {
      onReply(reply, requested, reason, onPage);
    } catch (RuntimeException e) {
      LOG.error("kind={} place={} outcome=fault_of_daemon", kind, position(), e);
      schedule(MAX_BACKOFF_MILLIS, () -> list("", sequence));
    }
  }

  private void onReply(
      BufferedCall.Reply reply,
      StorePosition requested,
      StoreCallMetrics.Reason reason,
      Consumer<Page<T>> onPage) {
    if (!(reply instanceof BufferedCall.Answered answer) || answer.status() != OK) {
      onFailure(reply, reason);
      return;
    }
    StoreEra era = store.platform().era(answer.head());
    switch (eraRule.evaluate(era, position(), requested, System.nanoTime())) {
      case DISCARD -> onEarlierEra(era, reason);
      case RELIST -> {
        onAnswer();
        count(reason, StoreCallMetrics.Outcome.OTHER_ERA);
        list("", ++sequence);
      }
      case APPLY -> {
        onAnswer();
        accept(era, answer.body(), reason, onPage);
      }
    }
  }

  private void accept(
      StoreEra era, byte[] body, StoreCallMetrics.Reason reason, Consumer<Page<T>> onPage) {
    Page<T> page = parse(era, body);
    if (page == null) {
      return;
    }
    StorePosition before = newest();
    onPage.accept(page);
    boolean isList = reason == StoreCallMetrics.Reason.LIST;
    boolean hasChanges = isList || newest().isAfter(before);
    count(reason, hasChanges ? StoreCallMetrics.Outcome.NEWS : StoreCallMetrics.Outcome.NOTHING);
    if (!isList) {
      backoffMillis = MIN_BACKOFF_MILLIS;
      listedInstead = false;
    }
  }

  private void onAnswer() {
    if (!reachable) {
      LOG.info("kind={} outcome=store_regained place={}", kind, position());
    }
    reachable = true;
    startupRetries.onAnswer();
    lastAnswerNanos = System.nanoTime();
  }

  private void onEarlierEra(StoreEra era, StoreCallMetrics.Reason reason) {
    count(reason, StoreCallMetrics.Outcome.OTHER_ERA);
    if (tryLog()) {
      LOG.warn(
          "kind={} era={} known={} outcome=earlier_era_dropped. The store answered with an"
              + " earlier era; such answers are ignored for {} ms, then accepted.",
          kind,
          era,
          position(),
          EraFilter.STALE_RESPONSE_NANOS / NANOS_PER_MILLI);
    }
    schedule(nextBackoffMillis(), () -> list("", sequence));
  }

  private void onFailure(BufferedCall.Reply reply, StoreCallMetrics.Reason reason) {
    count(reason, StoreCallMetrics.Outcome.FAILED);
    if (reply instanceof BufferedCall.Answered answer && answer.status() == GONE) {
      listInstead("history_forgotten", store.platform().era(answer.head()));
      return;
    }
    boolean cutShort = reply instanceof BufferedCall.Failed failed && failed.cutShort();
    if (cutShort && reason != StoreCallMetrics.Reason.LIST) {
      listInstead("answer_too_long", position().era());
      return;
    }
    lastFailureNanos = System.nanoTime();
    startupRetries.onFailure(lastFailureNanos);
    if (reachable) {
      reachable = false;
      LOG.warn("kind={} outcome=store_lost reply={} place={}", kind, describe(reply), position());
    }
    schedule(nextBackoffMillis(), this::resume);
  }

  /**
   * Lists the objects again, since the changes are not to be had: at once the first time, with a
   * backoff when that fails in the same way. Changes that are too many for one answer only grow;
   * the objects as they are come in pages.
   */
  private void listInstead(String reason, StoreEra era) {
    if (tryLog()) {
      LOG.warn("kind={} place={} era={} outcome={}", kind, position(), era, reason);
    }
    int delay = listedInstead ? nextBackoffMillis() : 0;
    listedInstead = true;
    schedule(delay, () -> list("", sequence));
  }

  private int nextBackoffMillis() {
    int backoff = backoffMillis;
    backoffMillis = Math.min(MAX_BACKOFF_MILLIS, backoffMillis * 2);
    return backoff;
  }

  /** Runs a task after a delay in milliseconds, unless another call is made in the meantime. */
  private void schedule(int delay, Runnable task) {
    int ofSequence = ++sequence;
    store
        .timers()
        .after(
            delay,
            () -> {
              if (ofSequence == sequence) {
                task.run();
              }
            });
  }

  /**
   * Continues after a failed call. Reads only the changes since the position of the copy if there
   * is one, because a full list of a large cluster takes many calls: 22 calls and 330 KB for 1,100
   * nodes.
   */
  private void resume() {
    if (position().isKnown()) {
      watch(sequence, StoreCallMetrics.Reason.RETRY, PROBE_WAIT_MILLIS);
    } else {
      list("", sequence);
    }
  }

  /** Limits the rate of log lines on conditions that may recur with every call. */
  private boolean tryLog() {
    long now = System.nanoTime();
    boolean due = now - lastLogNanos > LOG_INTERVAL_NANOS;
    lastLogNanos = due ? now : lastLogNanos;
    return due;
  }

  private void count(StoreCallMetrics.Reason reason, StoreCallMetrics.Outcome outcome) {
    metrics.count(kind, reason, outcome);
  }

  private static String describe(BufferedCall.Reply reply) {
    return reply instanceof BufferedCall.Answered answer
        ? "status_" + answer.status()
        : String.valueOf(((BufferedCall.Failed) reply).failure());
  }

  private void onListPage(Page<T> page, int ofSequence) {
    if (listing.isEmpty()) {
      // The following watch starts here, so it returns the changes made while pages are read.
      listingPosition = page.place();
    } else if (!listingPosition.isSameEra(page.place())) {
      list("", ofSequence);
      return;
    }
    page.items().forEach(item -> listing.put(item.name(), item));
    if (page.more()) {
      list(page.lastName(), ofSequence);
      return;
    }
    if (table.replace(listing, listingPosition)) {
      changeListener.run();
    } else if (tryLog()) {
      LOG.warn(
          "kind={} listed={} known={} outcome=list_not_taken", kind, listingPosition, position());
    }
    watch(ofSequence);
  }

  private void watch(int ofSequence) {
    watch(ofSequence, StoreCallMetrics.Reason.WAIT, timing.waitMillis().getAsInt());
  }

  private void watch(int ofSequence, StoreCallMetrics.Reason reason, int waitMillis) {
    StorePosition since = position();
    call(
        store.platform().watch(kind, since, waitMillis),
        since,
        reason,
        waitMillis + WAIT_SLACK_MILLIS,
        ofSequence,
        page -> onChanges(page, ofSequence));
  }

  private void onChanges(Page<T> page, int ofSequence) {
    table.applyChanges(page);
    if (!page.items().isEmpty()) {
      changeListener.run();
    }
    store
        .timers()
        .after(
            timing.pauseMillis().getAsInt(),
            () -> {
              if (ofSequence == sequence) {
                watch(ofSequence);
              }
            });
  }

  private @Nullable Page<T> parse(StoreEra era, byte[] body) {
    try {
      return reader.read(era, body);
    } catch (IOException | RuntimeException e) {
      LOG.error("kind={} outcome=unreadable_answer cause={}", kind, e.toString());
      schedule(MAX_BACKOFF_MILLIS, () -> list("", sequence));
      return null;
    }
  }
}
