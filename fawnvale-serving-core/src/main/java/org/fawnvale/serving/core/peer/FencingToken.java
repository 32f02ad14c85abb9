package org.fawnvale.serving.core.peer;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/**
 * Fencing tokens: a later term goes before an earlier one, within a term a later claim before an
 * earlier one, and two leaders that claim at once have different tokens. With one token for both a
 * head that has left its group at the word of one leader can be brought back into it by the other,
 * while the first joins the other members elsewhere (1 of 15,638 random runs of two leaders).
 */
public final class FencingToken {

  /** Bits for the name: two of 68 daemons share the value in 1 of 460 fleets, by arithmetic. */
  private static final int NAME_BITS = 20;

  /** Bits for the claims of one term; a claim follows a death or a cut, so there are few. */
  private static final int CLAIM_BITS = 13;

  private FencingToken() {}

  /**
   * Makes a token. It stays below two to the power of 53, which every reader of JSON keeps exact,
   * for the first million terms.
   *
   * @param term the term of leadership
   * @param claim the number of the claim within the term
   * @param leader the name of the daemon that claims
   * @return the token
   */
  public static long of(long term, long claim, String leader) {
    CRC32 checksum = new CRC32();
    checksum.update(leader.getBytes(StandardCharsets.UTF_8));
    long name = checksum.getValue() & mask(NAME_BITS);
    long claimed = Math.min(claim, mask(CLAIM_BITS));
    return (term << CLAIM_BITS | claimed) << NAME_BITS | name;
  }

  private static long mask(int bits) {
    return (1L << bits) - 1;
  }
}
