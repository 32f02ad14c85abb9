package org.fawnvale.serving.store;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.watch.StorePosition;
import org.fawnvale.serving.spi.Page;

/**
 * This daemon's copy of the store's objects of one kind, with the change and removal positions that
 * are needed to send peers only the changes. Within one era the copy never moves to an earlier
 * position. When the store begins another era, its list replaces the copy, except for objects that
 * the merge policy prefers: the store assigns the same revisions again, so positions of two eras
 * can't be compared by revision.
 *
 * @param <T> the type of the objects
 */
final class ObjectTable<T> {

  private static final Logger LOG = LogManager.getLogger("store");
  private static final int MAX_REMOVALS = 1_024;

  /** How the table treats an object whose new content can't be read; logged by name. */
  enum UnreadablePolicy {
    /** Keeps the last readable version; used for configurations and evacuations. */
    KEEPS_LAST,
    /** Removes the object; used for nodes. */
    NAMES_NOTHING
  }

  private final String kind;
  private final UnreadablePolicy unreadable;
  private final MergePolicy<T> mergePolicy;
  private final Map<String, T> objects = new LinkedHashMap<>();
  private final Map<String, StorePosition> positions = new LinkedHashMap<>();
  private final Map<String, StorePosition> removals = new LinkedHashMap<>();
  private Consumer<EraChange<T>> eraListener = change -> {};

  /** The table knows all removals after this position; {@code NONE} before the first list. */
  private StorePosition removalsKnownSince = StorePosition.NONE;

  private StorePosition position = StorePosition.NONE;
  private StorePosition newest = StorePosition.NONE;
  private long changeCount;

  ObjectTable(String kind, UnreadablePolicy unreadable, MergePolicy<T> mergePolicy) {
    this.kind = kind;
    this.unreadable = unreadable;
    this.mergePolicy = mergePolicy;
  }

  /** Sets the listener that is notified after the table has moved to another era. */
  void onEraChange(Consumer<EraChange<T>> listener) {
    eraListener = listener;
  }

  Map<String, T> objects() {
    return objects;
  }

  /** The position of the last change of each object, by name. */
  Map<String, StorePosition> positions() {
    return positions;
  }

  /** The position in the store's history up to which the table is current. */
  StorePosition position() {
    return position;
  }

  /** The number of operations so far that may have changed the updates sent to peers. */
  long changeCount() {
    return changeCount;
  }

  /** The position of the newest change in the table. */
  StorePosition newest() {
    return newest;
  }

  /**
   * Replaces the content of the table with a complete list.
   *
   * @param items the objects by name
   * @param listed the position of the store when the list began
   * @return false when the table already has a later position in the same era
   */
  boolean replace(Map<String, Page.Item<T>> items, StorePosition listed) {
    changeCount++;
    if (position.isSameEra(listed) && position.isAfter(listed)) {
      return false;
    }
    inEraOf(
        listed,
        () -> {
          retain(items.keySet(), listed);
          items.values().forEach(this::apply);
          position = listed;
        });
    return true;
  }

  /**
   * Runs a change. If it begins another era, the removal history is reset before the change and the
   * era listener is notified after it.
   */
  private void inEraOf(StorePosition target, Runnable change) {
    boolean beginsEra = position.isKnown() && !position.isSameEra(target);
    if (!beginsEra) {
      change.run();
      return;
    }
    EraChange<T> eraChange =
        new EraChange<>(position, target, Map.copyOf(objects), Set.copyOf(removals.keySet()));
    removals.clear();
    removalsKnownSince = StorePosition.NONE;
    newest = StorePosition.NONE;
    change.run();
    eraListener.accept(eraChange);
  }

  /**
   * Applies changes of the table's own era.
   *
   * @param page the changes, oldest first
   */
  void applyChanges(Page<T> page) {
    changeCount++;
    for (Page.Item<T> item : page.items()) {
      if (item.deleted()) {
        remove(item.name(), page.place());
      } else {
        apply(item);
      }
    }
    position = position.orLater(page.place());
  }

  /**
   * Merges objects or changes from another daemon's copy.
   *
   * @param update the other daemon's objects or changes
   * @return false when the update contains nothing newer
   */
  boolean merge(CopyUpdate<T> update) {
    changeCount++;
    boolean isOlder = position.isAfter(update.place());
    boolean changesOtherEra = !update.whole() && !position.isSameEra(update.place());
    if (isOlder || changesOtherEra || !update.newest().isAfter(newest)) {
      return mergePreferred(update);
    }
    inEraOf(
        update.place(),
        () -> {
          if (update.whole()) {
            retain(update.objects().keySet(), update.place());
          }
          update.removed().forEach(name -> remove(name, update.place()));
          update
              .objects()
              .forEach(
                  (name, value) -> put(name, update.places().getOrDefault(name, position), value));
          position = update.place();
          newest = update.newest();
        });
    return true;
  }

  /** Takes the objects that the merge policy prefers to the known ones, whatever their position. */
  private boolean mergePreferred(CopyUpdate<T> update) {
    boolean changed = false;
    for (Map.Entry<String, T> offered : update.objects().entrySet()) {
      T known = objects.get(offered.getKey());
      if (mergePolicy.prefers(offered.getValue(), known)) {
        objects.put(offered.getKey(), offered.getValue());
        changed = true;
      }
    }
    return changed;
  }

  /**
   * Creates an update for another daemon.
   *
   * @param since the position of the other daemon's copy
   * @return the changes since that position, or all objects when the removals since it are unknown
   */
  CopyUpdate<T> updateSince(StorePosition since) {
    boolean removalsKnown =
        since.isSameEra(removalsKnownSince) && !removalsKnownSince.isAfter(since);
    if (!removalsKnown) {
      return new CopyUpdate<>(
          position, newest, true, new LinkedHashMap<>(objects), Map.copyOf(positions), List.of());
    }
    Map<String, T> changed = new LinkedHashMap<>();
    Map<String, StorePosition> changedAt = new LinkedHashMap<>();
    positions.forEach(
        (name, at) -> {
          if (at.isAfter(since)) {
            changed.put(name, objects.get(name));
            changedAt.put(name, at);
          }
        });
    List<String> removed = new ArrayList<>();
    removals.forEach(
        (name, at) -> {
          if (at.isAfter(since)) {
            removed.add(name);
          }
        });
    return new CopyUpdate<>(position, newest, false, changed, changedAt, removed);
  }

  private void retain(Set<String> names, StorePosition at) {
    for (Map.Entry<String, T> known : List.copyOf(objects.entrySet())) {
      if (!names.contains(known.getKey()) && !mergePolicy.prefers(known.getValue(), null)) {
        remove(known.getKey(), at);
      }
    }
    if (!removalsKnownSince.isKnown()) {
      removalsKnownSince = at;
    }
  }

  private void remove(String name, StorePosition at) {
    newest = newest.orLater(at);
    objects.remove(name);
    positions.remove(name);
    removals.remove(name);
    removals.put(name, at);
    if (removals.size() > MAX_REMOVALS) {
      String oldest = removals.keySet().iterator().next();
      removalsKnownSince = removals.remove(oldest);
    }
  }

  private void apply(Page.Item<T> item) {
    newest = newest.orLater(item.place());
    if (item.name().isEmpty()) {
      LOG.error("kind={} place={} outcome=unreadable_name", kind, item.place());
      return;
    }
    T value = item.value();
    if (value == null) {
      LOG.error(
          "kind={} name={} place={} outcome=unreadable holds={}",
          kind,
          item.name(),
          item.place(),
          unreadable);
      if (unreadable == UnreadablePolicy.NAMES_NOTHING) {
        remove(item.name(), item.place());
      }
    } else {
      put(item.name(), item.place(), value);
    }
  }

  private void put(String name, StorePosition at, T value) {
    StorePosition known = positions.getOrDefault(name, StorePosition.NONE);
    if (known.isSameEra(at) && known.isAfter(at)) {
      return;
    }
    T before = objects.get(name);
    boolean keepsBefore = before != null && mergePolicy.prefers(before, value);
    objects.put(name, keepsBefore ? before : value);
    positions.put(name, at);
    removals.remove(name);
  }
}
