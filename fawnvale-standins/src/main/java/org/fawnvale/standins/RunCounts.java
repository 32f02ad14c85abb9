package org.fawnvale.standins;

import java.util.Map;
import java.util.TreeMap;

/** Counts the runs of each request by its id, so that tests can verify at-most-once execution. */
final class RunCounts {

  private final Map<String, Integer> runs = new TreeMap<>();
  private long lastStartMillis;
  private int incomplete;

  synchronized void recordStart(String request) {
    runs.merge(request, 1, Integer::sum);
    lastStartMillis = System.currentTimeMillis();
  }

  synchronized void recordIncomplete() {
    incomplete++;
  }

  synchronized Map<String, Object> toMap() {
    return Map.of(
        "runs",
        new TreeMap<>(runs),
        "lastStartMillis",
        lastStartMillis,
        "arrivedIncomplete",
        incomplete);
  }
}
