package org.fawnvale.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** The recorded events of a run in order of time. */
final class RunHistory {

  /** How long a daemon may take to find its path to the workers again. */
  private static final long RETURN_NANOS = 3_000_000_000L;

  private final List<Event> events;
  private final Map<Class<?>, List<Event>> byType = new HashMap<>();

  /**
   * Creates a history.
   *
   * @param events the events, in any order
   */
  RunHistory(List<Event> events) {
    List<Event> sorted = new ArrayList<>(events);
    sorted.sort(Comparator.comparingLong(Event::atNanos));
    this.events = List.copyOf(sorted);
    for (Event event : sorted) {
      byType.computeIfAbsent(event.getClass(), type -> new ArrayList<>()).add(event);
    }
  }

  /** Returns all events, earliest first. */
  List<Event> events() {
    return events;
  }

  /** Returns the events of a type, earliest first. */
  @SuppressWarnings("unchecked")
  <E extends Event> List<E> all(Class<E> type) {
    return (List<E>) Collections.unmodifiableList(byType.getOrDefault(type, List.of()));
  }

  /** Returns the send event of each attempt by id. */
  Map<String, Event.Sent> sent() {
    Map<String, Event.Sent> sent = new HashMap<>();
    all(Event.Sent.class).forEach(event -> sent.put(event.attempt(), event));
    return sent;
  }

  /**
   * Returns the send event of each attempt by id, but for those that the daemon has forwarded to
   * another one: a worker has spoken with that one only.
   */
  Map<String, Event.Sent> sentByOwnDaemon() {
    Map<String, Event.Sent> sent = sent();
    all(Event.Forwarded.class).forEach(event -> sent.remove(event.attempt()));
    return sent;
  }

  /** Returns the workers that began to run each attempt, in order, by attempt id. */
  Map<String, List<String>> beganAt() {
    Map<String, List<String>> began = new HashMap<>();
    for (Event.Began event : all(Event.Began.class)) {
      began.computeIfAbsent(event.attempt(), id -> new ArrayList<>()).add(event.worker());
    }
    return began;
  }

  /** Returns whether a daemon was stopped, frozen, resumed or started within the interval. */
  boolean wasSignalled(int daemon, long fromNanos, long untilNanos) {
    return all(Event.Signalled.class).stream()
        .anyMatch(
            event ->
                event.daemon() == daemon
                    && event.atNanos() >= fromNanos
                    && event.atNanos() <= untilNanos);
  }

  /**
   * Returns whether a daemon was cut off from all workers within the interval, or shortly before.
   * Other daemons serve its callers then, so workers speak with those.
   */
  boolean wasCutFromWorkers(int daemon, long fromNanos, long untilNanos) {
    long begunNanos = Long.MAX_VALUE;
    for (Event.WorkersCut cut : all(Event.WorkersCut.class)) {
      if (cut.daemon() == daemon && cut.begins()) {
        begunNanos = Math.min(begunNanos, cut.atNanos());
      } else if (cut.daemon() == daemon) {
        if (begunNanos <= untilNanos && cut.atNanos() + RETURN_NANOS >= fromNanos) {
          return true;
        }
        begunNanos = Long.MAX_VALUE;
      }
    }
    return begunNanos <= untilNanos;
  }

  /** Returns when the worker next restarted; {@link Long#MAX_VALUE} when it did not. */
  long nextRestartNanos(String worker, long sinceNanos) {
    return all(Event.Started.class).stream()
        .filter(event -> event.worker().equals(worker) && event.atNanos() > sinceNanos)
        .mapToLong(Event.Started::atNanos)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /** Returns the daemon that an attempt was sent to; null when none of these was. */
  static @Nullable Integer daemonOf(Map<String, Event.Sent> sent, String attempt) {
    Event.Sent event = sent.get(attempt);
    return event == null ? null : event.daemon();
  }
}
