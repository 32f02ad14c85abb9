package org.fawnvale.serving.core.peer;

import java.util.List;
import java.util.Map;

/**
 * What a daemon reports about itself. Its {@link PeerMessage} adds its name, its location and the
 * leader that it follows.
 *
 * @param eligibility how eligible it is to lead
 * @param served whether it has received requests of callers
 * @param inFlight its requests in progress, by the node id of the head
 * @param offeredWork by model, the number of groups that the load of its callers would keep busy
 * @param suspects heads that it suspects to be stalled
 * @param refusing heads that repeatedly reject its requests or have sent it a Retry-After pause
 * @param groups groups that recently began to serve; reported by the leader only
 * @param closed heads whose groups it has begun to dissolve; reported by the leader only
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
