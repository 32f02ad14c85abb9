package org.fawnvale.serving.store;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.http.HttpClient;
import org.fawnvale.serving.http.Timers;
import org.fawnvale.serving.http.WholeCall;
import org.fawnvale.serving.spi.Call;
import org.fawnvale.serving.spi.Page;
import org.fawnvale.serving.spi.Platform;
import org.jspecify.annotations.Nullable;

/**
 * Keeps a copy of the objects of one kind: lists them, then waits for changes, and lists again when
 * the store has forgotten its history.
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
  private final StoreFigures figures;
  private final Runnable changed;
  private final ObjectTable<T> table;
  private Map<String, Page.Item<T>> listing = new LinkedHashMap<>();
  private long listingRevision;
  private boolean active = true;
  private boolean reachable = true;
  private long failedAtNanos = Long.MIN_VALUE / 2;
  private long answeredAtNanos = Long.MIN_VALUE / 2;
  private int pauseMillis = FIRST_PAUSE_MILLIS;
  private int round;
  private long toldOfAtNanos = Long.MIN_VALUE / 2;
  private StoreEra lastEra = StoreEra.UNTOLD;

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
     * Reads a body.
     *
     * @param body the body
     * @return the page
     * @throws IOException when it can't be read
     */
    Page<T> read(byte[] body) throws IOException;
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
      StoreFigures figures,
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
    this.table = new ObjectTable<>(kind.name(), unreadable(kind));
  }

  private static ObjectTable.Unreadable unreadable(Platform.Kind kind) {
    return kind == Platform.Kind.CONFIGURATION
        ? ObjectTable.Unreadable.KEEPS_LAST
        : ObjectTable.Unreadable.NAMES_NOTHING;
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
    LOG.info("kind={} revision={} outcome={}", kind, revision(), wanted ? "watches" : "rests");
    if (wanted && revision() >= 0) {
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
   * The newest revision of any object in the copy; unlike the store's own it does not rise with
   * other kinds.
   *
   * @return the revision; negative before the first list
   */
  public long knownRevision() {
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
   * The store's revision that the copy shows.
   *
   * @return the revision; negative before the first list
   */
  public long revision() {
    return table.revision();
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
    if (active && reachable && revision() >= 0) {
      watch(++round, StoreFigures.Reason.RETRY, PROBE_WAIT_MILLIS);
    }
  }

  /**
   * Takes what a peer knows, if it is newer.
   *
   * @param copy the peer's objects or changes
   */
  void adopt(Copy<T> copy) {
    if (table.merge(copy)) {
      LOG.debug(
          "kind={} revision={} newest={} whole={} outcome=taken_from_peer",
          kind,
          copy.revision(),
          copy.newest(),
          copy.whole());
      changed.run();
    }
  }

  /** What has changed in this daemon's copy since a revision. */
  Copy<T> copySince(long since) {
    return table.copySince(since);
  }

  private void list(String afterName, int ofRound) {
    if (afterName.isEmpty()) {
      listing = new LinkedHashMap<>();
    }
    boolean mayBeOld = firstMayBeOld && revision() < 0;
    call(
        platform.list(kind, afterName, mayBeOld),
        StoreFigures.Reason.LIST,
        LIST_MILLIS,
        ofRound,
        reply -> listed(reply, ofRound));
  }

  private void call(
      Call call,
      StoreFigures.Reason reason,
      int timeoutMillis,
      int ofRound,
      Consumer<byte[]> good) {
    WholeCall.send(
        client,
        timers,
        store,
        call,
        timeoutMillis,
        reply -> {
          if (ofRound == round) {
            answered(reply, reason, good);
          }
        });
  }

  private void answered(WholeCall.Reply reply, StoreFigures.Reason reason, Consumer<byte[]> good) {
    if (reply instanceof WholeCall.Answered answer && answer.status() == OK) {
      noteEra(answer);
      if (!reachable) {
        LOG.info("kind={} outcome=store_regained revision={}", kind, revision());
      }
      reachable = true;
      answeredAtNanos = System.nanoTime();
      pauseMillis = FIRST_PAUSE_MILLIS;
      long before = knownRevision();
      good.accept(answer.body());
      boolean news = reason == StoreFigures.Reason.LIST || knownRevision() > before;
      count(reason, news ? StoreFigures.Outcome.NEWS : StoreFigures.Outcome.NOTHING);
      return;
    }
    count(reason, StoreFigures.Outcome.FAILED);
    boolean forgotten = reply instanceof WholeCall.Answered answer && answer.status() == GONE;
    if (forgotten) {
      tellForgotten((WholeCall.Answered) reply);
    }
    failedAtNanos = forgotten ? failedAtNanos : System.nanoTime();
    if (!forgotten && reachable) {
      reachable = false;
      LOG.warn(
          "kind={} outcome=store_lost reply={} revision={}", kind, describe(reply), revision());
    }
    int pause = forgotten ? 0 : pauseMillis;
    pauseMillis = Math.min(LONGEST_PAUSE_MILLIS, pauseMillis * 2);
    int ofRound = ++round;
    timers.after(
        pause,
        () -> {
          if (ofRound == round) {
            goOn(forgotten, ofRound);
          }
        });
  }

  /**
   * After a failed call the copy still shows its revision, so what has changed since is asked for
   * instead of all: a list of 1,100 nodes is 22 calls and 330 KB, and was listed by each watcher
   * after each outage.
   */
  private void goOn(boolean forgotten, int ofRound) {
    if (forgotten || revision() < 0) {
      list("", ofRound);
    } else {
      watch(ofRound, StoreFigures.Reason.RETRY, PROBE_WAIT_MILLIS);
    }
  }

  private void tellForgotten(WholeCall.Answered answer) {
    if (isToldAgain()) {
      LOG.warn(
          "kind={} revision={} era={} outcome=history_forgotten",
          kind,
          revision(),
          platform.era(answer.head()));
    }
  }

  /** Tells whether lines on what repeats with each call are due. */
  private boolean isToldAgain() {
    long now = System.nanoTime();
    boolean due = now - toldOfAtNanos > TELL_AGAIN_NANOS;
    toldOfAtNanos = due ? now : toldOfAtNanos;
    return due;
  }

  private void noteEra(WholeCall.Answered answer) {
    StoreEra told = platform.era(answer.head());
    if (!told.equals(lastEra)) {
      LOG.info("kind={} era={} before={} revision={}", kind, told, lastEra, revision());
      lastEra = told;
    }
  }

  private void count(StoreFigures.Reason reason, StoreFigures.Outcome outcome) {
    figures.count(kind, reason, outcome);
  }

  private static String describe(WholeCall.Reply reply) {
    return reply instanceof WholeCall.Answered answer
        ? "status_" + answer.status()
        : String.valueOf(((WholeCall.Missing) reply).failure());
  }

  private void listed(byte[] body, int ofRound) {
    Page<T> page = read(body);
    if (page == null) {
      return;
    }
    if (listing.isEmpty()) {
      // What changes while the pages are read comes with the watch that follows.
      listingRevision = page.revision();
    }
    page.items().forEach(item -> listing.put(item.name(), item));
    if (page.more()) {
      list(page.lastName(), ofRound);
      return;
    }
    if (table.replace(listing, listingRevision)) {
      changed.run();
    } else if (isToldAgain()) {
      LOG.warn(
          "kind={} listed={} known={} era={} outcome=list_not_taken",
          kind,
          listingRevision,
          revision(),
          lastEra);
    }
    watch(ofRound);
  }

  private void watch(int ofRound) {
    watch(ofRound, StoreFigures.Reason.WAIT, pace.waitMillis().getAsInt());
  }

  private void watch(int ofRound, StoreFigures.Reason reason, int waitMillis) {
    call(
        platform.watch(kind, revision(), waitMillis),
        reason,
        waitMillis + WAIT_SLACK_MILLIS,
        ofRound,
        body -> watched(body, ofRound));
  }

  private void watched(byte[] body, int ofRound) {
    Page<T> page = read(body);
    if (page == null) {
      return;
    }
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

  private @Nullable Page<T> read(byte[] body) {
    try {
      return reader.read(body);
    } catch (IOException | RuntimeException e) {
      LOG.error("kind={} outcome=unreadable_answer cause={}", kind, e.toString());
      int ofRound = ++round;
      timers.after(LONGEST_PAUSE_MILLIS, () -> list("", ofRound));
      return null;
    }
  }
}
