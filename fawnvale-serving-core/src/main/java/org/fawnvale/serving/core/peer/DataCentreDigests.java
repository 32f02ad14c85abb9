package org.fawnvale.serving.core.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/** The newest digest of each other data centre, and the making of one's own. */
public final class DataCentreDigests {

  /**
   * How long a digest counts. It is made every 150 ms and takes two hops; a relay that died is
   * replaced after 500 ms.
   */
  private static final long DIGEST_TTL_NANOS = 1_200_000_000L;

  /** Witnesses that are told apart: two are enough to believe. */
  private static final int MAX_WITNESSES = 2;

  private final String dataCentre;
  private final Map<String, Received> latest = new HashMap<>();

  private record Received(DataCentreDigest digest, long atNanos) {}

  /**
   * Creates the view of one daemon.
   *
   * @param dataCentre its data centre
   */
  public DataCentreDigests(String dataCentre) {
    this.dataCentre = dataCentre;
  }

  /**
   * Sums up the notes of one's own data centre.
   *
   * @param notes the notes of its live daemons, this one's included
   * @param relay the daemon that makes it
   * @param sequence rises with each digest of that daemon
   * @return the digest
   */
  public DataCentreDigest summarize(Collection<PeerMessage> notes, String relay, long sequence) {
    Map<String, Integer> inFlight = new HashMap<>();
    Map<String, Double> work = new HashMap<>();
    Map<String, Integer> witnesses = new HashMap<>();
    Set<String> refusing = new TreeSet<>();
    List<DataCentreDigest.Member> members = new ArrayList<>();
    boolean served = false;
    for (PeerMessage note : notes) {
      note.inFlight().forEach((node, count) -> inFlight.merge(node, count, Integer::sum));
      note.offeredWork().forEach((model, groups) -> work.merge(model, groups, Double::sum));
      note.suspects().forEach(head -> witnesses.merge(head, 1, Integer::sum));
      refusing.addAll(note.refusing());
      members.add(
          new DataCentreDigest.Member(
              note.name(), note.address(), note.incarnation(), note.eligibility()));
      served |= note.served();
    }
    List<String> suspects = new ArrayList<>();
    witnesses.forEach(
        (head, count) -> {
          for (int told = 0; told < Math.min(count, MAX_WITNESSES); told++) {
            suspects.add(head);
          }
        });
    return new DataCentreDigest(
        dataCentre,
        relay,
        sequence,
        inFlight,
        work,
        suspects,
        List.copyOf(refusing),
        served,
        members);
  }

  /**
   * Takes a digest in, unless a newer one of its data centre is known.
   *
   * @param digest the digest
   * @param nowNanos the steady time
   * @return true when it is news
   */
  public boolean receive(DataCentreDigest digest, long nowNanos) {
    Received before = latest.get(digest.dataCentre());
    boolean older =
        before != null
            && before.digest().relay().equals(digest.relay())
            && before.digest().sequence() >= digest.sequence()
            && nowNanos - before.atNanos() < DIGEST_TTL_NANOS;
    if (older || digest.dataCentre().equals(dataCentre)) {
      return false;
    }
    latest.put(digest.dataCentre(), new Received(digest, nowNanos));
    return true;
  }

  /**
   * The digests that still count.
   *
   * @param nowNanos the steady time
   * @return the digests by data centre
   */
  public Map<String, DataCentreDigest> fresh(long nowNanos) {
    Map<String, DataCentreDigest> fresh = new HashMap<>();
    latest.forEach(
        (name, last) -> {
          if (nowNanos - last.atNanos() < DIGEST_TTL_NANOS) {
            fresh.put(name, last.digest());
          }
        });
    return fresh;
  }

  /**
   * Tells whether any digest names a head that is suspected.
   *
   * @return false when no last digest, fresh or not, names one
   */
  public boolean anySuspects() {
    for (Received last : latest.values()) {
      if (!last.digest().suspects().isEmpty()) {
        return true;
      }
    }
    return false;
  }
}
