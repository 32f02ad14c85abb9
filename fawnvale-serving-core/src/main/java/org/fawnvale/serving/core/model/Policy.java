package org.fawnvale.serving.core.model;

/**
 * Switches that turn single mechanisms of the planner off, in order to compare runs with and
 * without them.
 *
 * @param observedDemand forms groups by the work that callers request; otherwise by the shares that
 *     the configuration declares
 * @param secondModel lets members of a group keep the weights of a second model on their hosts
 * @param exchange dissolves groups of one model where their nodes serve more callers with another
 *     model
 * @param scarceModels reserves nodes for the model that lacks capacity most
 * @param cutsAreNoDeaths treats heads in an unreachable data centre as alive
 */
public record Policy(
    boolean observedDemand,
    boolean secondModel,
    boolean exchange,
    boolean scarceModels,
    boolean cutsAreNoDeaths) {

  /** All mechanisms are on. */
  public static final Policy DEFAULT = new Policy(true, true, true, true, true);
}
