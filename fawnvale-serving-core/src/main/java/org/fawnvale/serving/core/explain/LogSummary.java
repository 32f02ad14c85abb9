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
 * What the logs of all daemons tell of a stretch of time: for each span of it, how many groups of
 * each model served, how full they were when requests were sent to them, which first events came
 * late, and why callers were refused.
 *
 * @param spans the spans, oldest first
 */
public record LogSummary(List<Span> spans) {

  /** Plain services, and groups whose beginning no line tells. */
  private static final String OTHER = "other";

  private static final double MEDIAN = 0.5;
  private static final double HIGH = 0.9;

  /**
   * One span.
   *
   * @param from when it begins, as the logs write the time of day
   * @param models what is told of each model
   * @param refusals refused callers, by reason
   * @param moved requests that were sent a second time, by any reason
   * @param stalls heads that a daemon held to stand still
   */
  public record Span(
      String from,
      Map<String, ModelSpan> models,
      Map<String, Integer> refusals,
      int moved,
      int stalls) {}

  /**
   * One model within a span.
   *
   * @param groups groups that serve at its end, as far as the logs tell
   * @param sent requests that were sent to its groups
   * @param medianLoad the median load of the groups at sending; requests relative to slots
   * @param highLoad the load that nine tenths of the sendings saw at most
   * @param lateFirst first events that came late
   */
  public record ModelSpan(
      int groups, int sent, double medianLoad, double highLoad, int lateFirst) {}

  /**
   * Sums lines up.
   *
   * @param lines the lines of all daemons, in any order
   * @param seconds the length of a span, in seconds
   * @return the summary
   */
  public static LogSummary of(List<LogLine> lines, int seconds) {
    List<LogLine> sorted = new ArrayList<>(lines);
    sorted.sort(Comparator.comparing(LogLine::time));
    Reader reader = new Reader();
    List<Span> spans = new ArrayList<>();
    long begun = Long.MIN_VALUE;
    for (LogLine line : sorted) {
      Long second = second(line.time());
      if (second == null) {
        continue;
      }
      long span = second / seconds * seconds;
      if (span != begun && begun != Long.MIN_VALUE) {
        spans.add(reader.span(begun));
      }
      begun = span;
      reader.read(line);
    }
    if (begun != Long.MIN_VALUE) {
      spans.add(reader.span(begun));
    }
    return new LogSummary(List.copyOf(spans));
  }

  private static @Nullable Long second(String time) {
    try {
      return (long) LocalTime.parse(time).toSecondOfDay();
    } catch (DateTimeParseException e) {
      // A line of another program that looks like one of ours has no place in the table.
      return null;
    }
  }

  /** Gathers one span after the other; what is known of groups outlasts a span. */
  private static final class Reader {
    private final Map<String, String> modelOfHead = new HashMap<>();
    private final Map<String, Set<String>> groups = new TreeMap<>();
    private final Map<String, List<Double>> loads = new TreeMap<>();
    private final Map<String, Integer> late = new TreeMap<>();
    private final Map<String, Integer> refusals = new TreeMap<>();
    private int moved;
    private int stalls;

    void read(LogLine line) {
      String group = firstWord(line.value("group"));
      if (group != null && line.message().contains(" serves model=")) {
        String model = String.valueOf(line.value("model"));
        modelOfHead.put(headOf(group), model);
        groups.computeIfAbsent(model, name -> new HashSet<>()).add(group);
      } else if (group != null && line.message().contains(" dissolved ")) {
        groups.values().forEach(standing -> standing.remove(group));
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

    /** What follows a value up to the next key belongs to the sentence. */
    private static @Nullable String firstWord(@Nullable String value) {
      return value == null ? null : value.split(" ", 2)[0];
    }

    private static String headOf(String group) {
      return group.substring(group.indexOf('~') + 1);
    }

    Span span(long begun) {
      Set<String> names = new HashSet<>(groups.keySet());
      names.addAll(loads.keySet());
      names.addAll(late.keySet());
      Map<String, ModelSpan> models = new TreeMap<>();
      names.forEach(name -> models.put(name, modelSpan(name)));
      Span span =
          new Span(
              LocalTime.ofSecondOfDay(begun).toString(),
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
      List<Double> seen = new ArrayList<>(loads.getOrDefault(name, List.of()));
      Collections.sort(seen);
      return new ModelSpan(
          groups.getOrDefault(name, Set.of()).size(),
          seen.size(),
          quantile(seen, MEDIAN),
          quantile(seen, HIGH),
          late.getOrDefault(name, 0));
    }

    private static double quantile(List<Double> sorted, double share) {
      return sorted.isEmpty() ? 0 : sorted.get((int) (sorted.size() * share));
    }
  }
}
