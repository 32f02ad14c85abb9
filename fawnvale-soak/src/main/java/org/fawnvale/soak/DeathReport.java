package org.fawnvale.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * How soon the leader dissolved groups that had lost a member.
 *
 * @param lost the number of open groups that lost a member
 * @param millis the times from the loss to the leader's decision, in milliseconds, shortest first
 */
record DeathReport(int lost, List<Long> millis) {

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final double MEDIAN = 0.5;
  private static final double NINETY_IN_100 = 0.9;

  DeathReport {
    millis = millis.stream().sorted().toList();
  }

  /** Evaluates a run; of several lost members of a group the first one counts. */
  static DeathReport of(RunHistory history) {
    Map<String, Long> lostAt = new HashMap<>();
    Set<String> found = new HashSet<>();
    List<Long> millis = new ArrayList<>();
    for (Event event : history.events()) {
      if (event instanceof Event.MemberLost lost) {
        lostAt.putIfAbsent(lost.group() + "@" + lost.epoch(), lost.atNanos());
      } else if (event instanceof Event.Dissolved dissolved) {
        String group = dissolved.group() + "@" + dissolved.epoch();
        Long since = lostAt.get(group);
        if (since != null && found.add(group)) {
          millis.add((dissolved.atNanos() - since) / NANOS_PER_MILLI);
        }
      }
    }
    return new DeathReport(lostAt.size(), millis);
  }

  DeathReport plus(DeathReport other) {
    List<Long> all = new ArrayList<>(millis);
    all.addAll(other.millis());
    return new DeathReport(lost + other.lost(), all);
  }

  int found() {
    return millis.size();
  }

  long medianMillis() {
    return quantile(MEDIAN);
  }

  long ninetiethMillis() {
    return quantile(NINETY_IN_100);
  }

  long largestMillis() {
    return quantile(1);
  }

  private long quantile(double share) {
    return millis.isEmpty() ? 0 : millis.get((int) Math.ceil(share * millis.size()) - 1);
  }
}
