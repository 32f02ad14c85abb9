package org.fawnvale.serving.store;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.fawnvale.serving.core.watch.EraRule;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePlace;
import org.fawnvale.serving.spi.Page;
import org.jspecify.annotations.Nullable;

/**
 * A store with a configuration and a node, a daemon that watches it and one that takes copies from
 * the other. The store goes back; answers and copies come late. The daemons' rules are the real
 * ones, or the real ones with a flaw.
 */
final class StoreRollbackModel {

  private static final String CONFIGURATION = "configuration";
  private static final String NODE = "node";
  private static final int MOST_VERSIONS = 3;
  private static final int MOST_RETURNS = 2;
  private static final int CALLS_UNTIL_AT_REST = 6;
  private static final MergePolicy<Integer> HIGHER = (known, told) -> told != null && known > told;

  /** What may happen next, where it can. */
  enum Event {
    OPERATOR_WRITES(
        world -> world.newestVersion < MOST_VERSIONS && world.write(++world.newestVersion)),
    OPERATOR_WRITES_AGAIN(
        world -> world.now().version() < world.newestVersion && world.write(world.newestVersion)),
    NODE_GOES(world -> !world.nodeHasGone && world.nodeGoes()),
    STORE_GOES_BACK(world -> world.goBack(1)),
    STORE_GOES_FAR_BACK(world -> world.goBack(2)),
    STORE_LISTS(world -> world.list == null && world.mayList() && world.storeLists()),
    LIST_COMES(world -> world.list != null && world.listComes()),
    STORE_TELLS_CHANGES(
        world -> world.changes == null && !world.mustList && world.storeTellsChanges()),
    CHANGES_COME(world -> world.changes != null && world.changesCome()),
    WATCHER_GIVES_COPY(world -> world.copy == null && world.giveCopy()),
    COPY_COMES(world -> world.copy != null && world.copyComes()),
    WATCHER_TAKES_COPY(world -> world.watcher.position().isKnown() && world.watcherTakesCopy());

    private final Predicate<StoreRollbackModel> happens;

    Event(Predicate<StoreRollbackModel> happens) {
      this.happens = happens;
    }
  }

  /** A fault that is built in, to show that the search finds it. */
  enum Flaw {
    /** Places are compared by their revisions alone. */
    ERAS_IGNORED,
    /** An answer of an earlier history is taken in. */
    LATE_ANSWER_TAKEN,
    /** Changes are taken in though the store has begun another history since their place. */
    WATCH_CONTINUED,
    /** The configuration is what the store shows. */
    CONFIGURATION_GOES_BACK,
    /** A copy of an earlier history passes for one of the present. */
    OLD_COPY_MERGED,
    /** A store that does not have the place asked for is asked for it again. */
    REFUSAL_IGNORED,
    /** Changes since a place of an earlier history are taken in by a copy of the present one. */
    ASKED_PLACE_IGNORED
  }

  /** The store at a revision. */
  private record State(long revision, int version, boolean nodeIsThere) {}

  /**
   * An answer on its way.
   *
   * @param at where the store was
   * @param asked the place since which changes were asked for; none for a list
   * @param page null when the store does not have that place
   */
  private record Answer(StorePlace at, StorePlace asked, @Nullable Page<Integer> page) {}

  private final Set<Flaw> flaws;
  private final EraRule rule = new EraRule();
  private final ObjectTable<Integer> watcher;
  private final ObjectTable<Integer> follower;
  private final List<State> history = new ArrayList<>();
  private long era = 1;
  private int newestVersion = 1;
  private int returns;
  private boolean nodeHasGone;
  private boolean mustList = true;
  private @Nullable Answer list;
  private @Nullable Answer changes;
  private @Nullable CopyUpdate<Integer> copy;
  private int watcherVersion;
  private int followerVersion;
  private boolean wentBack;
  private boolean peersTell = true;

  StoreRollbackModel(Set<Flaw> flaws) {
    this.flaws = flaws.isEmpty() ? EnumSet.noneOf(Flaw.class) : EnumSet.copyOf(flaws);
    this.watcher = table();
    this.follower = table();
    history.add(new State(1, 1, true));
  }

  private ObjectTable<Integer> table() {
    boolean keepsNone = flaws.contains(Flaw.CONFIGURATION_GOES_BACK);
    MergePolicy<Integer> succession = keepsNone ? MergePolicy.byPosition() : HIGHER;
    return new ObjectTable<>(NODE, ObjectTable.UnreadablePolicy.NAMES_NOTHING, succession);
  }

  private State now() {
    return history.get(history.size() - 1);
  }

  private StorePlace at(long revision) {
    return new StorePlace(new StoreEra(flaws.contains(Flaw.ERAS_IGNORED) ? 1 : era), revision);
  }

  /** Lets something happen; false when it can't. */
  boolean happens(Event event) {
    return event.happens.test(this);
  }

  private boolean write(int version) {
    history.add(new State(now().revision() + 1, version, now().nodeIsThere()));
    return true;
  }

  private boolean nodeGoes() {
    nodeHasGone = true;
    history.add(new State(now().revision() + 1, now().version(), false));
    return true;
  }

  private boolean goBack(int changesLost) {
    if (returns == MOST_RETURNS || history.size() <= changesLost) {
      return false;
    }
    returns++;
    era++;
    for (int lost = 0; lost < changesLost; lost++) {
      history.remove(history.size() - 1);
    }
    return true;
  }

  /** A peer may have told that the store has begun a later history, while a call still waits. */
  private boolean mayList() {
    return mustList || peersTell && era > watcher.position().era().number();
  }

  private boolean storeLists() {
    Page<Integer> page = new Page<>(items(now()), false, "", at(now().revision()));
    list = new Answer(page.place(), StorePlace.NONE, page);
    return true;
  }

  private List<Page.Item<Integer>> items(State state) {
    List<Page.Item<Integer>> items = new ArrayList<>();
    items.add(new Page.Item<>(CONFIGURATION, at(state.revision()), false, state.version()));
    if (state.nodeIsThere()) {
      items.add(new Page.Item<>(NODE, at(1), false, 0));
    }
    return items;
  }

  private boolean listComes() {
    Answer answer = list;
    list = null;
    if (answer == null || answer.page() == null || isDropped(answer)) {
      return true;
    }
    Map<String, Page.Item<Integer>> listed = new LinkedHashMap<>();
    answer.page().items().forEach(item -> listed.put(item.name(), item));
    watcher.replace(listed, answer.at());
    mustList = false;
    look();
    return true;
  }

  private boolean storeTellsChanges() {
    StorePlace asked = watcher.position();
    boolean hasIt = asked.revision() <= now().revision();
    Page<Integer> page = hasIt ? changesSince(asked.revision()) : null;
    changes = new Answer(at(now().revision()), asked, page);
    return true;
  }

  private Page<Integer> changesSince(long since) {
    List<Page.Item<Integer>> items = new ArrayList<>();
    State before = null;
    for (State state : history) {
      if (before != null && state.revision() > since) {
        if (state.version() != before.version()) {
          items.add(new Page.Item<>(CONFIGURATION, at(state.revision()), false, state.version()));
        }
        if (before.nodeIsThere() && !state.nodeIsThere()) {
          items.add(new Page.Item<>(NODE, at(state.revision()), true, null));
        }
      }
      before = state;
    }
    return new Page<>(items, false, "", at(now().revision()));
  }

  private boolean changesCome() {
    Answer answer = changes;
    changes = null;
    if (answer == null) {
      return true;
    }
    if (answer.page() == null) {
      mustList = !flaws.contains(Flaw.REFUSAL_IGNORED);
    } else if (!isDropped(answer) && !mustList) {
      watcher.applyChanges(answer.page());
      look();
    }
    return true;
  }

  private boolean isDropped(Answer answer) {
    boolean isList = !answer.asked().isKnown();
    boolean ignoresAsked = !isList && flaws.contains(Flaw.ASKED_PLACE_IGNORED);
    StorePlace asked = ignoresAsked ? watcher.position() : answer.asked();
    EraRule.Verdict verdict = rule.judge(answer.at().era(), watcher.position(), asked, 0);
    if (verdict == EraRule.Verdict.LIST_ANEW && !flaws.contains(Flaw.WATCH_CONTINUED)) {
      mustList = true;
    }
    return verdict == EraRule.Verdict.DROP && !flaws.contains(Flaw.LATE_ANSWER_TAKEN);
  }

  /** Another daemon that watches has just listed, and tells. */
  private boolean watcherTakesCopy() {
    ObjectTable<Integer> other = table();
    Map<String, Page.Item<Integer>> listed = new LinkedHashMap<>();
    items(now()).forEach(item -> listed.put(item.name(), item));
    other.replace(listed, at(now().revision()));
    boolean taken = watcher.merge(other.updateSince(StorePlace.NONE));
    look();
    return taken;
  }

  private boolean giveCopy() {
    if (!watcher.newest().isKnown()) {
      return false;
    }
    copy = watcher.updateSince(follower.position());
    return true;
  }

  private boolean copyComes() {
    CopyUpdate<Integer> told = copy;
    copy = null;
    if (told != null) {
      follower.merge(flaws.contains(Flaw.OLD_COPY_MERGED) ? asPresent(told) : told);
      look();
    }
    return true;
  }

  private CopyUpdate<Integer> asPresent(CopyUpdate<Integer> told) {
    StorePlace present = new StorePlace(follower.position().era(), told.place().revision() + 9);
    Map<String, StorePlace> places = new LinkedHashMap<>();
    told.places().keySet().forEach(name -> places.put(name, present));
    return new CopyUpdate<>(present, present, told.whole(), told.objects(), places, told.removed());
  }

  private void look() {
    int watched = watcher.objects().getOrDefault(CONFIGURATION, 0);
    int copied = follower.objects().getOrDefault(CONFIGURATION, 0);
    wentBack |= watched < watcherVersion || copied < followerVersion;
    watcherVersion = Math.max(watcherVersion, watched);
    followerVersion = Math.max(followerVersion, copied);
  }

  /** Tells whether a daemon has gone back to a lower version. */
  boolean hasGoneBack() {
    return wentBack;
  }

  /**
   * Lets all calls be answered without trouble or a word of peers, and compares all with the store.
   */
  boolean endsRight() {
    peersTell = false;
    for (int call = 0; call < CALLS_UNTIL_AT_REST; call++) {
      happens(Event.STORE_LISTS);
      happens(Event.LIST_COMES);
      happens(Event.STORE_TELLS_CHANGES);
      happens(Event.CHANGES_COME);
      happens(Event.COPY_COMES);
      happens(Event.WATCHER_GIVES_COPY);
      happens(Event.COPY_COMES);
    }
    return !wentBack && isRight(watcher, watcherVersion) && isRight(follower, followerVersion);
  }

  private boolean isRight(ObjectTable<Integer> table, int highest) {
    int expected = Math.max(highest, now().version());
    boolean node = table.objects().containsKey(NODE) == now().nodeIsThere();
    return node && table.objects().getOrDefault(CONFIGURATION, 0) == expected;
  }

  /** All that tells this world from another. */
  String signature() {
    return String.join(
        "|",
        history.toString(),
        era + " " + newestVersion + " " + nodeHasGone + " " + mustList + " " + wentBack,
        watcher.position() + " " + watcher.newest() + " " + watcher.objects() + watcher.positions(),
        follower.position()
            + " "
            + follower.newest()
            + " "
            + follower.objects()
            + follower.positions(),
        String.valueOf(list),
        String.valueOf(changes),
        String.valueOf(copy),
        watcherVersion + " " + followerVersion);
  }
}
