package org.fawnvale.core.hash;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.codec.digest.MurmurHash3;

/** Rendezvous hashing: the loss of a candidate moves only the keys that were assigned to it. */
public final class Rendezvous {

  private Rendezvous() {}

  /**
   * Selects the candidates with the highest rank for a key.
   *
   * @param candidates the candidates, in any order
   * @param count maximum number of candidates to select
   * @return the selected candidates, the highest rank first; fewer when there are fewer candidates
   */
  public static List<String> pick(String key, Collection<String> candidates, int count) {
    return candidates.stream()
        .distinct()
        .sorted(
            Comparator.comparingLong((String candidate) -> rank(key, candidate))
                .reversed()
                .thenComparing(Comparator.naturalOrder()))
        .limit(count)
        .toList();
  }

  /** Returns the first 64 bits of the 128-bit Murmur3 hash of a text in UTF-8. */
  public static long hash(String text) {
    return MurmurHash3.hash128x64(text.getBytes(StandardCharsets.UTF_8))[0];
  }

  private static long rank(String key, String candidate) {
    return hash(key + '\u0000' + candidate);
  }
}
