package org.fawnvale.serving.core.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * The timeline of one request, from the logs of all daemons: the lines that name the request, and
 * the lines on its upstreams from shortly before it arrived until it ended.
 *
 * @param id the request's id
 * @param lines the lines, oldest first
 * @param cause the likely cause of its end
 */
public record RequestTimeline(String id, List<LogLine> lines, LikelyCause cause) {

  private static final String REQUEST = "request";
  private static final String NODE = "node";
  private static final String NULL_VALUE = "null";

  /** How many lines on its upstreams are shown from before the request arrived. */
  private static final int LINES_BEFORE = 6;

  /**
   * Builds the timeline of a request.
   *
   * @param id the request's id
   * @param all the lines of all daemons, in any order
   * @return the timeline; null when no line names the request
   */
  public static @Nullable RequestTimeline of(String id, List<LogLine> all) {
    List<LogLine> sorted = new ArrayList<>(all);
    sorted.sort(Comparator.comparing(LogLine::time));
    List<LogLine> own = sorted.stream().filter(line -> line.hasValue(REQUEST, id)).toList();
    if (own.isEmpty()) {
      return null;
    }
    Set<String> nodes = nodes(own);
    String first = own.get(0).time();
    String last = own.get(own.size() - 1).time();
    List<LogLine> before = new ArrayList<>();
    List<LogLine> lines = new ArrayList<>();
    for (LogLine line : sorted) {
      boolean concernsNode = line.value(REQUEST) == null && concerns(line, nodes);
      if (concernsNode && line.time().compareTo(first) < 0) {
        before.add(line);
      } else if (line.hasValue(REQUEST, id) || concernsNode && line.time().compareTo(last) <= 0) {
        lines.add(line);
      }
    }
    lines.addAll(0, before.subList(Math.max(0, before.size() - LINES_BEFORE), before.size()));
    return new RequestTimeline(id, List.copyOf(lines), LikelyCause.of(own, lines));
  }

  private static Set<String> nodes(List<LogLine> own) {
    Set<String> nodes = new LinkedHashSet<>();
    for (LogLine line : own) {
      addNode(nodes, line.value("sent_to"));
      addNode(nodes, line.value(NODE));
    }
    return nodes;
  }

  private static void addNode(Set<String> nodes, @Nullable String node) {
    if (node != null && !NULL_VALUE.equals(node)) {
      nodes.add(node);
    }
  }

  /** Tells whether a line is about one of the nodes, or about a group whose head is one of them. */
  private static boolean concerns(LogLine line, Set<String> nodes) {
    String node = line.value(NODE);
    String group = line.value("group");
    boolean ofHead = group != null && nodes.contains(group.substring(group.indexOf('~') + 1));
    return node != null && nodes.contains(node) || ofHead;
  }
}
