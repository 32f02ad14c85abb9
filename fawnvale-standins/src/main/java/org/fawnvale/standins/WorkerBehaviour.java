package org.fawnvale.standins;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import org.jspecify.annotations.Nullable;

/**
 * Configurable behaviour of a worker of the users' platform: rejections, drops, limits, leaving,
 * cold start.
 */
final class WorkerBehaviour {

  private static final String LIMIT_HEADER = "Server-Limit";
  private static final String COLD_HEADER = "X-Cold-Remaining-Ms";
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final int OK = 200;
  private static final int FAILED = 500;

  /** Statuses that callers take for the promise that nothing has run. */
  private static final List<Integer> PROMISES = List.of(503, 429, 408);

  private static final int UNAVAILABLE = 503;
  private static final double MILLIS_PER_SECOND = 1_000;

  private long rejectsUntilNanos;
  private long retryAfterMillis;
  private boolean leaving;
  private long dropsUntilNanos;
  private double dropShare;
  private long unframedUntilNanos;
  private double unframedShare;
  private long failsUntilNanos;
  private double failureShare;
  private long endlessUntilNanos;
  private double endlessShare;
  private long repeatsUntilNanos;
  private double repeatedShare;
  private double fullShare;
  private long cutsUntilNanos;
  private double cutShare;
  private long spoilsUntilNanos;
  private double spoiltShare;
  private double promisedShare;
  private @Nullable String limit;
  private long coldUntilNanos;

  /** Rejects all requests for some time, with a Retry-After pause; 0 for no pause. */
  synchronized void turnAway(long forMillis, long pauseMillis) {
    rejectsUntilNanos = System.nanoTime() + forMillis * 1_000_000L;
    retryAfterMillis = pauseMillis;
  }

  /** Drops a share of the responses for some time, after the requests have run. */
  synchronized void loseAnswers(long forMillis, double share) {
    dropsUntilNanos = System.nanoTime() + forMillis * 1_000_000L;
    dropShare = share;
  }

  /** Decides at random whether the next response is dropped. */
  synchronized boolean dropsNextResponse() {
    return isActive(dropsUntilNanos) && ThreadLocalRandom.current().nextDouble() < dropShare;
  }

  /** Sends a share of the responses without a length or chunks for some time. */
  synchronized void endAnswersWithConnection(long forMillis, double share) {
    unframedUntilNanos = System.nanoTime() + forMillis * NANOS_PER_MILLI;
    unframedShare = share;
  }

  /** Decides at random whether the next response ends with its connection. */
  synchronized boolean endsNextWithConnection() {
    return isActive(unframedUntilNanos) && ThreadLocalRandom.current().nextDouble() < unframedShare;
  }

  /** Decides at random whether the next stream is broken off inside an event. */
  synchronized boolean breaksOffNextStream() {
    return endsNextWithConnection();
  }

  /** Answers a share of the requests with an error for some time. */
  synchronized void fail(long forMillis, double share) {
    failsUntilNanos = System.nanoTime() + forMillis * NANOS_PER_MILLI;
    failureShare = share;
  }

  /**
   * Decides at random whether the next request fails, or is answered without an end.
   *
   * @return the answer; null if the request is answered soundly
   */
  synchronized @Nullable Reply nextFaultyAnswer() {
    if (isActive(failsUntilNanos) && ThreadLocalRandom.current().nextDouble() < failureShare) {
      return Reply.empty(FAILED);
    }
    return sendsNextWithoutEnd() ? EndlessAnswers.next() : null;
  }

  /** Sends a share of the responses without an end for some time. */
  synchronized void sendEndlessAnswers(long forMillis, double share) {
    endlessUntilNanos = System.nanoTime() + forMillis * NANOS_PER_MILLI;
    endlessShare = share;
  }

  /** Decides at random whether the next response never ends. */
  synchronized boolean sendsNextWithoutEnd() {
    return isActive(endlessUntilNanos) && ThreadLocalRandom.current().nextDouble() < endlessShare;
  }

  /**
   * Sends a share of the responses a second time, late, and rejects a share of the requests as a
   * worker does that is full at times.
   */
  synchronized void repeatAnswers(long forMillis, double share, double rejectedShare) {
    repeatsUntilNanos = System.nanoTime() + forMillis * NANOS_PER_MILLI;
    repeatedShare = share;
    fullShare = rejectedShare;
  }

  /** Damages some of the responses, of whatever kind, for some time. */
  synchronized void damageAnswers(long forMillis, AnswerDamage damage) {
    long untilNanos = System.nanoTime() + forMillis * NANOS_PER_MILLI;
    if (damage.cut() > 0) {
      cutsUntilNanos = untilNanos;
      cutShare = damage.cut();
    } else {
      spoilsUntilNanos = untilNanos;
      spoiltShare = damage.spoilt();
      promisedShare = damage.promised();
    }
  }

  private synchronized Reply withFalsePromise(Reply reply) {
    boolean mayPromise = reply.body() != null && reply.status() == OK;
    double draw = ThreadLocalRandom.current().nextDouble();
    return mayPromise && isActive(spoilsUntilNanos) && draw < promisedShare
        ? reply.withStatus(PROMISES.get(ThreadLocalRandom.current().nextInt(PROMISES.size())))
        : reply;
  }

  private synchronized Delivery nextDelivery() {
    double draw = ThreadLocalRandom.current().nextDouble();
    if (isActive(spoilsUntilNanos) && draw < spoiltShare) {
      return Delivery.SPOILT;
    }
    if (isActive(cutsUntilNanos) && draw < cutShare) {
      return Delivery.CUT;
    }
    return isActive(repeatsUntilNanos) && draw < repeatedShare ? Delivery.AGAIN : Delivery.ONCE;
  }

  private boolean isFull() {
    return isActive(repeatsUntilNanos) && ThreadLocalRandom.current().nextDouble() < fullShare;
  }

  private static boolean isActive(long untilNanos) {
    return untilNanos != 0 && untilNanos - System.nanoTime() > 0;
  }

  /** Sets the limit that all responses advertise, as a header value; null for none. */
  synchronized void nameLimit(@Nullable String written) {
    limit = written;
  }

  /** Makes the worker cold for some time, which its entry and all its responses state. */
  synchronized void turnCold(long forMillis) {
    coldUntilNanos = System.nanoTime() + forMillis * NANOS_PER_MILLI;
  }

  /** Returns how much longer the worker is cold, in milliseconds; 0 when it is warm. */
  synchronized long coldRemainingMillis() {
    long remaining = coldUntilNanos == 0 ? 0 : coldUntilNanos - System.nanoTime();
    return Math.max(0, remaining / NANOS_PER_MILLI);
  }

  synchronized void leave() {
    leaving = true;
  }

  synchronized boolean isLeaving() {
    return leaving;
  }

  synchronized void restart() {
    rejectsUntilNanos = 0;
    dropsUntilNanos = 0;
    unframedUntilNanos = 0;
    failsUntilNanos = 0;
    endlessUntilNanos = 0;
    repeatsUntilNanos = 0;
    cutsUntilNanos = 0;
    spoilsUntilNanos = 0;
    leaving = false;
    limit = null;
    coldUntilNanos = 0;
  }

  /** Returns the response to a rejected request; null when requests are accepted. */
  synchronized @Nullable Reply rejection() {
    boolean rejectsAll = isActive(rejectsUntilNanos);
    if (!rejectsAll && !isFull()) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("X-Not-Executed", "shed");
    if (rejectsAll && retryAfterMillis > 0) {
      double seconds = retryAfterMillis / MILLIS_PER_SECOND;
      headers.put("Retry-After", String.format(Locale.ROOT, "%.3f", seconds));
    }
    return Reply.empty(UNAVAILABLE).with(headers);
  }

  /**
   * Completes the response to a call: it names the call's attempt if the call does, has the headers
   * that announce the worker's state, and may be sent a second time, cut or spoilt.
   */
  Reply complete(Call call, Reply reply) {
    String attempt = call.header(UsersConfiguration.ATTEMPT_HEADER);
    Reply named =
        attempt == null
            ? reply
            : withFalsePromise(reply).and(UsersConfiguration.ATTEMPT_HEADER, attempt);
    Reply announced = withAnnouncements(named);
    return announced.delivered(nextDelivery());
  }

  /** Adds the headers that announce leaving, the limit and a cold start, when they are set. */
  synchronized Reply withAnnouncements(Reply reply) {
    Reply announced = leaving ? reply.and("Server-Leaving", "1") : reply;
    long cold = coldRemainingMillis();
    announced = cold == 0 ? announced : announced.and(COLD_HEADER, String.valueOf(cold));
    return limit == null ? announced : announced.and(LIMIT_HEADER, limit);
  }

  /** Returns the limit that a response advertises, as a header value; null for none. */
  static @Nullable String limitOf(Reply reply) {
    return reply.headers().get(LIMIT_HEADER);
  }

  /** Returns the Retry-After pause of a response, in milliseconds; 0 for none. */
  static long retryAfterMillisOf(Reply reply) {
    String seconds = reply.headers().get("Retry-After");
    return seconds == null ? 0 : (long) (Double.parseDouble(seconds) * MILLIS_PER_SECOND);
  }
}
