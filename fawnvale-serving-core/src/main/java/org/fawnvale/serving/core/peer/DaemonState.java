package org.fawnvale.serving.core.peer;

import java.util.List;
import java.util.Map;

/**
 * What a daemon tells the others of itself; its note adds its name, its place and who leads.
 *
 * @param standing how fit it is to lead
 * @param served whether callers' requests have come to it
 * @param inFlight its requests at each head, by node id
 * @param offeredWork by model, how many groups the work that its callers ask for would keep busy
 * @param suspects heads that it holds to be standing still
 * @param refusing heads that turn its requests away again and again, or have asked it for rest
 * @param groups groups that began to serve, when it leads
 * @param closed heads whose groups it takes apart, when it leads
 */
public record DaemonState(
    LeaderEligibility eligibility,
    boolean served,
    Map<String, Integer> inFlight,
    Map<String, Double> offeredWork,
    List<String> suspects,
    List<String> refusing,
    List<PeerMessage.ServingGroup> groups,
    List<String> closed) {}
