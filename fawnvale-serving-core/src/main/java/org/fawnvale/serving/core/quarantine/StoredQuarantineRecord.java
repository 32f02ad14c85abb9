package org.fawnvale.serving.core.quarantine;

import java.util.Set;
import org.fawnvale.serving.core.model.NodeIncarnation;

/**
 * What is barred, as an object of the platform's store, where it survives the loss of all daemons.
 *
 * @param fingerprint the request or the prompt part
 * @param promptPart whether it is a prompt part
 * @param failures the incarnations of nodes that ended while they ran it
 * @param excused the failures that no longer count
 * @param expiresAtMillis when the record expires, in milliseconds of Unix time
 */
public record StoredQuarantineRecord(
    Fingerprint fingerprint,
    boolean promptPart,
    Set<NodeIncarnation> failures,
    Set<NodeIncarnation> excused,
    long expiresAtMillis) {

  /** Returns the record to store of a quarantined request. */
  public static StoredQuarantineRecord of(QuarantineRecord request, long expiresAtMillis) {
    return new StoredQuarantineRecord(
        request.fingerprint(), false, request.failures(), request.excused(), expiresAtMillis);
  }

  /** Returns the record to store of a barred prompt part. */
  public static StoredQuarantineRecord of(PartRecord part, long expiresAtMillis) {
    return new StoredQuarantineRecord(part.part(), true, part.crashes(), Set.of(), expiresAtMillis);
  }

  /** Returns the record of a quarantined request. */
  public QuarantineRecord asRequest() {
    return new QuarantineRecord(fingerprint, failures, excused);
  }

  /**
   * Returns the record of a barred part. It counts as tried once, since a trial that the store does
   * not know of may have failed.
   */
  public PartRecord asPart() {
    return new PartRecord(fingerprint, 0, failures, false, true, 1);
  }
}
