package org.fawnvale.serving.core.peer;

import java.util.List;
import java.util.Map;

/**
 * The aggregated state of all daemons of one data centre. A relay sends it to the other data
 * centres, so that not every daemon has to send its own state to every remote daemon.
 *
 * @param relay the daemon that made the digest
 * @param sequence increases with each digest of that daemon
 * @param inFlight requests in progress, by the node id of the head
 * @param offeredWork by model, the number of groups that the load of all callers would keep busy
 * @param offeredByUrgency by model, the load of all callers by urgency: entry {@code i} is the
 *     number of groups that requests of urgency {@code i} would keep busy, 0 being most urgent;
 *     empty unless admission by urgency is on
 * @param paces observed pace of heads by node id: the factor by which they are slower than the
 *     engine's published times; heads of normal pace are left out
 * @param suspects heads that are suspected to be stalled; listed twice if two or more daemons
 *     suspect them
 * @param refusing heads that reject requests of any daemon or have sent one a Retry-After pause
 * @param served whether any daemon has received requests of callers
 * @param members the live daemons
 */
public record DataCentreDigest(
    String dataCentre,
    String relay,
    long sequence,
    Map<String, Integer> inFlight,
    Map<String, Double> offeredWork,
    Map<String, List<Double>> offeredByUrgency,
    Map<String, Double> paces,
    List<String> suspects,
    List<String> refusing,
    boolean served,
    List<Member> members) {

  /**
   * A live daemon.
   *
   * @param address its IP address
   * @param incarnation a number that is new at each start
   * @param eligibility how eligible it is to lead
   */
  public record Member(
      String name, String address, long incarnation, LeaderEligibility eligibility) {}
}
