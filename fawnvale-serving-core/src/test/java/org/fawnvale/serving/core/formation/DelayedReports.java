package org.fawnvale.serving.core.formation;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/** Reports of simulated nodes that tell their state of a while ago, as those of real nodes do. */
final class DelayedReports {

  private final Map<String, Deque<TimedReport>> history = new HashMap<>();
  private long lagNanos;

  /** What a node could report at a time. */
  private record TimedReport(long atNanos, NodeReport report) {}

  void delay(long nanos) {
    lagNanos = nanos;
  }

  void record(String id, NodeReport report, long nowNanos) {
    if (lagNanos == 0) {
      return;
    }
    Deque<TimedReport> reports = history.computeIfAbsent(id, node -> new ArrayDeque<>());
    reports.addLast(new TimedReport(nowNanos, report));
    while (reports.size() > 1 && reports.peekFirst().atNanos() < nowNanos - lagNanos) {
      reports.removeFirst();
    }
  }

  void forget(String id) {
    history.remove(id);
  }

  /** Returns what a node reports whose present state is given. */
  NodeReport of(String id, NodeReport present) {
    Deque<TimedReport> reports = history.get(id);
    return reports == null || reports.isEmpty() ? present : reports.peekFirst().report();
  }
}
