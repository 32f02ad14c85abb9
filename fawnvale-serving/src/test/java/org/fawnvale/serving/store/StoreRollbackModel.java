package org.fawnvale.serving.store;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.fawnvale.serving.core.watch.EraFilter;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePosition;
import org.fawnvale.serving.spi.Page;
import org.jspecify.annotations.Nullable;

/**
 * A model of a store with one configuration and one node, a daemon that watches the store, and a
 * follower that takes updates from the watcher. The store can be rolled back, and answers and
 * updates can be delayed. The daemons use the production rules, optionally with injected faults.
 */
final class StoreRollbackModel {

  private static final String CONFIGURATION = "configuration";
  private static final String NODE = "node";
  private static final int MAX_VERSIONS = 3;
  private static final int MAX_ROLLBACKS = 2;
  private static final int CALLS_TO_CONVERGE = 6;
  private static final MergePolicy<Integer> HIGHEST_WINS =
      (version, other) -> other != null && version > other;

  /** The possible events; an event returns false when it can't happen in the current state. */
  enum Event {
    OPERATOR_WRITES_NEW_VERSION(
        model -> model.newestVersion < MAX_VERSIONS && model.write(++model.newestVersion)),
    OPERATOR_REWRITES_LOST_VERSION(
        model -> model.now().version() < model.newestVersion && model.write(model.newestVersion)),
    NODE_IS_REMOVED(model -> !model.nodeRemoved && model.removeNode()),
    STORE_LOSES_ONE_CHANGE(model -> model.rollBack(1)),
    STORE_LOSES_TWO_CHANGES(model -> model.rollBack(2)),
    STORE_SENDS_LIST(model -> model.list == null && model.mayList() && model.sendList()),
    LIST_ARRIVES(model -> model.list != null && model.listArrives()),
    STORE_SENDS_CHANGES(model -> model.changes == null && !model.mustList && model.sendChanges()),
    CHANGES_ARRIVE(model -> model.changes != null && model.changesArrive()),
    WATCHER_SENDS_UPDATE(model -> model.update == null && model.sendUpdate()),
    UPDATE_ARRIVES(model -> model.update != null && model.updateArrives()),
    WATCHER_MERGES_PEER_UPDATE(
        model -> model.watcher.position().isKnown() && model.watcherMergesPeerUpdate());

    private final Predicate<StoreRollbackModel> action;

    Event(Predicate<StoreRollbackModel> action) {
      this.action = action;
    }
  }

  /** Faults to inject, which the search must detect. */
  enum Fault {
    /** Positions are compared by their revisions alone. */
    ERAS_IGNORED,
    /** An answer of an earlier era is accepted. */
    LATE_ANSWER_ACCEPTED,
    /** The watch continues without a new list although the store has begun another era. */
    WATCH_CONTINUED,
    /** The configuration follows the store, even to a lower version. */
    CONFIGURATION_ROLLED_BACK,
    /** An update of an earlier era is merged as if it were of the current era. */
    OLD_UPDATE_MERGED,
    /** The watcher does not list again when the store rejects the requested position. */
    REJECTION_IGNORED,
    /** Changes since a position of an earlier era are applied to a copy of the current era. */
    REQUESTED_POSITION_IGNORED
  }

  /** The content of the store at a revision. */
  private record State(long revision, int version, boolean nodeListed) {}

  /**
   * An answer in transit.
   *
   * @param position the position of the store when it answered
   * @param requested the position since which changes were requested; none for a list
   * @param page null when the store does not have the requested position
   */
  private record Answer(
      StorePosition position, StorePosition requested, @Nullable Page<Integer> page) {}

  private final Set<Fault> faults;
  private final EraFilter rule = new EraFilter();
  private final ObjectTable<Integer> watcher;
  private final ObjectTable<Integer> follower;
  private final List<State> history = new ArrayList<>();
  private long era = 1;
  private int newestVersion = 1;
  private int rollbacks;
  private boolean nodeRemoved;
  private boolean mustList = true;
  private @Nullable Answer list;
  private @Nullable Answer changes;
  private @Nullable CopyUpdate<Integer> update;
  private int watcherVersion;
  private int followerVersion;
  private boolean versionDecreased;
  private boolean peersReport = true;

  StoreRollbackModel(Set<Fault> faults) {
    this.faults = faults.isEmpty() ? EnumSet.noneOf(Fault.class) : EnumSet.copyOf(faults);
    this.watcher = table();
    this.follower = table();
    history.add(new State(1, 1, true));
  }

  private ObjectTable<Integer> table() {
    boolean followsStore = faults.contains(Fault.CONFIGURATION_ROLLED_BACK);
    MergePolicy<Integer> mergePolicy = followsStore ? MergePolicy.byPosition() : HIGHEST_WINS;
    return new ObjectTable<>(NODE, ObjectTable.UnreadablePolicy.NAMES_NOTHING, mergePolicy);
  }

  private State now() {
    return history.get(history.size() - 1);
  }

  private StorePosition at(long revision) {
    return new StorePosition(new StoreEra(faults.contains(Fault.ERAS_IGNORED) ? 1 : era), revision);
  }

  /** Applies an event; returns false when the event is not possible. */
  boolean tryApply(Event event) {
    return event.action.test(this);
  }

  private boolean write(int version) {
    history.add(new State(now().revision() + 1, version, now().nodeListed()));
    return true;
  }

  private boolean removeNode() {
    nodeRemoved = true;
    history.add(new State(now().revision() + 1, now().version(), false));
    return true;
  }

  private boolean rollBack(int changesLost) {
    if (rollbacks == MAX_ROLLBACKS || history.size() <= changesLost) {
      return false;
    }
    rollbacks++;
    era++;
    for (int lost = 0; lost < changesLost; lost++) {
      history.remove(history.size() - 1);
    }
    return true;
  }

  /** A list is also possible when a peer has reported a later era while a watch call waits. */
  private boolean mayList() {
    return mustList || peersReport && era > watcher.position().era().number();
  }

  private boolean sendList() {
    Page<Integer> page = new Page<>(items(now()), false, "", at(now().revision()));
    list = new Answer(page.place(), StorePosition.NONE, page);
    return true;
  }

  private List<Page.Item<Integer>> items(State state) {
    List<Page.Item<Integer>> items = new ArrayList<>();
    items.add(new Page.Item<>(CONFIGURATION, at(state.revision()), false, state.version()));
    if (state.nodeListed()) {
      items.add(new Page.Item<>(NODE, at(1), false, 0));
    }
    return items;
  }

  private boolean listArrives() {
    Answer answer = list;
    list = null;
    if (answer == null || answer.page() == null || isDropped(answer)) {
      return true;
    }
    Map<String, Page.Item<Integer>> listed = new LinkedHashMap<>();
    answer.page().items().forEach(item -> listed.put(item.name(), item));
    watcher.replace(listed, answer.position());
    mustList = false;
    recordVersions();
    return true;
  }

  private boolean sendChanges() {
    StorePosition requested = watcher.position();
    boolean hasPosition = requested.revision() <= now().revision();
    Page<Integer> page = hasPosition ? changesSince(requested.revision()) : null;
    changes = new Answer(at(now().revision()), requested, page);
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
        if (before.nodeListed() && !state.nodeListed()) {
          items.add(new Page.Item<>(NODE, at(state.revision()), true, null));
        }
      }
      before = state;
    }
    return new Page<>(items, false, "", at(now().revision()));
  }

  private boolean changesArrive() {
    Answer answer = changes;
    changes = null;
    if (answer == null) {
      return true;
    }
    if (answer.page() == null) {
      mustList = !faults.contains(Fault.REJECTION_IGNORED);
    } else if (!isDropped(answer) && !mustList) {
      watcher.applyChanges(answer.page());
      recordVersions();
    }
    return true;
  }

  private boolean isDropped(Answer answer) {
    boolean isList = !answer.requested().isKnown();
    boolean ignoresRequested = !isList && faults.contains(Fault.REQUESTED_POSITION_IGNORED);
    StorePosition requested = ignoresRequested ? watcher.position() : answer.requested();
    EraFilter.Action verdict =
        rule.evaluate(answer.position().era(), watcher.position(), requested, 0);
    if (verdict == EraFilter.Action.RELIST && !faults.contains(Fault.WATCH_CONTINUED)) {
      mustList = true;
    }
    return verdict == EraFilter.Action.DISCARD && !faults.contains(Fault.LATE_ANSWER_ACCEPTED);
  }

  /** Another watching daemon has just listed the store, and sends its objects to the watcher. */
  private boolean watcherMergesPeerUpdate() {
    ObjectTable<Integer> other = table();
    Map<String, Page.Item<Integer>> listed = new LinkedHashMap<>();
    items(now()).forEach(item -> listed.put(item.name(), item));
    other.replace(listed, at(now().revision()));
    boolean merged = watcher.merge(other.updateSince(StorePosition.NONE));
    recordVersions();
    return merged;
  }

  private boolean sendUpdate() {
    if (!watcher.newest().isKnown()) {
      return false;
    }
    update = watcher.updateSince(follower.position());
    return true;
  }

  private boolean updateArrives() {
    CopyUpdate<Integer> arrived = update;
    update = null;
    if (arrived != null) {
      follower.merge(faults.contains(Fault.OLD_UPDATE_MERGED) ? asCurrentEra(arrived) : arrived);
      recordVersions();
    }
    return true;
  }

  private CopyUpdate<Integer> asCurrentEra(CopyUpdate<Integer> old) {
    StorePosition current =
        new StorePosition(follower.position().era(), old.place().revision() + 9);
    Map<String, StorePosition> positions = new LinkedHashMap<>();
    old.places().keySet().forEach(name -> positions.put(name, current));
    return new CopyUpdate<>(current, current, old.whole(), old.objects(), positions, old.removed());
  }

  private void recordVersions() {
    int watched = watcher.objects().getOrDefault(CONFIGURATION, 0);
    int copied = follower.objects().getOrDefault(CONFIGURATION, 0);
    versionDecreased |= watched < watcherVersion || copied < followerVersion;
    watcherVersion = Math.max(watcherVersion, watched);
    followerVersion = Math.max(followerVersion, copied);
  }

  /** Tells whether the configuration version of a daemon has decreased. */
  boolean hasVersionDecreased() {
    return versionDecreased;
  }

  /**
   * Completes further calls without rollbacks or reports of peers. Returns true when no version has
   * decreased and all copies match the store.
   */
  boolean converges() {
    peersReport = false;
    for (int call = 0; call < CALLS_TO_CONVERGE; call++) {
      tryApply(Event.STORE_SENDS_LIST);
      tryApply(Event.LIST_ARRIVES);
      tryApply(Event.STORE_SENDS_CHANGES);
      tryApply(Event.CHANGES_ARRIVE);
      tryApply(Event.UPDATE_ARRIVES);
      tryApply(Event.WATCHER_SENDS_UPDATE);
      tryApply(Event.UPDATE_ARRIVES);
    }
    return !versionDecreased
        && matchesStore(watcher, watcherVersion)
        && matchesStore(follower, followerVersion);
  }

  private boolean matchesStore(ObjectTable<Integer> table, int highest) {
    int expected = Math.max(highest, now().version());
    boolean node = table.objects().containsKey(NODE) == now().nodeListed();
    return node && table.objects().getOrDefault(CONFIGURATION, 0) == expected;
  }

  /** Identifies the state of the model. */
  String signature() {
    return String.join(
        "|",
        history.toString(),
        era + " " + newestVersion + " " + nodeRemoved + " " + mustList + " " + versionDecreased,
        watcher.position() + " " + watcher.newest() + " " + watcher.objects() + watcher.positions(),
        follower.position()
            + " "
            + follower.newest()
            + " "
            + follower.objects()
            + follower.positions(),
        String.valueOf(list),
        String.valueOf(changes),
        String.valueOf(update),
        watcherVersion + " " + followerVersion);
  }
}
