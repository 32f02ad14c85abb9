package org.fawnvale.serving.core.dispatch;

/** What one daemon has seen of one upstream through its own requests. */
public final class UpstreamState {

  private static final double FAILURE_WEIGHT = 0.3;

  /**
   * The first pause after an upstream has turned a request away, in nanoseconds: a full head has a
   * place again about this soon (25 events at 6 ms a step, 18 places).
   */
  private static final long FIRST_BACKOFF_NANOS = 100_000_000L;

  /**
   * The shortest pause that other daemons are told of, in nanoseconds: the third turn in a row. A
   * head that was full for a moment has a place again before a note of it arrives.
   */
  private static final long TOLD_BACKOFF_NANOS = 4 * FIRST_BACKOFF_NANOS;

  /** The longest pause: what a head that is well again is missed for at most. In nanoseconds. */
  private static final long LONGEST_BACKOFF_NANOS = 2_000_000_000L;

  private int inFlight;
  private int streaming;
  private long lastProgressNanos;
  private long lastMovedNanos;
  private long suspectSinceNanos;
  private boolean suspect;
  private boolean everMoved;
  private double failureShare;
  private long backoffNanos;
  private long backedOffUntilNanos;

  /**
   * Counts a request that was sent.
   *
   * @param nowNanos the steady time
   */
  public void requestSent(long nowNanos) {
    if (inFlight == 0) {
      lastProgressNanos = nowNanos;
    }
    inFlight++;
  }

  /** Counts a request whose answer has begun. */
  public void responseStarted() {
    streaming++;
  }

  /**
   * Counts the end of a request.
   *
   * @param hadBegun whether its answer had begun
   * @param failed whether the upstream failed
   */
  public void requestEnded(boolean hadBegun, boolean failed) {
    inFlight--;
    if (hadBegun) {
      streaming--;
    }
    failureShare += FAILURE_WEIGHT * ((failed ? 1 : 0) - failureShare);
  }

  /**
   * Counts a request that was turned away. An upstream that turns away answers at once and has
   * nothing in flight, so by its load it would be chosen first: six of fourteen heads that turned
   * all away drew 353 of 478 first tries. The pause doubles with each turn after the last one.
   *
   * @param nowNanos the steady time
   */
  public void requestRejected(long nowNanos) {
    if (isBackedOff(nowNanos)) {
      return;
    }
    backoffNanos =
        backoffNanos == 0 ? FIRST_BACKOFF_NANOS : Math.min(LONGEST_BACKOFF_NANOS, 2 * backoffNanos);
    backedOffUntilNanos = nowNanos + backoffNanos;
  }

  /** Counts a request that the upstream has taken. */
  public void requestAccepted() {
    backoffNanos = 0;
  }

  /**
   * Tells whether others should be asked first, since it has just turned a request away.
   *
   * @param nowNanos the steady time
   * @return true during the pause
   */
  public boolean isBackedOff(long nowNanos) {
    return backoffNanos > 0 && backedOffUntilNanos - nowNanos > 0;
  }

  /**
   * Tells whether it turns requests away again and again.
   *
   * @param nowNanos the steady time
   * @return true during a pause that other daemons should know of
   */
  public boolean isRejecting(long nowNanos) {
    return backoffNanos >= TOLD_BACKOFF_NANOS && isBackedOff(nowNanos);
  }

  /**
   * Notes that the upstream has moved: any event or answer.
   *
   * @param nowNanos the steady time
   */
  public void recordProgress(long nowNanos) {
    lastMovedNanos = nowNanos;
    everMoved = true;
    lastProgressNanos = nowNanos;
    suspect = false;
  }

  /**
   * Holds the upstream to be standing still.
   *
   * @param nowNanos the steady time
   */
  public void markSuspect(long nowNanos) {
    if (!suspect) {
      suspect = true;
      suspectSinceNanos = nowNanos;
    }
  }

  /** Trusts the upstream again. */
  public void clearSuspicion() {
    suspect = false;
  }

  /**
   * Requests of this daemon that are at the upstream.
   *
   * @return their number
   */
  public int inFlight() {
    return inFlight;
  }

  /**
   * Requests of this daemon whose answers have begun there.
   *
   * @return their number
   */
  public int streaming() {
    return streaming;
  }

  /**
   * Tells whether an event or an answer came from the upstream a moment ago.
   *
   * @param withinNanos how long ago at most
   * @param nowNanos the steady time
   * @return true when it surely could be reached then
   */
  public boolean progressedWithin(long withinNanos, long nowNanos) {
    return everMoved && nowNanos - lastMovedNanos < withinNanos;
  }

  /**
   * When the upstream last moved, or was sent its first request after a rest.
   *
   * @return the steady time, in nanoseconds
   */
  public long lastProgressNanos() {
    return lastProgressNanos;
  }

  /**
   * Tells whether it is held to be standing still.
   *
   * @return true while it is suspect
   */
  public boolean isSuspect() {
    return suspect;
  }

  /**
   * Since when it is suspect.
   *
   * @return the steady time, in nanoseconds
   */
  public long suspectSinceNanos() {
    return suspectSinceNanos;
  }

  /**
   * The recent share of failed requests.
   *
   * @return 0 to 1
   */
  public double failureShare() {
    return failureShare;
  }
}
