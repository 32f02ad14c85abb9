package org.fawnvale.serving.core.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * What the logs of all daemons tell of one request: its own lines, and what was decided on the
 * nodes that it was sent to while it was under way or shortly before.
 *
 * @param id the request's id
 * @param lines the lines, oldest first
 * @param cause the likely cause of its end
 */
public record RequestTimeline(String id, List<LogLine> lines, LikelyCause cause) {

  private static final String REQUEST = "request";
  private static final String NODE = "node";
  private static final String NONE = "null";

  /** Lines on the nodes that are told from before the request came. */
  private static final int LINES_BEFORE = 6;

  /**
   * Gathers the story of a request.
   *
   * @param id the request's id
   * @param all the lines of all daemons, in any order
   * @return the story; null when no line names the request
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
      boolean about = line.value(REQUEST) == null && concerns(line, nodes);
      if (about && line.time().compareTo(first) < 0) {
        before.add(line);
      } else if (line.hasValue(REQUEST, id) || about && line.time().compareTo(last) <= 0) {
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
    if (node != null && !NONE.equals(node)) {
      nodes.add(node);
    }
  }

  /** Lines on one of the nodes as a node, or on a group of which it is the head. */
  private static boolean concerns(LogLine line, Set<String> nodes) {
    String node = line.value(NODE);
    String group = line.value("group");
    boolean ofHead = group != null && nodes.contains(group.substring(group.indexOf('~') + 1));
    return node != null && nodes.contains(node) || ofHead;
  }
}
