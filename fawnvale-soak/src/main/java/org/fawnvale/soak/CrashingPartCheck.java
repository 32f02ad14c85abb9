package org.fawnvale.soak;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Checks that prompt parts that crash workers are stopped, and sound requests beside them served.
 */
final class CrashingPartCheck {

  private static final int CRASHES = 5;
  private static final int MAX_SENT = 3;

  /** How long the daemons may take to learn of a crash. */
  private static final long CONTACT_NANOS = 3_000_000_000L;

  /**
   * Requests with the part, and served ones without it, from which on shares can be compared. Where
   * hardly any request is served, something else refuses both.
   */
  private static final int MIN_COMPARED = 20;

  private CrashingPartCheck() {}

  /**
   * From 3 s after the fifth worker crashed on a part, requests with it reach workers at most three
   * times, but for those of daemons that were signalled meanwhile.
   */
  static Verdict stopped(RunHistory history) {
    Verdict.Builder verdict = new Verdict.Builder();
    Map<String, Long> fifthCrashes = fifthCrashes(history);
    Map<String, Event.Sent> sent = history.sent();
    Map<String, Integer> late = new HashMap<>();
    for (Event.Arrived arrived : history.all(Event.Arrived.class)) {
      Event.Sent request = sent.get(arrived.attempt());
      if (request == null) {
        continue;
      }
      String part = crashingPartOf(arrived.attempt());
      long at = arrived.atNanos();
      if (isLater(at, fifthCrashes.get(part))
          && !history.wasSignalled(request.daemon(), at - CONTACT_NANOS, at)) {
        late.merge(part, 1, Integer::sum);
      }
    }
    fifthCrashes.keySet().forEach(part -> verdict.countCase());
    late.forEach(
        (part, count) -> {
          if (count > MAX_SENT) {
            verdict.addBreach("part " + part + " reached workers " + count + " times more");
          }
        });
    return verdict.build();
  }

  private static boolean isLater(long atNanos, @Nullable Long crashNanos) {
    return crashNanos != null && atNanos > crashNanos + CONTACT_NANOS;
  }

  private static @Nullable String crashingPartOf(String attempt) {
    return PromptParts.crashingPartOf(Callers.bodyOf(attempt));
  }

  private static Map<String, Long> fifthCrashes(RunHistory history) {
    Map<String, Integer> crashes = new HashMap<>();
    Map<String, Long> fifth = new HashMap<>();
    for (Event.Ended end : history.all(Event.Ended.class)) {
      String part = crashingPartOf(end.attempt());
      if (part != null && crashes.merge(part, 1, Integer::sum) == CRASHES) {
        fifth.put(part, end.atNanos());
      }
    }
    return fifth;
  }

  /**
   * While requests with crashing parts still come, from 6 s after the last crash on one of them,
   * sound requests with their first part are served at least half as often as sound requests with
   * other first parts at the same time, where enough of those are.
   */
  static Verdict othersServed(RunHistory history) {
    Verdict.Builder verdict = new Verdict.Builder();
    Map<String, Long> lastCrashes = new HashMap<>();
    for (Event.Ended end : history.all(Event.Ended.class)) {
      String part = crashingPartOf(end.attempt());
      if (part != null) {
        lastCrashes.put(part, end.atNanos());
      }
    }
    Map<String, Event.Sent> lastSent = new HashMap<>();
    for (Event.Sent request : history.all(Event.Sent.class)) {
      String part = crashingPartOf(request.attempt());
      if (part != null) {
        lastSent.put(part, request);
      }
    }
    lastCrashes.forEach(
        (part, crash) -> {
          Event.Sent last = lastSent.get(part);
          if (last != null) {
            judge(history, crash + 2 * CONTACT_NANOS, last, verdict);
          }
        });
    return verdict.build();
  }

  /** Repeats of one deadly body share its first part, and are refused as a whole. */
  private static boolean isSound(String body) {
    return PromptParts.crashingPartOf(body) == null
        && !body.startsWith(Callers.CRASHING_BODY_PREFIX);
  }

  private static void judge(
      RunHistory history, long fromNanos, Event.Sent lastCrashing, Verdict.Builder verdict) {
    String firstPart = PromptParts.firstPartOf(Callers.bodyOf(lastCrashing.attempt()));
    Set<String> served = new HashSet<>();
    history.all(Event.Answered.class).stream()
        .filter(answered -> answered.answer().isSuccess())
        .forEach(answered -> served.add(answered.attempt()));
    ServedShare same = new ServedShare();
    ServedShare others = new ServedShare();
    for (Event.Sent request : history.all(Event.Sent.class)) {
      boolean within =
          request.atNanos() >= fromNanos && request.atNanos() <= lastCrashing.atNanos();
      String body = Callers.bodyOf(request.attempt());
      if (within && request.kind() == RequestKind.STREAM && isSound(body)) {
        ServedShare share = PromptParts.firstPartOf(body).equals(firstPart) ? same : others;
        share.count(served.contains(request.attempt()));
      }
    }
    if (same.sent() < MIN_COMPARED || others.served() < MIN_COMPARED) {
      return;
    }
    verdict.countCase();
    if (same.share() < others.share() / 2) {
      verdict.addBreach("sound requests with " + firstPart + ": " + same + ", others " + others);
    }
  }
}
