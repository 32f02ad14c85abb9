package org.fawnvale.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/**
 * Checks that the daemons which know a worker's advertised limit together send it, in any window of
 * four seconds, at most one and a half times the requests that the limit allows, plus five.
 */
final class LimitCheck {

  private static final long SECOND = 1_000_000_000L;
  private static final long WINDOW_NANOS = 4 * SECOND;

  /** How long after a limit is first advertised or changes all daemons must respect it. */
  private static final long KNOWN_AFTER_NANOS = 3 * SECOND;

  /** How long after the first response with the limit a daemon is counted as knowing it. */
  private static final long TOLD_BEFORE_NANOS = SECOND / 2;

  private static final double ALLOWED_SHARE = 1.5;
  private static final int ALLOWED_BESIDE = 5;

  /** The limit that daemons assume when they cannot parse the advertised one. */
  private static final double GARBLED_PER_SECOND = 1;

  private static final Pattern DECIMAL = Pattern.compile("\\d{1,9}(\\.\\d{1,20})?");

  /** A period in which a worker's responses advertise the same limit. */
  private static final class Stretch {
    final String worker;
    final long fromNanos;
    final double perSecond;
    final Map<Integer, Long> toldNanos = new HashMap<>();
    long lastNanos;

    Stretch(String worker, long fromNanos, double perSecond) {
      this.worker = worker;
      this.fromNanos = fromNanos;
      this.perSecond = perSecond;
      this.lastNanos = fromNanos;
    }

    int allowed() {
      double seconds = WINDOW_NANOS / (double) SECOND;
      return (int) (ALLOWED_SHARE * perSecond * seconds) + ALLOWED_BESIDE;
    }
  }

  private LimitCheck() {}

  static Verdict kept(Story story) {
    Verdict.Builder verdict = new Verdict.Builder();
    Map<String, Event.Sent> sent = story.sent();
    List<Event.Arrived> arrivals = story.all(Event.Arrived.class);
    for (Stretch stretch : stretches(story, sent)) {
      judge(story, stretch, counted(stretch, arrivals, sent), verdict);
    }
    return verdict.build();
  }

  private static double read(String limit) {
    return DECIMAL.matcher(limit).matches() ? Double.parseDouble(limit) : GARBLED_PER_SECOND;
  }

  /** A different limit, a withdrawn limit or a restart of the worker ends a period. */
  private static List<Stretch> stretches(Story story, Map<String, Event.Sent> sent) {
    List<Stretch> all = new ArrayList<>();
    Map<String, Stretch> open = new HashMap<>();
    for (Event event : story.events()) {
      if (event instanceof Event.Started started) {
        open.remove(started.worker());
      } else if (event instanceof Event.NamedLimit named && named.isOver()) {
        open.remove(named.worker());
      } else if (event instanceof Event.NamedLimit named) {
        Stretch stretch = stretchOf(named, open.get(named.worker()));
        if (open.put(named.worker(), stretch) != stretch) {
          all.add(stretch);
        }
        stretch.lastNanos = named.atNanos();
        Integer daemon = Story.daemonOf(sent, named.attempt());
        if (daemon != null) {
          stretch.toldNanos.putIfAbsent(daemon, named.atNanos());
        }
      }
    }
    return all;
  }

  private static Stretch stretchOf(Event.NamedLimit named, @Nullable Stretch open) {
    double perSecond = read(named.limit());
    boolean same = open != null && open.perSecond == perSecond;
    return same && open != null ? open : new Stretch(named.worker(), named.atNanos(), perSecond);
  }

  /** Selects the arrivals from daemons that know the limit, after the propagation time. */
  private static List<Event.Arrived> counted(
      Stretch stretch, List<Event.Arrived> arrivals, Map<String, Event.Sent> sent) {
    List<Event.Arrived> counted = new ArrayList<>();
    for (Event.Arrived arrived : arrivals) {
      Integer daemon = Story.daemonOf(sent, arrived.attempt());
      Long told = daemon == null ? null : stretch.toldNanos.get(daemon);
      boolean within =
          arrived.atNanos() >= stretch.fromNanos + KNOWN_AFTER_NANOS
              && arrived.atNanos() <= stretch.lastNanos;
      if (arrived.worker().equals(stretch.worker)
          && within
          && told != null
          && arrived.atNanos() - told >= TOLD_BEFORE_NANOS) {
        counted.add(arrived);
      }
    }
    return counted;
  }

  private static void judge(
      Story story, Stretch stretch, List<Event.Arrived> counted, Verdict.Builder verdict) {
    for (int first = 0; first < counted.size(); first++) {
      long from = counted.get(first).atNanos();
      int last = first;
      while (last + 1 < counted.size() && counted.get(last + 1).atNanos() - from < WINDOW_NANOS) {
        last++;
      }
      verdict.tempted();
      int count = last - first + 1;
      if (count > stretch.allowed() && !wasAnySignalled(story, stretch, from)) {
        verdict.breach(
            stretch.worker + " names " + stretch.perSecond + " and got " + count + " in 4 s");
        return;
      }
    }
  }

  /** A restart or freeze of a daemon that knows the limit exempts the window, as documented. */
  private static boolean wasAnySignalled(Story story, Stretch stretch, long fromNanos) {
    return stretch.toldNanos.keySet().stream()
        .anyMatch(
            daemon ->
                story.wasSignalled(
                    daemon, fromNanos - KNOWN_AFTER_NANOS, fromNanos + WINDOW_NANOS));
  }
}
