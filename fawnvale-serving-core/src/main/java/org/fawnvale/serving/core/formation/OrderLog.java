package org.fawnvale.serving.core.formation;

import java.util.HashMap;
import java.util.Map;

/** What the leader knows of each node's orders: their count, and whether one is under way. */
final class OrderLog {

  /** The count of a node that has not told it. */
  static final long UNKNOWN = -1;

  private static final long UNREACHABLE_NANOS = 1_500_000_000L;

  private final Map<String, Entry> entries = new HashMap<>();

  private static final class Entry {
    long orders = UNKNOWN;
    boolean busy;
    long silentSince = -1;
    long silentUntil;
    long lastReport = Long.MIN_VALUE / 2;
  }

  private Entry entry(String node) {
    return entries.computeIfAbsent(node, id -> new Entry());
  }

  long orders(String node) {
    return entry(node).orders;
  }

  boolean busy(String node) {
    return entry(node).busy;
  }

  void sending(String node) {
    entry(node).busy = true;
  }

  void reported(String node, long orders, long nowNanos) {
    Entry entry = entry(node);
    entry.busy = false;
    entry.orders = orders;
    entry.silentSince = -1;
    entry.lastReport = nowNanos;
  }

  long lastReport(String node) {
    return entry(node).lastReport;
  }

  void answered(String node, boolean begun) {
    Entry entry = entry(node);
    entry.busy = false;
    entry.silentSince = -1;
    if (begun && entry.orders != UNKNOWN) {
      entry.orders++;
    }
  }

  void doubt(String node) {
    Entry entry = entry(node);
    entry.busy = false;
    entry.orders = UNKNOWN;
  }

  void silent(String node, long nowNanos) {
    Entry entry = entry(node);
    entry.busy = false;
    entry.orders = UNKNOWN;
    if (entry.silentSince < 0) {
      entry.silentSince = nowNanos;
    }
    entry.silentUntil = nowNanos + UNREACHABLE_NANOS;
  }

  /** Tells whether the last words to the node stayed without an answer, not long ago. */
  boolean isSilent(String node, long nowNanos) {
    Entry entry = entry(node);
    return entry.silentSince >= 0 && nowNanos < entry.silentUntil;
  }

  void clear() {
    entries.clear();
  }
}
