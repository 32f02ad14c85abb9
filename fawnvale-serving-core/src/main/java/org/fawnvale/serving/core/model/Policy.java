package org.fawnvale.serving.core.model;

/**
 * Switches of the mechanisms that decide, so that a played day can leave one out. The defaults are
 * what measured best over all deployments; docs/POLICY.md names the runs.
 *
 * @param observedDemand groups are formed by the work that callers ask for; otherwise by the shares
 *     that the configuration declares
 * @param secondModel members of a group keep the weights of a second model on their hosts
 * @param exchange groups of one model are taken apart where their nodes serve more as another
 * @param scarceModels nodes are kept for the model that is missed more
 * @param cutsAreNoDeaths heads in a data centre that is out of sight are not held to be dead
 */
public record Policy(
    boolean observedDemand,
    boolean secondModel,
    boolean exchange,
    boolean scarceModels,
    boolean cutsAreNoDeaths) {

  /** All mechanisms at work. */
  public static final Policy DEFAULT = new Policy(true, true, true, true, true);
}
