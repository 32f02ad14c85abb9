package org.fawnvale.core.model;

/**
 * The lease of the coordinator of one data centre; only its holder plans and sends orders.
 *
 * @param holder the daemon's name and incarnation
 * @param epoch increases with each new holder; the fencing token in every order
 * @param durationMillis how long other daemons wait after the last renewal before they take over,
 *     milliseconds
 * @param renewal number of renewals; its increase shows other daemons that the holder is running
 */
public record Lease(String holder, long epoch, long durationMillis, long renewal) {

  /** Returns the lease after one more renewal. */
  public Lease renewed() {
    return new Lease(holder, epoch, durationMillis, renewal + 1);
  }

  /**
   * Returns the lease with the next epoch, held by another daemon.
   *
   * @param newDurationMillis the lease duration of the new holder, milliseconds
   */
  public Lease takenBy(String newHolder, long newDurationMillis) {
    return new Lease(newHolder, epoch + 1, newDurationMillis, 0);
  }

  /** Returns the lease without a holder; any daemon may take it immediately. */
  public Lease released() {
    return new Lease("", epoch, 0, renewal + 1);
  }
}
