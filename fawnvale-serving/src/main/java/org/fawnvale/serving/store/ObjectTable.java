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
 * The objects of one kind as far as this daemon knows them, with what it takes to tell another
 * daemon only the changes. Nothing here goes back within one history of the store. When the store
 * begins another history, its list takes the place of all that was known: revisions are given out
 * again, so what was known can't be compared with what is listed.
 *
 * @param <T> the type of the objects
 */
final class ObjectTable<T> {

  private static final Logger LOG = LogManager.getLogger("store");
  private static final int MOST_REMOVALS = 1_024;

  /** What an object that can't be read any more stands for. */
  enum Unreadable {
    /** The last good one stays in force: a configuration. */
    KEEPS_LAST,
    /** It names nothing to use, from that moment on: a node. */
    NAMES_NOTHING
  }

  private final String kind;
  private final Unreadable unreadable;
  private final MergePolicy<T> succession;
  private final Map<String, T> objects = new LinkedHashMap<>();
  private final Map<String, StorePosition> places = new LinkedHashMap<>();
  private final Map<String, StorePosition> removals = new LinkedHashMap<>();
  private Consumer<EraChange<T>> eraListener = change -> {};

  /** Removals after this place are known; no list has come before it does. */
  private StorePosition removalsKnownSince = StorePosition.NONE;

  private StorePosition place = StorePosition.NONE;
  private StorePosition newest = StorePosition.NONE;
  private long changes;

  ObjectTable(String kind, Unreadable unreadable, MergePolicy<T> succession) {
    this.kind = kind;
    this.unreadable = unreadable;
    this.succession = succession;
  }

  /** Names who is told, after the change, that the copy shows another history of the store. */
  void onEraChange(Consumer<EraChange<T>> listener) {
    eraListener = listener;
  }

  Map<String, T> objects() {
    return objects;
  }

  /** The place of the last change of each object, by name. */
  Map<String, StorePosition> places() {
    return places;
  }

  /** The place in the store's history that the table shows. */
  StorePosition place() {
    return place;
  }

  /** Counts all that may change what other daemons are given. */
  long changes() {
    return changes;
  }

  /** The place of the newest change in the table. */
  StorePosition newest() {
    return newest;
  }

  /**
   * Puts a whole list in the place of what was known.
   *
   * @param items the objects by name
   * @param listed the store's place when the list began
   * @return false when the table already shows a later place of the same history
   */
  boolean replace(Map<String, Page.Item<T>> items, StorePosition listed) {
    changes++;
    if (place.isSameEra(listed) && place.isAfter(listed)) {
      return false;
    }
    inEraOf(
        listed,
        () -> {
          retain(items.keySet(), listed);
          items.values().forEach(this::apply);
          place = listed;
        });
    return true;
  }

  /** Makes a change that may begin another history for this table. */
  private void inEraOf(StorePosition told, Runnable change) {
    boolean begins = place.isKnown() && !place.isSameEra(told);
    if (!begins) {
      change.run();
      return;
    }
    EraChange<T> era =
        new EraChange<>(place, told, Map.copyOf(objects), Set.copyOf(removals.keySet()));
    removals.clear();
    removalsKnownSince = StorePosition.NONE;
    newest = StorePosition.NONE;
    change.run();
    eraListener.accept(era);
  }

  /**
   * Takes changes of the table's own history in.
   *
   * @param page the changes, oldest first
   */
  void change(Page<T> page) {
    changes++;
    for (Page.Item<T> item : page.items()) {
      if (item.deleted()) {
        remove(item.name(), page.place());
      } else {
        apply(item);
      }
    }
    place = place.orLater(page.place());
  }

  /**
   * Takes what another daemon knows.
   *
   * @param copy the other one's objects or changes
   * @return false when it tells nothing new
   */
  boolean merge(CopyUpdate<T> copy) {
    changes++;
    boolean isOlder = place.isAfter(copy.place());
    boolean changesOtherEra = !copy.whole() && !place.isSameEra(copy.place());
    if (isOlder || changesOtherEra || !copy.newest().isAfter(newest)) {
      return takePreferred(copy);
    }
    inEraOf(
        copy.place(),
        () -> {
          if (copy.whole()) {
            retain(copy.objects().keySet(), copy.place());
          }
          copy.removed().forEach(name -> remove(name, copy.place()));
          copy.objects()
              .forEach((name, value) -> put(name, copy.places().getOrDefault(name, place), value));
          place = copy.place();
          newest = copy.newest();
        });
    return true;
  }

  /** What goes before what is known here is taken whatever the store shows by now. */
  private boolean takePreferred(CopyUpdate<T> copy) {
    boolean taken = false;
    for (Map.Entry<String, T> told : copy.objects().entrySet()) {
      T known = objects.get(told.getKey());
      if (succession.keeps(told.getValue(), known)) {
        objects.put(told.getKey(), told.getValue());
        taken = true;
      }
    }
    return taken;
  }

  /**
   * Makes a copy for another daemon.
   *
   * @param since the place that the other one's copy shows
   * @return what has changed since, or all when that is not known
   */
  CopyUpdate<T> copySince(StorePosition since) {
    boolean removalsKnown =
        since.isSameEra(removalsKnownSince) && !removalsKnownSince.isAfter(since);
    if (!removalsKnown) {
      return new CopyUpdate<>(
          place, newest, true, new LinkedHashMap<>(objects), Map.copyOf(places), List.of());
    }
    Map<String, T> changed = new LinkedHashMap<>();
    Map<String, StorePosition> changedAt = new LinkedHashMap<>();
    places.forEach(
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
    return new CopyUpdate<>(place, newest, false, changed, changedAt, removed);
  }

  private void retain(Set<String> names, StorePosition at) {
    for (Map.Entry<String, T> known : List.copyOf(objects.entrySet())) {
      if (!names.contains(known.getKey()) && !succession.keeps(known.getValue(), null)) {
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
    places.remove(name);
    removals.remove(name);
    removals.put(name, at);
    if (removals.size() > MOST_REMOVALS) {
      String oldest = removals.keySet().iterator().next();
      removalsKnownSince = removals.remove(oldest);
    }
  }

  private void apply(Page.Item<T> item) {
    newest = newest.orLater(item.place());
    T value = item.value();
    if (value == null) {
      LOG.error(
          "kind={} name={} place={} outcome=unreadable holds={}",
          kind,
          item.name(),
          item.place(),
          unreadable);
      if (unreadable == Unreadable.NAMES_NOTHING) {
        remove(item.name(), item.place());
      }
    } else {
      put(item.name(), item.place(), value);
    }
  }

  private void put(String name, StorePosition at, T value) {
    StorePosition known = places.getOrDefault(name, StorePosition.NONE);
    if (known.isSameEra(at) && known.isAfter(at)) {
      return;
    }
    T before = objects.get(name);
    boolean keeps = before != null && succession.keeps(before, value);
    objects.put(name, keeps ? before : value);
    places.put(name, at);
    removals.remove(name);
  }
}
