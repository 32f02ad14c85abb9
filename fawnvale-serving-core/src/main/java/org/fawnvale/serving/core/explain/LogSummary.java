package org.fawnvale.serving.core.explain;

import java.time.LocalTime;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Summarises the logs of all daemons by intervals of time: for each interval, how many groups of
 * each model served, their load when requests were sent to them, late first events, and refusals by
 * reason.
 *
 * @param spans the intervals, oldest first
 */
public record LogSummary(List<Span> spans) {

  /** Stands for plain services, and for groups whose start is not in the logs. */
  private static final String OTHER = "other";

  private static final double MEDIAN = 0.5;
  private static final double HIGH_QUANTILE = 0.9;

  /**
   * One interval. Its components are the keys of the JSON output.
   *
   * @param from the time of day at which it begins, as in the logs
   * @param models figures by model
   * @param refusals numbers of refused requests by reason
   * @param moved requests that were sent again, for any reason
   * @param stalls number of reports that a head has stalled
   */
  public record Span(
      String from,
      Map<String, ModelSpan> models,
      Map<String, Integer> refusals,
      int moved,
      int stalls) {}

  /**
   * The figures of one model within an interval. Its components are the keys of the JSON output.
   *
   * @param groups groups that serve at the end of the interval, as far as the logs show
   * @param sent requests that were sent to its groups
   * @param medianLoad the median load of the groups when requests were sent, as requests relative
   *     to slots
   * @param highLoad the 90th percentile of that load
   * @param lateFirst first events that were late
   */
  public record ModelSpan(
      int groups, int sent, double medianLoad, double highLoad, int lateFirst) {}

  /**
   * Summarises lines.
   *
   * @param lines the lines of all daemons, in any order
   * @param seconds the length of an interval, in seconds
   * @return the summary
   */
  public static LogSummary of(List<LogLine> lines, int seconds) {
    List<LogLine> sorted = new ArrayList<>(lines);
    sorted.sort(Comparator.comparing(LogLine::time));
    Collector collector = new Collector();
    List<Span> spans = new ArrayList<>();
    long start = Long.MIN_VALUE;
    for (LogLine line : sorted) {
      Long second = second(line.time());
      if (second == null) {
        continue;
      }
      long span = second / seconds * seconds;
      if (span != start && start != Long.MIN_VALUE) {
        spans.add(collector.span(start));
      }
      start = span;
      collector.add(line);
    }
    if (start != Long.MIN_VALUE) {
      spans.add(collector.span(start));
    }
    return new LogSummary(List.copyOf(spans));
  }

  private static @Nullable Long second(String time) {
    try {
      return (long) LocalTime.parse(time).toSecondOfDay();
    } catch (DateTimeParseException e) {
      // The line is not from a daemon, although it resembles one.
      return null;
    }
  }

  /**
   * Collects the figures of one interval after the other. What is known of groups is kept across
   * intervals.
   */
  private static final class Collector {
    private final Map<String, String> modelOfHead = new HashMap<>();
    private final Map<String, Set<String>> groups = new TreeMap<>();
    private final Map<String, List<Double>> loads = new TreeMap<>();
    private final Map<String, Integer> late = new TreeMap<>();
    private final Map<String, Integer> refusals = new TreeMap<>();
    private int moved;
    private int stalls;

    void add(LogLine line) {
      String group = firstWord(line.value("group"));
      if (group != null && line.message().contains(" serves model=")) {
        String model = String.valueOf(line.value("model"));
        modelOfHead.put(headOf(group), model);
        groups.computeIfAbsent(model, name -> new HashSet<>()).add(group);
      } else if (group != null && line.message().contains(" dissolved ")) {
        groups.values().forEach(serving -> serving.remove(group));
      } else if (line.value("sent_to") != null) {
        sent(line);
      } else if (line.hasValue("status", "503") && line.value("reason") != null) {
        refusals.merge(String.valueOf(line.value("reason")), 1, Integer::sum);
      } else if (line.hasValue("outcome", "late")) {
        late.merge(model(line.value("node")), 1, Integer::sum);
      } else if (line.hasValue("outcome", "stands_still")) {
        stalls++;
      }
    }

    private void sent(LogLine line) {
      moved += line.hasValue("why", "first") ? 0 : 1;
      String load = line.value("load");
      if (load != null) {
        loads
            .computeIfAbsent(model(line.value("sent_to")), name -> new ArrayList<>())
            .add(Double.valueOf(load));
      }
    }

    private String model(@Nullable String head) {
      return modelOfHead.getOrDefault(head, OTHER);
    }

    /** Cuts off the free text after a value; {@link LogLine#value} extends to the next key. */
    private static @Nullable String firstWord(@Nullable String value) {
      return value == null ? null : value.split(" ", 2)[0];
    }

    private static String headOf(String group) {
      return group.substring(group.indexOf('~') + 1);
    }

    Span span(long start) {
      Set<String> names = new HashSet<>(groups.keySet());
      names.addAll(loads.keySet());
      names.addAll(late.keySet());
      Map<String, ModelSpan> models = new TreeMap<>();
      names.forEach(name -> models.put(name, modelSpan(name)));
      Span span =
          new Span(
              LocalTime.ofSecondOfDay(start).toString(),
              models,
              new TreeMap<>(refusals),
              moved,
              stalls);
      loads.clear();
      late.clear();
      refusals.clear();
      moved = 0;
      stalls = 0;
      return span;
    }

    private ModelSpan modelSpan(String name) {
      List<Double> sorted = new ArrayList<>(loads.getOrDefault(name, List.of()));
      Collections.sort(sorted);
      return new ModelSpan(
          groups.getOrDefault(name, Set.of()).size(),
          sorted.size(),
          quantile(sorted, MEDIAN),
          quantile(sorted, HIGH_QUANTILE),
          late.getOrDefault(name, 0));
    }

    private static double quantile(List<Double> sorted, double share) {
      return sorted.isEmpty() ? 0 : sorted.get((int) (sorted.size() * share));
    }
  }
}
