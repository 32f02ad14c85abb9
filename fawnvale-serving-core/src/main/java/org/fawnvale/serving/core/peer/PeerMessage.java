package org.fawnvale.serving.core.peer;

import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The state that a daemon sends to its peers several times per second.
 *
 * @param name the daemon's name
 * @param address its IP address
 * @param incarnation a number that is new at each start and normally increases
 * @param term the highest term that it knows
 * @param leader the daemon that leads in that term; empty when unknown
 * @param claim the highest claim within that term that it knows, of any daemon; 0 for none
 * @param eligibility how eligible it is to lead
 * @param served whether it, or any daemon that it has received a message of, has received requests
 *     of callers
 * @param isShort whether it is short of processor time; false when it is known from a digest only
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
 * @param groups groups that recently began to serve; sent by the leader only
 * @param closed heads, as {@code ID@EPOCH}, whose groups it has begun to dissolve; sent by the
 *     leader only
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
    boolean isShort,
    PathReport path,
    Map<String, Integer> inFlight,
    Map<String, Double> offeredWork,
    Map<String, List<Double>> offeredByUrgency,
    Map<String, Double> paces,
    List<String> suspects,
    List<String> refusing,
    List<ServingGroup> groups,
    List<String> closed) {

  /** Creates the message that stands for a daemon which is only known from a digest. */
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
        false,
        PathReport.SOUND,
        Map.of(),
        Map.of(),
        Map.of(),
        Map.of(),
        List.of(),
        List.of(),
        List.of(),
        List.of());
  }

  /**
   * Returns whether the daemon reports that the store does not answer it. The eligibility of a
   * daemon that is short of processor time doesn't tell that.
   */
  public boolean reportsLostStore() {
    return eligibility == LeaderEligibility.WITHOUT_STORE && !isShort;
  }

  /** Returns a copy with another eligibility. */
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
        isShort,
        path,
        inFlight,
        offeredWork,
        offeredByUrgency,
        paces,
        suspects,
        refusing,
        groups,
        closed);
  }

  /**
   * A group that serves requests.
   *
   * @param head the node id of its head
   * @param group its name
   */
  public record ServingGroup(String head, String group, long epoch, String model) {
    // Explicit, see "Records that are compared often" in docs/DEVELOPING.md.
    @Override
    public boolean equals(@Nullable Object other) {
      return other instanceof ServingGroup that
          && epoch == that.epoch
          && head.equals(that.head)
          && group.equals(that.group)
          && model.equals(that.model);
    }

    @Override
    public int hashCode() {
      return 31 * (31 * (31 * head.hashCode() + group.hashCode()) + Long.hashCode(epoch))
          + model.hashCode();
    }
  }
}
