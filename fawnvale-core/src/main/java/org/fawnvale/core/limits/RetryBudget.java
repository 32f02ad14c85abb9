package org.fawnvale.core.limits;

/**
 * Limits retries to a share of the requests, so that retries cannot multiply the load.
 *
 * <p>Each first attempt adds a fraction of a retry to the budget, up to a limit. Thread-safe.
 */
public final class RetryBudget {

  /**
   * What a new budget holds: one retry, so that the first request can be repeated. A full reserve
   * would be given again with each start of a daemon.
   */
  private static final double FIRST_BALANCE = 1;

  private final double share;
  private final double reserve;
  private double balance;

  private RetryBudget(double share, double reserve) {
    this.share = share;
    this.reserve = reserve;
    this.balance = Math.min(FIRST_BALANCE, reserve);
  }

  /**
   * Creates a budget that holds one retry; requests fill its reserve.
   *
   * @param share retries that each request adds, 0 to 1
   * @param reserve maximum balance, in retries
   */
  public static RetryBudget create(double share, double reserve) {
    return new RetryBudget(share, reserve);
  }

  /** Records a first attempt. */
  public synchronized void earn() {
    balance = Math.min(reserve, balance + share);
  }

  /**
   * Takes one retry from the budget.
   *
   * @return false when the budget is exhausted and the caller must not retry
   */
  public synchronized boolean trySpend() {
    if (balance < 1) {
      return false;
    }
    balance--;
    return true;
  }
}
