package org.fawnvale.core.limits;

/**
 * Limits retries to a share of the requests, so that retries cannot multiply the load.
 *
 * <p>Each first attempt adds a fraction of a retry to the budget, up to a limit. Thread-safe.
 */
public final class RetryBudget {

  private final double share;
  private final double reserve;
  private double balance;

  private RetryBudget(double share, double reserve) {
    this.share = share;
    this.reserve = reserve;
    this.balance = reserve;
  }

  /**
   * Creates a budget with a full reserve.
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
