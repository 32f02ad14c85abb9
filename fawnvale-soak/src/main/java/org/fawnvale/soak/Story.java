package org.fawnvale.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * All that was seen in a run, in order.
 *
 * @param events the events, earliest first
 */
record Story(List<Event> events) {

  Story {
    List<Event> sorted = new ArrayList<>(events);
    sorted.sort(Comparator.comparingLong(Event::atNanos));
    events = List.copyOf(sorted);
  }

  <E extends Event> List<E> all(Class<E> type) {
    return events.stream().filter(type::isInstance).map(type::cast).toList();
  }

  /** Each attempt as its caller sent it. */
  Map<String, Event.Sent> sent() {
    Map<String, Event.Sent> sent = new HashMap<>();
    all(Event.Sent.class).forEach(event -> sent.put(event.attempt(), event));
    return sent;
  }

  /** The workers at which each attempt began to run, in order. */
  Map<String, List<String>> beganAt() {
    Map<String, List<String>> began = new HashMap<>();
    for (Event.Began event : all(Event.Began.class)) {
      began.computeIfAbsent(event.attempt(), id -> new ArrayList<>()).add(event.worker());
    }
    return began;
  }

  /** Tells whether a daemon was stopped, frozen or started within a time. */
  boolean wasSignalled(int daemon, long fromNanos, long untilNanos) {
    return all(Event.Signalled.class).stream()
        .anyMatch(
            event ->
                event.daemon() == daemon
                    && event.atNanos() >= fromNanos
                    && event.atNanos() <= untilNanos);
  }

  /** When the life of a worker that was seen at some time ended: what it asked for ends with it. */
  long endOfLife(String worker, long seenNanos) {
    return all(Event.Started.class).stream()
        .filter(event -> event.worker().equals(worker) && event.atNanos() > seenNanos)
        .mapToLong(Event.Started::atNanos)
        .min()
        .orElse(Long.MAX_VALUE);
  }

  /** The daemon that an attempt was sent to; null when its sending was not seen. */
  static @Nullable Integer daemonOf(Map<String, Event.Sent> sent, String attempt) {
    Event.Sent event = sent.get(attempt);
    return event == null ? null : event.daemon();
  }
}
