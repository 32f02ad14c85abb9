package org.fawnvale.standins;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A replica's cache of prompt prefixes, and its log of stored and evicted blocks. */
final class PrefixCache {

  /** The size of a cache block in characters. */
  static final int BLOCK_CHARACTERS = 64;

  private static final int MAXIMUM_EVENTS = 1000;

  private final int capacity;
  private final Map<String, Long> blocks = new LinkedHashMap<>(16, 0.75f, true);
  private final List<Event> events = new ArrayList<>();
  private long sequence;

  /**
   * A block that was stored or evicted.
   *
   * @param sequence rises by one with each event; a gap shows that events were dropped
   * @param block the block's prefix hash
   * @param stored true when stored, false when evicted
   */
  record Event(long sequence, String block, boolean stored) {}

  PrefixCache(int capacity) {
    this.capacity = capacity;
  }

  /** Stores a prompt and returns how many of its leading characters were cached before. */
  synchronized int use(String prompt) {
    int cached = 0;
    boolean hit = true;
    int hash = 0;
    for (int end = BLOCK_CHARACTERS; end <= prompt.length(); end += BLOCK_CHARACTERS) {
      hash = 31 * hash + prompt.substring(end - BLOCK_CHARACTERS, end).hashCode();
      String block = Integer.toHexString(hash);
      hit &= blocks.get(block) != null;
      if (hit) {
        cached = end;
      } else {
        store(block);
      }
    }
    return cached;
  }

  synchronized List<Event> eventsAfter(long after) {
    return events.stream().filter(event -> event.sequence() > after).toList();
  }

  private void store(String block) {
    blocks.put(block, sequence);
    publish(block, true);
    if (blocks.size() > capacity) {
      Map.Entry<String, Long> eldest = blocks.entrySet().iterator().next();
      blocks.remove(eldest.getKey());
      publish(eldest.getKey(), false);
    }
  }

  private void publish(String block, boolean stored) {
    events.add(new Event(++sequence, block, stored));
    if (events.size() > MAXIMUM_EVENTS) {
      events.remove(0);
    }
  }
}
