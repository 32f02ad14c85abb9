package org.fawnvale.serving.core.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What the other daemons report of upstreams and of their callers. The reports are summed in one
 * pass over all messages, several times per second.
 *
 * @param inFlight the other daemons' requests in flight, summed by node id
 * @param rejecting ids of heads that reject requests of any other daemon, or have asked one to
 *     pause with Retry-After
 * @param offeredByUrgency the load of their callers by model and urgency, summed, as in {@link
 *     PeerMessage#offeredByUrgency}
 * @param paces the pace of heads by node id, the slowest where daemons differ; heads of normal pace
 *     are left out
 */
public record PeerReports(
    Map<String, Integer> inFlight,
    Set<String> rejecting,
    Map<String, List<Double>> offeredByUrgency,
    Map<String, Double> paces) {

  /**
   * Sums up reports.
   *
   * @param messages the messages of daemons that no digest covers
   * @param digests the digests of other data centres
   * @return the sums
   */
  public static PeerReports of(
      Collection<PeerMessage> messages, Collection<DataCentreDigest> digests) {
    Sums sums = new Sums();
    for (PeerMessage message : messages) {
      sums.add(message.inFlight(), message.refusing(), message.offeredByUrgency(), message.paces());
    }
    for (DataCentreDigest digest : digests) {
      sums.add(digest.inFlight(), digest.refusing(), digest.offeredByUrgency(), digest.paces());
    }
    return new PeerReports(sums.inFlight, sums.rejecting, sums.offered(), sums.paces);
  }

  private static final class Sums {
    final Map<String, Integer> inFlight = new HashMap<>();
    final Set<String> rejecting = new HashSet<>();
    final Map<String, double[]> offered = new HashMap<>();
    final Map<String, Double> paces = new HashMap<>();

    void add(
        Map<String, Integer> requests,
        List<String> refusing,
        Map<String, List<Double>> work,
        Map<String, Double> slow) {
      requests.forEach((node, count) -> inFlight.merge(node, count, Integer::sum));
      rejecting.addAll(refusing);
      for (Map.Entry<String, List<Double>> entry : work.entrySet()) {
        addWork(entry.getKey(), entry.getValue());
      }
      slow.forEach((node, pace) -> paces.merge(node, pace, Math::max));
    }

    private void addWork(String model, List<Double> work) {
      double[] sum = offered.get(model);
      if (sum == null || sum.length < work.size()) {
        double[] longer = new double[work.size()];
        if (sum != null) {
          System.arraycopy(sum, 0, longer, 0, sum.length);
        }
        sum = longer;
        offered.put(model, sum);
      }
      for (int urgency = 0; urgency < work.size(); urgency++) {
        sum[urgency] += work.get(urgency);
      }
    }

    Map<String, List<Double>> offered() {
      Map<String, List<Double>> lists = new HashMap<>();
      for (Map.Entry<String, double[]> entry : offered.entrySet()) {
        List<Double> list = new ArrayList<>(entry.getValue().length);
        for (double groups : entry.getValue()) {
          list.add(groups);
        }
        lists.put(entry.getKey(), list);
      }
      return lists;
    }
  }
}
