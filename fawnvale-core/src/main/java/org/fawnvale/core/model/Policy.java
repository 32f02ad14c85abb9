package org.fawnvale.core.model;

/**
 * The operators' weights for forming replicas.
 *
 * @param downtimeWeight cost of one second of downtime of a replica, for each of its nodes
 * @param strandedWeight cost of one second of a healthy node outside all complete replicas
 * @param graceSeconds grace period before a replica with a silent member is rebuilt, seconds; a
 *     member that still accepts connections is not replaced before the longest pause is over
 */
public record Policy(double downtimeWeight, double strandedWeight, double graceSeconds) {

  /** Equal weights and a grace period of five seconds. */
  public static final Policy EVEN = new Policy(1, 1, 5);
}
