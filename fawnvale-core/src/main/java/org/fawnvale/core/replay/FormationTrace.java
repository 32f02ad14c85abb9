package org.fawnvale.core.replay;

import java.util.List;
import org.fawnvale.core.model.Bundle;
import org.fawnvale.core.result.Result;
import org.jspecify.annotations.Nullable;

/**
 * A trace of node events as JSON lines: first the fleet, then the events in chronological order.
 *
 * @param fleet the nodes and the bundle
 */
public record FormationTrace(Fleet fleet, List<Event> events) {

  /** Copies the list. */
  public FormationTrace {
    events = List.copyOf(events);
  }

  /**
   * The nodes of one data centre and their bundle.
   *
   * @param name the name of the trace
   * @param domains number of fabric domains
   * @param nodesPerDomain number of nodes in each domain
   * @param hours duration of the trace, hours
   * @param detectionSeconds time until the failure of a node is detected, seconds
   * @param gigabytesPerSecond total throughput of the weight store
   * @param bundle the bundle in force
   * @param expect the expected result; null for none
   */
  public record Fleet(
      String name,
      int domains,
      int nodesPerDomain,
      double hours,
      double detectionSeconds,
      double gigabytesPerSecond,
      Bundle bundle,
      @Nullable Expectation expect) {}

  /**
   * The expected result of a trace.
   *
   * @param downtimeHoursAtMost maximum downtime, replica-hours
   * @param strandedHoursAtMost maximum time of stranded nodes, node-hours
   */
  public record Expectation(double downtimeHoursAtMost, double strandedHoursAtMost) {}

  /** The kind of a node event. */
  public enum Kind {
    /** The node stops answering and loses its state. */
    FAIL,
    /** The node stops answering and keeps its state. */
    PAUSE,
    /** The node answers again. */
    RETURN,
    /** The platform is about to remove the node. */
    LEAVE
  }

  /**
   * A node event.
   *
   * @param atSeconds time of the event, seconds from the start
   * @param node index of the node, from 0, counted domain by domain
   * @param kind the kind of the event
   */
  public record Event(double atSeconds, int node, Kind kind) {}

  /**
   * Parses a trace.
   *
   * @param text JSON lines
   * @return the trace, or a problem with the first invalid line
   */
  public static Result<FormationTrace> parse(String text) {
    return JsonLines.parse(text, Fleet.class, Event.class)
        .map(lines -> new FormationTrace(lines.header(), lines.entries()));
  }

  /** Formats the trace as JSON lines. */
  public String format() {
    return new JsonLines<>(fleet, events).format();
  }
}
