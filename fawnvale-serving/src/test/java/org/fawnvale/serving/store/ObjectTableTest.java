package org.fawnvale.serving.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePosition;
import org.fawnvale.serving.spi.Page;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against copies that miss changes or return to an earlier state when daemons exchange
 * updates, other than after a rollback of the store.
 */
class ObjectTableTest {

  private static final int STEPS = 400;
  private static final int NAMES = 20;

  private final Map<String, String> store = new LinkedHashMap<>();
  private final Map<String, Long> storeRevisions = new LinkedHashMap<>();
  private final ObjectTable<String> watcher = table();
  private final ObjectTable<String> follower = table();
  private final ObjectTable<String> secondFollower = table();
  private long revision;
  private long era = 1;

  private static ObjectTable<String> table() {
    return new ObjectTable<>(
        "nodes", ObjectTable.UnreadablePolicy.NAMES_NOTHING, MergePolicy.byPosition());
  }

  private StorePosition at(long ofRevision) {
    return new StorePosition(new StoreEra(era), ofRevision);
  }

  private Page.Item<String> changeRandomObject(Random random) {
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

  private void watchRandomChanges(Random random) {
    List<Page.Item<String>> items = new ArrayList<>();
    for (int count = random.nextInt(4); count > 0; count--) {
      items.add(changeRandomObject(random));
    }
    watcher.applyChanges(new Page<>(items, false, "", at(revision)));
  }

  private void listAfterOneChange(Random random) {
    changeRandomObject(random);
    Map<String, Page.Item<String>> items = new LinkedHashMap<>();
    store.forEach(
        (name, value) ->
            items.put(name, new Page.Item<>(name, at(storeRevisions.get(name)), false, value)));
    watcher.replace(items, at(revision));
  }

  private static void sendUpdate(ObjectTable<String> from, ObjectTable<String> to) {
    if (from.newest().isAfter(to.newest())) {
      to.merge(from.updateSince(to.position()));
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void updatesBetweenDaemonsReproduceTheStoreContent(long seed) {
    Random random = new Random(seed);
    listAfterOneChange(random);
    for (int step = 0; step < STEPS; step++) {
      if (random.nextInt(10) == 0) {
        listAfterOneChange(random);
      } else {
        watchRandomChanges(random);
      }
      if (random.nextInt(3) == 0) {
        sendUpdate(watcher, follower);
        assertThat(follower.objects()).isEqualTo(store);
      }
      if (random.nextInt(3) == 0) {
        sendUpdate(follower, secondFollower);
        assertThat(secondFollower.objects()).isEqualTo(follower.objects());
      }
    }
  }

  @ParameterizedTest
  @ValueSource(longs = {11, 12, 13})
  void ignoresOlderUpdate(long seed) {
    Random random = new Random(seed);
    listAfterOneChange(random);
    CopyUpdate<String> old = watcher.updateSince(StorePosition.NONE);
    watchRandomChanges(random);
    listAfterOneChange(random);
    sendUpdate(watcher, follower);
    assertThat(follower.merge(old)).isFalse();
    assertThat(follower.objects()).isEqualTo(store);
  }

  @Test
  void removesUnreadableNodeHereAndAtPeers() {
    watcher.applyChanges(page(new Page.Item<>("n1", at(1), false, "good"), 1));
    sendUpdate(watcher, follower);
    watcher.applyChanges(page(new Page.Item<>("n1", at(2), false, null), 2));
    sendUpdate(watcher, follower);
    assertThat(watcher.objects()).isEmpty();
    assertThat(follower.objects()).isEmpty();
    watcher.applyChanges(page(new Page.Item<>("n1", at(3), false, "good again"), 3));
    sendUpdate(watcher, follower);
    assertThat(follower.objects()).containsEntry("n1", "good again");
  }

  @Test
  void keepsLastReadableConfiguration() {
    ObjectTable<String> table =
        new ObjectTable<>(
            "configuration", ObjectTable.UnreadablePolicy.KEEPS_LAST, MergePolicy.byPosition());
    table.applyChanges(page(new Page.Item<>("main", at(1), false, "good"), 1));
    table.applyChanges(page(new Page.Item<>("main", at(2), false, null), 2));
    assertThat(table.objects()).containsEntry("main", "good");
  }

  /** Restores an earlier content of the store in a new era, which reuses later revisions. */
  private void rollBack(
      Map<String, String> backup, Map<String, Long> backupRevisions, long backupRevision) {
    store.clear();
    store.putAll(backup);
    storeRevisions.clear();
    storeRevisions.putAll(backupRevisions);
    revision = backupRevision;
    era++;
  }

  @ParameterizedTest
  @ValueSource(longs = {21, 22, 23, 24, 25, 26, 27, 28})
  void listAfterRollbackReplacesAllCopiesWhateverTheRevisions(long seed) {
    Random random = new Random(seed);
    listAfterOneChange(random);
    for (int round = 0; round < 20; round++) {
      Map<String, String> backup = new LinkedHashMap<>(store);
      Map<String, Long> backupRevisions = new LinkedHashMap<>(storeRevisions);
      long backupRevision = revision;
      for (int lost = 1 + random.nextInt(6); lost > 0; lost--) {
        watchRandomChanges(random);
      }
      sendUpdate(watcher, follower);
      CopyUpdate<String> ofPreviousEra = follower.updateSince(StorePosition.NONE);
      rollBack(backup, backupRevisions, backupRevision);
      for (int count = random.nextInt(8); count > 0; count--) {
        changeRandomObject(random);
      }
      listAfterOneChange(random);
      assertThat(watcher.objects()).isEqualTo(store);
      assertThat(watcher.merge(ofPreviousEra)).isFalse();
      watchRandomChanges(random);
      sendUpdate(watcher, follower);
      assertThat(follower.objects()).isEqualTo(store);
      sendUpdate(follower, secondFollower);
      assertThat(secondFollower.objects()).isEqualTo(store);
    }
  }

  @Test
  void ignoresChangesOfAnotherEra() {
    watcher.applyChanges(page(new Page.Item<>("n1", at(7), false, "lost"), 7));
    era = 2;
    CopyUpdate<String> changes =
        new CopyUpdate<>(
            at(5), at(5), false, Map.of("n2", "new"), Map.of("n2", at(5)), List.of("n1"));
    assertThat(watcher.merge(changes)).isFalse();
    assertThat(watcher.objects()).containsOnlyKeys("n1");
  }

  @Test
  void notifiesEraChangeOnceWithThePreviousContent() {
    List<EraChange<String>> notified = new ArrayList<>();
    watcher.onEraChange(notified::add);
    watcher.applyChanges(page(new Page.Item<>("n1", at(7), false, "lost"), 7));
    watcher.applyChanges(page(new Page.Item<>("n2", at(7), true, null), 8));
    era = 2;
    watcher.replace(Map.of(), at(3));
    watcher.replace(Map.of(), at(4));
    assertThat(notified).hasSize(1);
    assertThat(notified.get(0).previousObjects()).containsEntry("n1", "lost");
    assertThat(notified.get(0).removedNames()).containsExactly("n2");
  }

  private static final MergePolicy<String> LATEST_WINS =
      (version, other) -> other == null || version.compareTo(other) > 0;

  /**
   * Guards against restarted daemons that never receive the active configuration after a rollback
   * has removed it from the store.
   */
  @Test
  void sendsConfigurationThatTheStoreHasLostToRestartedDaemons() {
    ObjectTable<String> informed =
        new ObjectTable<>("configuration", ObjectTable.UnreadablePolicy.KEEPS_LAST, LATEST_WINS);
    ObjectTable<String> restarted =
        new ObjectTable<>("configuration", ObjectTable.UnreadablePolicy.KEEPS_LAST, LATEST_WINS);
    informed.applyChanges(page(new Page.Item<>("main", at(9), false, "version 5"), 9));
    era = 2;
    informed.replace(Map.of(), at(4));
    restarted.replace(Map.of(), at(4));
    assertThat(informed.objects()).containsEntry("main", "version 5");
    assertThat(restarted.merge(informed.updateSince(StorePosition.NONE))).isTrue();
    assertThat(restarted.objects()).containsEntry("main", "version 5");
  }

  @Test
  void prefersAndSendsHigherVersionThanTheStoreAfterRollback() {
    ObjectTable<String> informed =
        new ObjectTable<>("configuration", ObjectTable.UnreadablePolicy.KEEPS_LAST, LATEST_WINS);
    ObjectTable<String> startedLater =
        new ObjectTable<>("configuration", ObjectTable.UnreadablePolicy.KEEPS_LAST, LATEST_WINS);
    informed.applyChanges(page(new Page.Item<>("main", at(9), false, "version 5"), 9));
    era = 2;
    Map<String, Page.Item<String>> shown =
        Map.of("main", new Page.Item<>("main", at(4), false, "version 3"));
    informed.replace(shown, at(4));
    startedLater.replace(shown, at(4));
    assertThat(informed.objects()).containsEntry("main", "version 5");
    assertThat(startedLater.merge(informed.updateSince(StorePosition.NONE))).isTrue();
    assertThat(startedLater.objects()).containsEntry("main", "version 5");
    informed.applyChanges(page(new Page.Item<>("main", at(5), false, "version 6"), 5));
    assertThat(informed.objects()).containsEntry("main", "version 6");
  }

  private Page<String> page(Page.Item<String> item, long ofRevision) {
    return new Page<>(List.of(item), false, "", at(ofRevision));
  }
}
