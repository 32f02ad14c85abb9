package org.fawnvale.serving.core.peer;

import java.util.List;
import java.util.Map;

/**
 * What a daemon reports about itself. Its {@link PeerMessage} adds its name, its location and the
 * leader that it follows.
 *
 * @param eligibility how eligible it is to lead
 * @param served whether it has received requests of callers
 * @param isShort whether it is short of processor time; false unless {@code policy.shortage} is on
 * @param path its path to the upstreams that form groups
 * @param inFlight its requests in progress, by the node id of the head
 * @param offeredWork by model, the number of groups that the load of its callers would keep busy
 * @param offeredByUrgency by model, the load of its callers by urgency: entry {@code i} is the
 *     number of groups that requests of urgency {@code i} would keep busy, 0 being most urgent;
 *     empty unless admission by urgency is on
 * @param paces observed pace of heads by node id: the factor by which they are slower than the
 *     engine's published times; heads of normal pace are left out
 * @param suspects heads that it suspects to be stalled
 * @param refusing heads that repeatedly reject its requests or have sent it a Retry-After pause
 * @param groups groups that recently began to serve; reported by the leader only
 * @param closed heads whose groups it has begun to dissolve; reported by the leader only
 */
public record DaemonState(
    LeaderEligibility eligibility,
    boolean served,
    boolean isShort,
    PathReport path,
    Map<String, Integer> inFlight,
    Map<String, Double> offeredWork,
    Map<String, List<Double>> offeredByUrgency,
    Map<String, Double> paces,
    List<String> suspects,
    List<String> refusing,
    List<PeerMessage.ServingGroup> groups,
    List<String> closed) {}
