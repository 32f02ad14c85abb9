package org.fawnvale.daemon.claim;

import org.fawnvale.core.claims.ClaimSlot;
import org.jspecify.annotations.Nullable;

/**
 * What became of a claim.
 *
 * @param verdict the verdict
 * @param owner who holds the key, when somebody does
 */
public record ClaimResult(ClaimSlot.Verdict verdict, @Nullable String owner) {

  /** Nothing was claimed, since the platform cannot be reached. */
  public static final ClaimResult UNAVAILABLE =
      new ClaimResult(ClaimSlot.Verdict.UNAVAILABLE, null);
}
