package org.fawnvale.serving.core.quarantine;

import java.util.List;

/**
 * The node crashes that a daemon attributes to requests and to prompt parts, as it tells others.
 *
 * @param requests the records of whole requests
 * @param parts the records of prompt parts
 */
public record CrashRecords(List<QuarantineRecord> requests, List<PartRecord> parts) {

  /** No records. */
  public static final CrashRecords NONE = new CrashRecords(List.of(), List.of());

  /** Returns whether there is no record. */
  public boolean isEmpty() {
    return requests.isEmpty() && parts.isEmpty();
  }
}
