package org.fawnvale.serving.core.watch;

/**
 * Decides when a daemon that has just started repeats a call to the store whose answer seems to be
 * lost, although the store answers other calls. The decision uses no timer, because the timeout of
 * the call and the backoff after it may both run a second late.
 *
 * <p>A call is repeated once until it is answered or has failed, so that a store that is slow for
 * all calls still gets the whole timeout to answer.
 */
public final class StartupRetries {

  private StartupPeriod period = StartupPeriod.NONE;
  private boolean pending;
  private boolean repeated;
  private long sinceNanos;

  /**
   * Begins the period in which calls are repeated.
   *
   * @param nowNanos the monotonic time, in nanoseconds
   */
  public void start(long nowNanos) {
    period = new StartupPeriod(nowNanos);
  }

  /**
   * Records that a call was sent that the store should answer without a wait.
   *
   * @param nowNanos the monotonic time, in nanoseconds
   */
  public void onSent(long nowNanos) {
    pending = true;
    sinceNanos = nowNanos;
  }

  /** Records that the store has answered the call. */
  public void onAnswer() {
    pending = false;
    repeated = false;
  }

  /**
   * Records that the call has failed and that the next one waits for a backoff.
   *
   * @param nowNanos the monotonic time, in nanoseconds
   */
  public void onFailure(long nowNanos) {
    pending = true;
    repeated = false;
    sinceNanos = nowNanos;
  }

  /**
   * Returns whether the call must be repeated now; the caller then repeats it.
   *
   * @param otherAnswerNanos when the store last answered a call of another kind, in monotonic time
   * @param nowNanos the monotonic time, in nanoseconds
   * @return true at most once until the call is answered or has failed
   */
  public boolean takeDue(long otherAnswerNanos, long nowNanos) {
    boolean isLost =
        pending
            && otherAnswerNanos - sinceNanos > 0
            && nowNanos - sinceNanos >= StartupPeriod.ANSWER_NANOS;
    if (!isLost || repeated || !period.includes(nowNanos)) {
      return false;
    }
    repeated = true;
    return true;
  }
}
