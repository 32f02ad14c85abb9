package org.fawnvale.serving.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePlace;
import org.fawnvale.serving.spi.Page;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * What daemons tell each other of the store's objects is complete and never goes back, but with the
 * store itself.
 */
class ObjectTableTest {

  private static final int STEPS = 400;
  private static final int NAMES = 20;

  private final Map<String, String> store = new LinkedHashMap<>();
  private final Map<String, Long> storeRevisions = new LinkedHashMap<>();
  private final ObjectTable<String> watcher = table();
  private final ObjectTable<String> follower = table();
  private final ObjectTable<String> secondHand = table();
  private long revision;
  private long era = 1;

  private static ObjectTable<String> table() {
    return new ObjectTable<>(
        "nodes", ObjectTable.UnreadablePolicy.NAMES_NOTHING, MergePolicy.byPosition());
  }

  private StorePlace at(long ofRevision) {
    return new StorePlace(new StoreEra(era), ofRevision);
  }

  private Page.Item<String> changeOne(Random random) {
    String name = "n" + random.nextInt(NAMES);
    revision++;
    if (store.containsKey(name) && random.nextInt(3) == 0) {
      store.remove(name);
      long lastChange = storeRevisions.remove(name);
      return new Page.Item<>(name, at(lastChange), true, null);
    }
    store.put(name, "at " + revision);
    storeRevisions.put(name, revision);
    return new Page.Item<>(name, at(revision), false, "at " + revision);
  }

  private void watch(Random random) {
    List<Page.Item<String>> items = new ArrayList<>();
    for (int count = random.nextInt(4); count > 0; count--) {
      items.add(changeOne(random));
    }
    watcher.applyChanges(new Page<>(items, false, "", at(revision)));
  }

  private void list(Random random) {
    changeOne(random);
    Map<String, Page.Item<String>> items = new LinkedHashMap<>();
    store.forEach(
        (name, value) ->
            items.put(name, new Page.Item<>(name, at(storeRevisions.get(name)), false, value)));
    watcher.replace(items, at(revision));
  }

  private static void tell(ObjectTable<String> from, ObjectTable<String> to) {
    if (from.newest().isAfter(to.newest())) {
      to.merge(from.updateSince(to.position()));
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void changesToldFromDaemonToDaemonGiveTheStoresObjects(long seed) {
    Random random = new Random(seed);
    list(random);
    for (int step = 0; step < STEPS; step++) {
      if (random.nextInt(10) == 0) {
        list(random);
      } else {
        watch(random);
      }
      if (random.nextInt(3) == 0) {
        tell(watcher, follower);
        assertThat(follower.objects()).isEqualTo(store);
      }
      if (random.nextInt(3) == 0) {
        tell(follower, secondHand);
        assertThat(secondHand.objects()).isEqualTo(follower.objects());
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13})
  void anOlderCopyChangesNothing(long seed) {
    Random random = new Random(seed);
    list(random);
    CopyUpdate<String> old = watcher.updateSince(StorePlace.NONE);
    watch(random);
    list(random);
    tell(watcher, follower);
    assertThat(follower.merge(old)).isFalse();
    assertThat(follower.objects()).isEqualTo(store);
  }

  @Test
  void aNodeThatCannotBeReadAnyMoreNamesNothingHereAndAtPeers() {
    watcher.applyChanges(page(new Page.Item<>("n1", at(1), false, "good"), 1));
    tell(watcher, follower);
    watcher.applyChanges(page(new Page.Item<>("n1", at(2), false, null), 2));
    tell(watcher, follower);
    assertThat(watcher.objects()).isEmpty();
    assertThat(follower.objects()).isEmpty();
    watcher.applyChanges(page(new Page.Item<>("n1", at(3), false, "good again"), 3));
    tell(watcher, follower);
    assertThat(follower.objects()).containsEntry("n1", "good again");
  }

  @Test
  void aConfigurationThatCannotBeReadLeavesTheLastGoodOneInForce() {
    ObjectTable<String> table =
        new ObjectTable<>(
            "configuration", ObjectTable.UnreadablePolicy.KEEPS_LAST, MergePolicy.byPosition());
    table.applyChanges(page(new Page.Item<>("main", at(1), false, "good"), 1));
    table.applyChanges(page(new Page.Item<>("main", at(2), false, null), 2));
    assertThat(table.objects()).containsEntry("main", "good");
  }

  /** Back to a state of a while ago, in a new era: its revisions are given out again. */
  private void goBack(Map<String, String> copy, Map<String, Long> copyRevisions, long copied) {
    store.clear();
    store.putAll(copy);
    storeRevisions.clear();
    storeRevisions.putAll(copyRevisions);
    revision = copied;
    era++;
  }

  @ParameterizedTest
  @ValueSource(longs = {21, 22, 23, 24, 25, 26, 27, 28})
  void afterTheStoreHasGoneBackItsListHoldsAtAllDaemonsHoweverFarItsRevisionsHaveCome(long seed) {
    Random random = new Random(seed);
    list(random);
    for (int round = 0; round < 20; round++) {
      Map<String, String> copy = new LinkedHashMap<>(store);
      Map<String, Long> copyRevisions = new LinkedHashMap<>(storeRevisions);
      long copied = revision;
      for (int lost = 1 + random.nextInt(6); lost > 0; lost--) {
        watch(random);
      }
      tell(watcher, follower);
      CopyUpdate<String> ofLostHistory = follower.updateSince(StorePlace.NONE);
      goBack(copy, copyRevisions, copied);
      for (int again = random.nextInt(8); again > 0; again--) {
        changeOne(random);
      }
      list(random);
      assertThat(watcher.objects()).isEqualTo(store);
      assertThat(watcher.merge(ofLostHistory)).isFalse();
      watch(random);
      tell(watcher, follower);
      assertThat(follower.objects()).isEqualTo(store);
      tell(follower, secondHand);
      assertThat(secondHand.objects()).isEqualTo(store);
    }
  }

  @Test
  void changesOfAnotherHistoryAreNotMixedIntoACopy() {
    watcher.applyChanges(page(new Page.Item<>("n1", at(7), false, "lost"), 7));
    era = 2;
    CopyUpdate<String> changes =
        new CopyUpdate<>(
            at(5), at(5), false, Map.of("n2", "new"), Map.of("n2", at(5)), List.of("n1"));
    assertThat(watcher.merge(changes)).isFalse();
    assertThat(watcher.objects()).containsOnlyKeys("n1");
  }

  @Test
  void aChangeOfTheHistoryIsToldOnceWithWhatWasKnown() {
    List<EraChange<String>> told = new ArrayList<>();
    watcher.onEraChange(told::add);
    watcher.applyChanges(page(new Page.Item<>("n1", at(7), false, "lost"), 7));
    watcher.applyChanges(page(new Page.Item<>("n2", at(7), true, null), 8));
    era = 2;
    watcher.replace(Map.of(), at(3));
    watcher.replace(Map.of(), at(4));
    assertThat(told).hasSize(1);
    assertThat(told.get(0).previousObjects()).containsEntry("n1", "lost");
    assertThat(told.get(0).removedNames()).containsExactly("n2");
  }

  private static final MergePolicy<String> LATER =
      (known, shown) -> shown == null || known.compareTo(shown) > 0;

  /**
   * What the soak saw: the store went back behind its only configuration, and daemons that started
   * again got it from nobody, though others had it in force.
   */
  @Test
  void aConfigurationThatTheStoreHasLostIsToldToDaemonsThatStartAgain() {
    ObjectTable<String> knows =
        new ObjectTable<>("configuration", ObjectTable.UnreadablePolicy.KEEPS_LAST, LATER);
    ObjectTable<String> startsAgain =
        new ObjectTable<>("configuration", ObjectTable.UnreadablePolicy.KEEPS_LAST, LATER);
    knows.applyChanges(page(new Page.Item<>("main", at(9), false, "version 5"), 9));
    era = 2;
    knows.replace(Map.of(), at(4));
    startsAgain.replace(Map.of(), at(4));
    assertThat(knows.objects()).containsEntry("main", "version 5");
    assertThat(startsAgain.merge(knows.updateSince(StorePlace.NONE))).isTrue();
    assertThat(startsAgain.objects()).containsEntry("main", "version 5");
  }

  @Test
  void aHigherVersionGoesBeforeTheOneThatTheStoreHasGoneBackToAndIsToldToOthers() {
    ObjectTable<String> knows =
        new ObjectTable<>("configuration", ObjectTable.UnreadablePolicy.KEEPS_LAST, LATER);
    ObjectTable<String> beganLater =
        new ObjectTable<>("configuration", ObjectTable.UnreadablePolicy.KEEPS_LAST, LATER);
    knows.applyChanges(page(new Page.Item<>("main", at(9), false, "version 5"), 9));
    era = 2;
    Map<String, Page.Item<String>> shown =
        Map.of("main", new Page.Item<>("main", at(4), false, "version 3"));
    knows.replace(shown, at(4));
    beganLater.replace(shown, at(4));
    assertThat(knows.objects()).containsEntry("main", "version 5");
    assertThat(beganLater.merge(knows.updateSince(StorePlace.NONE))).isTrue();
    assertThat(beganLater.objects()).containsEntry("main", "version 5");
    knows.applyChanges(page(new Page.Item<>("main", at(5), false, "version 6"), 5));
    assertThat(knows.objects()).containsEntry("main", "version 6");
  }

  private Page<String> page(Page.Item<String> item, long ofRevision) {
    return new Page<>(List.of(item), false, "", at(ofRevision));
  }
}
