package org.fawnvale.serving.core.peer;

import java.util.List;
import java.util.Map;

/**
 * What one daemon tells the others several times a second.
 *
 * @param name the daemon's name
 * @param address its IP address
 * @param dataCentre its data centre
 * @param incarnation drawn anew at each start; rises with it
 * @param term the highest term of leadership that it knows
 * @param leader the daemon that leads in that term; empty when unknown
 * @param claim the highest claim within that term that it knows, whoever made it; 0 for none
 * @param standing how fit it is to lead
 * @param served whether callers' requests have come to it or to any daemon that it has heard
 * @param inFlight its requests at each head, by node id
 * @param offeredWork by model, how many groups the work that its callers ask for would keep busy
 * @param suspects heads that it holds to be standing still
 * @param refusing heads that turn its requests away again and again, or have asked it for rest
 * @param groups groups that began to serve a short while ago, told by the leader alone
 * @param closed heads, as {@code ID@EPOCH}, whose groups it has begun to take apart, likewise
 */
public record PeerMessage(
    String name,
    String address,
    String dataCentre,
    long incarnation,
    long term,
    String leader,
    long claim,
    LeaderEligibility eligibility,
    boolean served,
    Map<String, Integer> inFlight,
    Map<String, Double> offeredWork,
    List<String> suspects,
    List<String> refusing,
    List<ServingGroup> groups,
    List<String> closed) {

  /**
   * What is known of a daemon that only a digest has told of.
   *
   * @param member the daemon
   * @param dataCentre its data centre
   * @return a note that tells nothing else
   */
  static PeerMessage ofMember(DataCentreDigest.Member member, String dataCentre) {
    return new PeerMessage(
        member.name(),
        member.address(),
        dataCentre,
        member.incarnation(),
        0,
        "",
        0,
        member.eligibility(),
        false,
        Map.of(),
        Map.of(),
        List.of(),
        List.of(),
        List.of(),
        List.of());
  }

  /**
   * The same note with a newer standing.
   *
   * @param newer the standing
   * @return the note
   */
  PeerMessage withEligibility(LeaderEligibility newer) {
    return new PeerMessage(
        name,
        address,
        dataCentre,
        incarnation,
        term,
        leader,
        claim,
        newer,
        served,
        inFlight,
        offeredWork,
        suspects,
        refusing,
        groups,
        closed);
  }

  /**
   * A group that serves.
   *
   * @param head the id of its head
   * @param group its name
   * @param epoch its epoch
   * @param model its model
   */
  public record ServingGroup(String head, String group, long epoch, String model) {}
}
