package org.fawnvale.serving.core.quarantine;

import java.util.Set;
import org.fawnvale.serving.core.model.NodeIncarnation;

/**
 * What is barred, as an object of the platform's store, where it survives the loss of all daemons.
 *
 * @param fingerprint the request or the prompt part
 * @param promptPart whether it is a prompt part
 * @param answeredBefore whether a request with the part was ever answered; false for requests
 * @param failures the incarnations of nodes that ended while they ran it
 * @param excused the failures that no longer count
 * @param expiresAtMillis when the record expires, in milliseconds of Unix time
 */
public record StoredQuarantineRecord(
    Fingerprint fingerprint,
    boolean promptPart,
    boolean answeredBefore,
    Set<NodeIncarnation> failures,
    Set<NodeIncarnation> excused,
    long expiresAtMillis) {

  /** Returns the record to store of a quarantined request. */
  public static StoredQuarantineRecord of(QuarantineRecord request, long expiresAtMillis) {
    return new StoredQuarantineRecord(
        request.fingerprint(),
        false,
        false,
        request.failures(),
        request.excused(),
        expiresAtMillis);
  }

  /** Returns the record to store of a barred prompt part. */
  public static StoredQuarantineRecord of(PartRecord part, long expiresAtMillis) {
    return new StoredQuarantineRecord(
        part.part(), true, part.answeredBefore(), part.crashes(), Set.of(), expiresAtMillis);
  }

  /** Returns the record of a quarantined request. */
  public QuarantineRecord asRequest() {
    return new QuarantineRecord(fingerprint, failures, excused);
  }

  /**
   * Returns the record of a barred part, which stays barred until an answer clears it: what else
   * its crashes would be explained by may not be known any more. One that was never answered counts
   * as tried once, since a trial that the store does not know of may have failed. One that was
   * answered before is in many requests and may well be sound, so it is tried as soon as any.
   */
  public PartRecord asPart() {
    return new PartRecord(fingerprint, 0, failures, false, true, answeredBefore ? 0 : 1);
  }
}
