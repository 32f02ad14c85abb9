package org.fawnvale.serving.core.peer;

import java.util.List;
import java.util.Map;

/**
 * What all daemons of one data centre tell together, so that not each of them need tell it to each
 * daemon elsewhere.
 *
 * @param dataCentre the data centre
 * @param relay the daemon that made it
 * @param sequence rises with each digest of that daemon
 * @param inFlight their requests at each head, by node id
 * @param offeredWork by model, how many groups the work that their callers ask for keeps busy
 * @param suspects heads that they hold to be standing still; twice where two daemons or more do
 * @param refusing heads that turn requests of any of them away, or have asked for rest
 * @param served whether callers' requests have come to any of them
 * @param members the daemons that are alive
 */
public record DataCentreDigest(
    String dataCentre,
    String relay,
    long sequence,
    Map<String, Integer> inFlight,
    Map<String, Double> offeredWork,
    List<String> suspects,
    List<String> refusing,
    boolean served,
    List<Member> members) {

  /**
   * A daemon that is alive.
   *
   * @param name its name
   * @param address its IP address
   * @param incarnation drawn anew at each start
   * @param standing how fit it is to lead
   */
  public record Member(
      String name, String address, long incarnation, LeaderEligibility eligibility) {}
}
