package org.fawnvale.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/**
 * Stand-in for the store of the users' platform, with paged lists, long-polling watches, simulated
 * outages, and a restore of an earlier state. A restore starts a new era, in which the store
 * assigns the same revisions again.
 */
final class UsersStore implements StandInServer.Handler {

  /** A character of private use, for which {@link #INVALID_BYTES} are sent. */
  static final String INVALID_UTF8 = "\uE000";

  /** As many bytes as the character has in UTF-8; none of them is part of UTF-8 text. */
  private static final byte[] INVALID_BYTES = {(byte) 0xFF, (byte) 0xFE, (byte) 0xC0};

  private static final String ERA = "Store-Era";
  private static final String PREFIX = "/v1/objects/";
  private static final int DEFAULT_PAGE_SIZE = 5;
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final int GONE = 410;
  private static final int UNAVAILABLE = 503;

  private final SortedMap<String, StoredObject> objects = new TreeMap<>();
  private final CallCounts calls = new CallCounts();
  private final List<Change> changes = new ArrayList<>();
  private final Map<String, AtomicInteger> watching = new LinkedHashMap<>();
  private final Map<String, Long> shortestWaits = new LinkedHashMap<>();
  private final Map<String, Integer> pages = new LinkedHashMap<>();
  private final Map<String, Integer> watches = new LinkedHashMap<>();
  private long revision;
  private long era = 1;
  private long silenceCount;
  private boolean down;
  private int pageSize = DEFAULT_PAGE_SIZE;

  private record StoredObject(String name, long revision, Object spec) {
    Map<String, Object> asJson() {
      return Map.of("metadata", Map.of("name", name, "revision", revision), "spec", spec);
    }
  }

  /**
   * A change of an object.
   *
   * @param atNanos the {@link System#nanoTime} of the change
   */
  private record Change(long atNanos, String kind, boolean deleted, StoredObject object) {
    String key() {
      return kind + "/" + object.name();
    }
  }

  synchronized void put(String kind, String name, Object spec) {
    revision++;
    StoredObject object = new StoredObject(name, revision, spec);
    objects.put(kind + "/" + name, object);
    changes.add(new Change(System.nanoTime(), kind, false, object));
    notifyAll();
  }

  synchronized void remove(String kind, String name) {
    StoredObject object = objects.remove(kind + "/" + name);
    if (object != null) {
      revision++;
      changes.add(
          new Change(
              System.nanoTime(), kind, true, new StoredObject(name, revision, object.spec())));
      notifyAll();
    }
  }

  /** Returns the revision of the last change. */
  synchronized long revision() {
    return revision;
  }

  /** Returns the revision that the store had the given number of milliseconds ago. */
  synchronized long revisionBefore(long millis) {
    long then = System.nanoTime() - millis * 1_000_000;
    long restoredRevision = 0;
    for (Change change : changes) {
      restoredRevision = change.atNanos() <= then ? change.object().revision() : restoredRevision;
    }
    return restoredRevision;
  }

  /**
   * Restores the state of an earlier revision, as a restore from a backup does. Later changes are
   * lost.
   */
  synchronized void restore(long restoredRevision) {
    changes.removeIf(change -> change.object().revision() > restoredRevision);
    objects.clear();
    for (Change change : changes) {
      if (change.deleted()) {
        objects.remove(change.key());
      } else {
        objects.put(change.key(), change.object());
      }
    }
    revision = restoredRevision;
    era++;
    notifyAll();
  }

  /** Returns the counts of the calls since the last reset. */
  CallCounts calls() {
    return calls;
  }

  synchronized void down(boolean isDown) {
    down = isDown;
    notifyAll();
  }

  /** Sets the maximum number of objects in a page of a list. */
  synchronized void setPageSize(int maximumObjects) {
    pageSize = maximumObjects;
  }

  /** Withholds the responses to all watches that wait now until the store goes down. */
  synchronized void silenceWaiting() {
    silenceCount++;
  }

  /** Returns the shortest wait that a watch of a kind has requested, in milliseconds. */
  synchronized long shortestWaitMillis(String kind) {
    return shortestWaits.getOrDefault(kind, Long.MAX_VALUE);
  }

  /** Returns how many list pages of a kind were requested. */
  synchronized int pages(String kind) {
    return pages.getOrDefault(kind, 0);
  }

  /** Returns how many watches of a kind were requested. */
  synchronized int watches(String kind) {
    return watches.getOrDefault(kind, 0);
  }

  /** Returns how many watches of a kind wait now. */
  synchronized int watching(String kind) {
    AtomicInteger count = watching.get(kind);
    return count == null ? 0 : count.get();
  }

  @Override
  public synchronized Reply handle(Call call) throws IOException {
    calls.count();
    Reply reply = answer(call);
    replaceMarks(reply.body());
    return reply.and(ERA, Long.toString(era));
  }

  private static void replaceMarks(byte @Nullable [] body) {
    if (body == null) {
      return;
    }
    byte[] mark = INVALID_UTF8.getBytes(StandardCharsets.UTF_8);
    for (int start = 0; start + mark.length <= body.length; start++) {
      if (Arrays.equals(body, start, start + mark.length, mark, 0, mark.length)) {
        System.arraycopy(INVALID_BYTES, 0, body, start, mark.length);
      }
    }
  }

  private Reply answer(Call call) throws IOException {
    if (down) {
      return Reply.empty(UNAVAILABLE);
    }
    String kind = call.path().substring(PREFIX.length());
    if ("POST".equals(call.method())) {
      return create(kind, Json.tree(call.body()));
    }
    if ("DELETE".equals(call.method())) {
      int slash = kind.indexOf('/');
      remove(kind.substring(0, slash), kind.substring(slash + 1));
      return Reply.empty(OK);
    }
    long since = call.number("watch", -1);
    return since < 0 ? list(kind, call) : watch(kind, since, call.number("wait_ms", 0));
  }

  private Reply create(String kind, JsonNode object) {
    String name = object.path("metadata").path("name").asText();
    if (objects.containsKey(kind + "/" + name)) {
      return Reply.empty(CONFLICT);
    }
    put(kind, name, object.path("spec"));
    return Reply.empty(OK);
  }

  /** Returns the names of the objects of a kind. */
  synchronized List<String> names(String kind) {
    return objects.subMap(kind + "/", kind + "0").values().stream()
        .map(StoredObject::name)
        .toList();
  }

  private Reply list(String kind, Call call) {
    pages.merge(kind, 1, Integer::sum);
    String after = call.query().getOrDefault("after_revision", "");
    List<Object> items = new ArrayList<>();
    boolean more = false;
    for (StoredObject object : objects.subMap(kind + "/", kind + "0").values()) {
      if (object.name().compareTo(after) > 0) {
        more = items.size() == pageSize;
        if (more) {
          break;
        }
        items.add(object.asJson());
      }
    }
    return Reply.json(OK, Map.of("items", items, "has_more", more, "timestamp", revision));
  }

  private Reply watch(String kind, long since, long waitMillis) {
    watches.merge(kind, 1, Integer::sum);
    if (since > revision) {
      return Reply.empty(GONE);
    }
    long eraBefore = era;
    AtomicInteger count = watching.computeIfAbsent(kind, name -> new AtomicInteger());
    count.incrementAndGet();
    shortestWaits.merge(kind, waitMillis, Math::min);
    long silenceCountBefore = silenceCount;
    long until = System.nanoTime() + waitMillis * 1_000_000;
    try {
      while (events(kind, since).isEmpty() && isUpInEra(eraBefore) && System.nanoTime() < until) {
        wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
      }
      while (silenceCount > silenceCountBefore && !down) {
        wait();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      count.decrementAndGet();
    }
    return !isUpInEra(eraBefore)
        ? Reply.empty(UNAVAILABLE)
        : Reply.json(OK, Map.of("events", events(kind, since), "timestamp", revision));
  }

  private boolean isUpInEra(long eraBefore) {
    return !down && era == eraBefore;
  }

  private List<Object> events(String kind, long since) {
    List<Object> events = new ArrayList<>();
    for (Change change : changes) {
      if (change.kind().equals(kind) && change.object().revision() > since) {
        events.add(Map.of("deleted", change.deleted(), "object", change.object().asJson()));
      }
    }
    return events;
  }
}
