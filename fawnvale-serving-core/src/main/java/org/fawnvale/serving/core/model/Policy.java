package org.fawnvale.serving.core.model;

/**
 * Switches of single mechanisms. Those of the planner are on by default and can be turned off to
 * compare runs with and without them; {@code admission}, {@code urgency}, {@code pace} and {@code
 * shortage} are off by default.
 *
 * @param observedDemand forms groups by the work that callers request; otherwise by the shares that
 *     the configuration declares
 * @param secondModel lets members of a group keep the weights of a second model on their hosts
 * @param exchange dissolves groups of one model where their nodes serve more callers with another
 *     model
 * @param scarceModels reserves nodes for the model that lacks capacity most
 * @param cutsAreNoDeaths treats heads in an unreachable data centre as alive
 * @param admission admits and places requests by their predicted times; otherwise by the number of
 *     requests in flight
 * @param urgency refuses less urgent first attempts while more work is offered than the groups do
 *     in time; takes effect with {@code admission} only
 * @param pace places requests and forms groups by the observed pace of nodes; otherwise all nodes
 *     count as equally fast
 * @param shortage lets a daemon that is short of processor time accept no new callers and lead only
 *     if no other can; otherwise its processor time decides nothing
 */
public record Policy(
    boolean observedDemand,
    boolean secondModel,
    boolean exchange,
    boolean scarceModels,
    boolean cutsAreNoDeaths,
    boolean admission,
    boolean urgency,
    boolean pace,
    boolean shortage) {

  /** The mechanisms that are on unless the settings say otherwise. */
  public static final Policy DEFAULT =
      new Policy(true, true, true, true, true, false, false, false, false);
}
