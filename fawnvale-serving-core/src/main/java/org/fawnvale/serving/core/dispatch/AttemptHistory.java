package org.fawnvale.serving.core.dispatch;

import org.fawnvale.serving.core.model.Route;

/** The attempts of one request so far, and whether another one is allowed. */
public final class AttemptHistory {

  private static final int MAX_REJECTIONS = 3;

  private final int maxExecuted;
  private int executed;
  private int rejections;
  private boolean mayHaveRun;

  /** Creates the history of a caller's request, which may run as often as its route allows. */
  public AttemptHistory() {
    this(0, Integer.MAX_VALUE);
  }

  private AttemptHistory(int earlier, int maxExecuted) {
    this.maxExecuted = maxExecuted;
    executed = earlier;
    mayHaveRun = earlier > 0;
  }

  /**
   * Creates the history of a request that another daemon has forwarded. It may run once here: the
   * other daemon counts the attempts, also where it learns no more than that this one has broken
   * off.
   *
   * @param earlier attempts made before that may have run the request
   */
  public static AttemptHistory ofForwarded(int earlier) {
    return new AttemptHistory(earlier, earlier + 1);
  }

  /**
   * Records an attempt that has ended, or was moved, after its upstream may have run the request.
   */
  public void recordExecution() {
    executed++;
    mayHaveRun = true;
  }

  /** Records that an attempt has ended whose upstream did not run the request. */
  public void recordRejection() {
    rejections++;
  }

  /** Records that the current attempt may have run the request, before it has ended. */
  public void markMayHaveRun() {
    mayHaveRun = true;
  }

  /**
   * Returns whether any upstream may have run the request.
   *
   * @return false only if no upstream has run it
   */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /**
   * Returns whether no attempt has reached an upstream that may have run the request.
   *
   * @return true if the request can still be refused as not run
   */
  public boolean isUntouched() {
    return !mayHaveRun && executed == 0;
  }

  /**
   * Returns whether an attempt has been executed.
   *
   * @return true if the next attempt repeats work that an upstream has begun
   */
  public boolean hasExecuted() {
    return executed > 0;
  }

  /**
   * Returns the number of attempts that may have run the request.
   *
   * @return their number, those of another daemon included
   */
  public int executedCount() {
    return executed;
  }

  /**
   * Returns the number of attempts so far.
   *
   * @return executed and rejected attempts
   */
  public int count() {
    return executed + rejections;
  }

  /**
   * Returns whether another attempt is allowed here after one that has been executed.
   *
   * @param route the route of the request
   * @return true if the request may run once more
   */
  public boolean allowsRetryAfterExecution(Route route) {
    return route.repeatable() && executed < Math.min(route.maxAttempts(), maxExecuted);
  }

  /**
   * Returns whether the route allows another attempt while the current one is still executing: here
   * or, if the request was forwarded, by the daemon that has forwarded it.
   *
   * @param route the route of the request
   * @return true if the request may run once more
   */
  public boolean allowsRetryOfCurrent(Route route) {
    return route.repeatable() && executed + 1 < route.maxAttempts();
  }

  /**
   * Returns whether the request may be sent once more after rejections.
   *
   * @return true until too many upstreams have rejected it
   */
  public boolean allowsRetryAfterRejection() {
    return rejections <= MAX_REJECTIONS;
  }
}
