package org.fawnvale.standins;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import org.jspecify.annotations.Nullable;

/** What a worker of the users' platform does to those that send it requests. */
final class WorkerMood {

  private static final String LIMIT = "Server-Limit";
  private static final int UNAVAILABLE = 503;
  private static final double MILLIS_PER_SECOND = 1_000;

  private long turnsAwayUntilNanos;
  private long restMillis;
  private boolean leaving;
  private long losesUntilNanos;
  private double lostShare;
  private @Nullable String limit;

  /** Turns all requests away for a while, and asks each sender for a rest; none when it is 0. */
  synchronized void turnAway(long forMillis, long rest) {
    turnsAwayUntilNanos = System.nanoTime() + forMillis * 1_000_000L;
    restMillis = rest;
  }

  /** Loses a share of its answers for a while, after it has run the requests. */
  synchronized void loseAnswers(long forMillis, double share) {
    losesUntilNanos = System.nanoTime() + forMillis * 1_000_000L;
    lostShare = share;
  }

  /** Tells whether the next answer is lost. */
  synchronized boolean losesNext() {
    boolean loses = losesUntilNanos != 0 && losesUntilNanos - System.nanoTime() > 0;
    return loses && ThreadLocalRandom.current().nextDouble() < lostShare;
  }

  /** Names a limit in all answers from now on, as it is written; none when it is null. */
  synchronized void nameLimit(@Nullable String written) {
    limit = written;
  }

  synchronized void leave() {
    leaving = true;
  }

  synchronized boolean isLeaving() {
    return leaving;
  }

  synchronized void beginAnew() {
    turnsAwayUntilNanos = 0;
    losesUntilNanos = 0;
    leaving = false;
    limit = null;
  }

  /** The answer to a request that is turned away; null when it is taken. */
  synchronized @Nullable Reply turnedAway() {
    if (turnsAwayUntilNanos == 0 || turnsAwayUntilNanos - System.nanoTime() <= 0) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("X-Not-Executed", "shed");
    if (restMillis > 0) {
      double seconds = restMillis / MILLIS_PER_SECOND;
      headers.put("Retry-After", String.format(Locale.ROOT, "%.3f", seconds));
    }
    return Reply.empty(UNAVAILABLE).with(headers);
  }

  /** Adds to any answer that the worker leaves, and the limit that it names. */
  synchronized Reply said(Reply reply) {
    Reply told = leaving ? reply.and("Server-Leaving", "1") : reply;
    return limit == null ? told : told.and(LIMIT, limit);
  }

  /** The limit that an answer names, as it is written; null when it names none. */
  static @Nullable String limitOf(Reply reply) {
    return reply.headers().get(LIMIT);
  }

  /** The rest that an answer asks for, in milliseconds; 0 when it asks for none. */
  static long restOf(Reply reply) {
    String seconds = reply.headers().get("Retry-After");
    return seconds == null ? 0 : (long) (Double.parseDouble(seconds) * MILLIS_PER_SECOND);
  }
}
