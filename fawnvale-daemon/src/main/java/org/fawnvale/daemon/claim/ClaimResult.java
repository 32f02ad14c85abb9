package org.fawnvale.daemon.claim;

import org.fawnvale.core.claims.ClaimSlot;
import org.jspecify.annotations.Nullable;

/**
 * The result of a claim.
 *
 * @param verdict whether the key was granted, and if not, why
 * @param owner the current owner of the key; null when it has none or the owner is unknown
 */
public record ClaimResult(ClaimSlot.Verdict verdict, @Nullable String owner) {

  /** The claim could not be confirmed, for example because the platform is not reachable. */
  public static final ClaimResult UNAVAILABLE =
      new ClaimResult(ClaimSlot.Verdict.UNAVAILABLE, null);
}
