package org.fawnvale.serving.core.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Keeps the latest digest of each remote data centre, and summarizes the local one.
 *
 * <p>Not thread-safe.
 */
public final class DataCentreDigests {

  /**
   * How long a digest is used. Digests are sent every 150 ms over two hops, and a failed relay is
   * replaced after 500 ms.
   */
  private static final long DIGEST_TTL_NANOS = 1_200_000_000L;

  /** Number of daemons that are counted for a suspicion. Two are enough to confirm it. */
  private static final int MAX_WITNESSES = 2;

  private final String dataCentre;
  private final Map<String, Received> latest = new HashMap<>();

  private record Received(DataCentreDigest digest, long atNanos) {}

  /**
   * Creates the view of one daemon.
   *
   * @param dataCentre the daemon's data centre, whose own digests are ignored
   */
  public DataCentreDigests(String dataCentre) {
    this.dataCentre = dataCentre;
  }

  /**
   * Summarizes the messages of the local data centre.
   *
   * @param messages the messages of its live daemons, including this one's
   * @param relay the name of this daemon
   * @param sequence increases with each digest of this daemon
   */
  public DataCentreDigest summarize(Collection<PeerMessage> messages, String relay, long sequence) {
    Map<String, Integer> inFlight = new HashMap<>();
    Map<String, Double> offeredWork = new HashMap<>();
    Map<String, List<Double>> offeredByUrgency = new HashMap<>();
    Map<String, Double> paces = new HashMap<>();
    Map<String, Integer> witnesses = new HashMap<>();
    Set<String> refusing = new TreeSet<>();
    List<DataCentreDigest.Member> members = new ArrayList<>();
    boolean served = false;
    for (PeerMessage message : messages) {
      message.inFlight().forEach((node, count) -> inFlight.merge(node, count, Integer::sum));
      message
          .offeredWork()
          .forEach((model, groups) -> offeredWork.merge(model, groups, Double::sum));
      message
          .offeredByUrgency()
          .forEach((model, work) -> offeredByUrgency.merge(model, work, DataCentreDigests::add));
      message.paces().forEach((node, pace) -> paces.merge(node, pace, Math::max));
      message.suspects().forEach(head -> witnesses.merge(head, 1, Integer::sum));
      refusing.addAll(message.refusing());
      members.add(
          new DataCentreDigest.Member(
              message.name(), message.address(), message.incarnation(), message.eligibility()));
      served |= message.served();
    }
    List<String> suspects = new ArrayList<>();
    witnesses.forEach(
        (head, count) -> {
          for (int copy = 0; copy < Math.min(count, MAX_WITNESSES); copy++) {
            suspects.add(head);
          }
        });
    return new DataCentreDigest(
        dataCentre,
        relay,
        sequence,
        inFlight,
        offeredWork,
        offeredByUrgency,
        paces,
        suspects,
        List.copyOf(refusing),
        served,
        members);
  }

  /**
   * Adds two lists of work by urgency.
   *
   * @param one work by urgency
   * @param other work by urgency; may have another length
   * @return the sums, as long as the longer list
   */
  public static List<Double> add(List<Double> one, List<Double> other) {
    List<Double> sum = new ArrayList<>();
    for (int index = 0; index < Math.max(one.size(), other.size()); index++) {
      double left = index < one.size() ? one.get(index) : 0;
      double right = index < other.size() ? other.get(index) : 0;
      sum.add(left + right);
    }
    return List.copyOf(sum);
  }

  /**
   * Stores a digest of another data centre, unless a newer one of the same relay is known.
   *
   * @param nowNanos the monotonic time
   * @return whether it was stored
   */
  public boolean receive(DataCentreDigest digest, long nowNanos) {
    Received previous = latest.get(digest.dataCentre());
    boolean outdated =
        previous != null
            && previous.digest().relay().equals(digest.relay())
            && previous.digest().sequence() >= digest.sequence()
            && nowNanos - previous.atNanos() < DIGEST_TTL_NANOS;
    if (outdated || digest.dataCentre().equals(dataCentre)) {
      return false;
    }
    latest.put(digest.dataCentre(), new Received(digest, nowNanos));
    return true;
  }

  /**
   * Returns the digests that have not expired, by data centre.
   *
   * @param nowNanos the monotonic time
   */
  public Map<String, DataCentreDigest> fresh(long nowNanos) {
    Map<String, DataCentreDigest> fresh = new HashMap<>();
    latest.forEach(
        (name, received) -> {
          if (nowNanos - received.atNanos() < DIGEST_TTL_NANOS) {
            fresh.put(name, received.digest());
          }
        });
    return fresh;
  }

  /** Tells whether the last digest of any data centre, expired or not, lists a suspected head. */
  public boolean anySuspects() {
    for (Received received : latest.values()) {
      if (!received.digest().suspects().isEmpty()) {
        return true;
      }
    }
    return false;
  }
}
