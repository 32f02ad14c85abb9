package org.fawnvale.serving.core.dispatch;

/**
 * What one daemon has observed of one upstream through its own requests. Not thread-safe. All times
 * are in nanoseconds of the monotonic clock.
 */
public final class UpstreamState {

  /** The weight of the newest request in the moving average of failures. */
  private static final double FAILURE_WEIGHT = 0.3;

  /**
   * The first backoff after an upstream has rejected a request, in nanoseconds: about the time
   * after which a full head completes a request and has a free slot (25 events at 6 ms a step, 18
   * slots).
   */
  private static final long FIRST_BACKOFF_NANOS = 100_000_000L;

  /**
   * The shortest backoff that this daemon reports to other daemons, in nanoseconds; the third
   * rejection in a row reaches it. A head that was full only briefly has a free slot again before a
   * report would arrive.
   */
  private static final long REPORTED_BACKOFF_NANOS = 4 * FIRST_BACKOFF_NANOS;

  /**
   * The longest backoff, in nanoseconds. A head that has recovered stays unused for this long at
   * most.
   */
  private static final long MAX_BACKOFF_NANOS = 2_000_000_000L;

  private int inFlight;
  private int streaming;
  private int excluded;
  private long lastProgressNanos;
  private long lastResponseNanos;
  private long suspectSinceNanos;
  private boolean suspect;
  private boolean stalled;
  private long lastSignNanos;
  private boolean paused;
  private boolean hasResponded;
  private double failureShare;
  private long waitingPromptTokens;
  private long backoffNanos;
  private long backedOffUntilNanos;

  /**
   * Counts a request that was sent.
   *
   * @param nowNanos the monotonic time
   */
  public void requestSent(long nowNanos) {
    if (inFlight == excluded) {
      lastProgressNanos = nowNanos;
      lastSignNanos = nowNanos;
    }
    inFlight++;
  }

  /**
   * Counts the prompt of a request that was sent, until {@link #promptAnswered}.
   *
   * @param tokens the length of the prompt
   */
  public void promptSent(int tokens) {
    waitingPromptTokens += tokens;
  }

  /**
   * Ends the count of a prompt: the first event has arrived, or the request has ended without one.
   *
   * @param tokens the length given to {@link #promptSent}
   */
  public void promptAnswered(int tokens) {
    waitingPromptTokens -= tokens;
  }

  /**
   * Returns the prompt tokens that were sent and have not led to an event yet.
   *
   * @return their number
   */
  public long waitingPromptTokens() {
    return waitingPromptTokens;
  }

  /** Counts a request whose response has started to arrive. */
  public void responseStarted() {
    streaming++;
  }

  /**
   * Counts the end of a request.
   *
   * @param hadStarted whether its response had started to arrive
   * @param failed whether the upstream failed
   */
  public void requestEnded(boolean hadStarted, boolean failed) {
    inFlight--;
    if (hadStarted) {
      streaming--;
    }
    failureShare += FAILURE_WEIGHT * ((failed ? 1 : 0) - failureShare);
  }

  /**
   * Excludes a stream that has started: its pauses are this daemon's own, since it reads the stream
   * only as its caller does.
   */
  public void streamExcluded() {
    excluded++;
  }

  /**
   * Includes a stream that was excluded. While no other stream was included, the time without
   * progress begins anew.
   *
   * @param nowNanos the monotonic time
   */
  public void streamIncluded(long nowNanos) {
    if (streaming == excluded) {
      lastProgressNanos = nowNanos;
      lastSignNanos = nowNanos;
    }
    excluded--;
  }

  /**
   * Starts a backoff after the upstream has rejected a request. Without it, an upstream that
   * rejects everything would look idle and attract most requests: six of fourteen such heads drew
   * 353 of 478 first attempts. The backoff doubles with each rejection after the previous one has
   * ended; rejections during a backoff change nothing.
   *
   * @param nowNanos the monotonic time
   */
  public void requestRejected(long nowNanos) {
    if (isBackedOff(nowNanos)) {
      return;
    }
    backoffNanos =
        backoffNanos == 0 ? FIRST_BACKOFF_NANOS : Math.min(MAX_BACKOFF_NANOS, 2 * backoffNanos);
    backedOffUntilNanos = nowNanos + backoffNanos;
  }

  /** Ends the backoff, since the upstream has accepted a request. */
  public void requestAccepted() {
    backoffNanos = 0;
  }

  /**
   * Tells whether other upstreams are preferred because this one has just rejected a request.
   *
   * @param nowNanos the monotonic time
   * @return true during the backoff
   */
  public boolean isBackedOff(long nowNanos) {
    return backoffNanos > 0 && backedOffUntilNanos - nowNanos > 0;
  }

  /**
   * Tells whether the upstream has rejected requests repeatedly.
   *
   * @param nowNanos the monotonic time
   * @return true during a backoff that is long enough to be reported to other daemons
   */
  public boolean isRejecting(long nowNanos) {
    return backoffNanos >= REPORTED_BACKOFF_NANOS && isBackedOff(nowNanos);
  }

  /**
   * Records that any event or response has arrived from the upstream, and clears a suspicion.
   *
   * @param nowNanos the monotonic time
   */
  public void recordProgress(long nowNanos) {
    lastResponseNanos = nowNanos;
    hasResponded = true;
    lastProgressNanos = nowNanos;
    lastSignNanos = nowNanos;
    suspect = false;
    paused = false;
  }

  /**
   * Marks the upstream as suspected of having stalled.
   *
   * @param nowNanos the monotonic time
   */
  public void markSuspect(long nowNanos) {
    paused = false;
    stalled = false;
    if (!suspect) {
      suspect = true;
      suspectSinceNanos = nowNanos;
    }
  }

  /**
   * Marks the upstream as suspected because its streams stand still, though it has a connection.
   *
   * @param nowNanos the monotonic time
   */
  public void markStalled(long nowNanos) {
    markSuspect(nowNanos);
    stalled = true;
  }

  /**
   * Tells whether the silence of its streams is all that the upstream is suspected for.
   *
   * @return true while it is suspect for that reason
   */
  public boolean isStalled() {
    return suspect && stalled;
  }

  /** Clears a suspicion. */
  public void clearSuspicion() {
    suspect = false;
  }

  /** Ends a pause without any sign of the upstream: no request waits for one. */
  public void clearPause() {
    paused = false;
  }

  /** Marks the upstream as pausing: it is silent, and nothing shows that it has failed. */
  public void markPaused() {
    paused = true;
  }

  /**
   * Records that a paused upstream works again. The time without progress begins anew, since the
   * next events of its streams are still to come.
   *
   * @param nowNanos the monotonic time
   */
  public void pauseEnded(long nowNanos) {
    paused = false;
    lastProgressNanos = nowNanos;
  }

  /**
   * Tells whether the upstream pauses: others are preferred, but nothing is taken away from it.
   *
   * @return true while it pauses
   */
  public boolean isPaused() {
    return paused;
  }

  /**
   * Tells how long the upstream has owed this daemon an event, whatever it has answered to queries.
   *
   * @param nowNanos the monotonic time
   * @return nanoseconds since its last event or response, or since the first request after it
   */
  public long silentNanos(long nowNanos) {
    return nowNanos - lastSignNanos;
  }

  /**
   * Returns the requests of this daemon that are in flight at the upstream.
   *
   * @return their number
   */
  public int inFlight() {
    return inFlight;
  }

  /**
   * Returns the requests of this daemon whose responses have started to arrive.
   *
   * @return their number
   */
  public int streaming() {
    return streaming;
  }

  /**
   * Returns the requests in flight whose pauses show how the upstream works.
   *
   * @return their number
   */
  public int includedInFlight() {
    return inFlight - excluded;
  }

  /**
   * Returns the streams whose pauses show how the upstream works.
   *
   * @return their number
   */
  public int includedStreaming() {
    return streaming - excluded;
  }

  /**
   * Tells whether an event or a response has arrived from the upstream recently, which proves that
   * it could be reached.
   *
   * @param withinNanos the longest time since then, in nanoseconds
   * @param nowNanos the monotonic time
   * @return true when one has arrived within that time
   */
  public boolean progressedWithin(long withinNanos, long nowNanos) {
    return hasResponded && nowNanos - lastResponseNanos < withinNanos;
  }

  /**
   * Returns when the upstream last made progress, or was sent a request while it had none in
   * flight.
   *
   * @return the monotonic time
   */
  public long lastProgressNanos() {
    return lastProgressNanos;
  }

  /**
   * Tells whether the upstream is suspected of having stalled.
   *
   * @return true while it is suspect
   */
  public boolean isSuspect() {
    return suspect;
  }

  /**
   * Returns since when the upstream has been suspect.
   *
   * @return the monotonic time
   */
  public long suspectSinceNanos() {
    return suspectSinceNanos;
  }

  /**
   * Returns the moving average of the share of failed requests.
   *
   * @return 0 to 1
   */
  public double failureShare() {
    return failureShare;
  }
}
