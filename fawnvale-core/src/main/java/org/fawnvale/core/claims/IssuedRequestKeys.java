package org.fawnvale.core.claims;

import java.util.BitSet;
import java.util.Optional;

/**
 * Request keys that one start of a daemon makes and honours, each once.
 *
 * <p>A made key names the incarnation that made it. Only that incarnation ever runs a request under
 * it, so that at most once needs no write and no other daemon. One bit is kept for each key made.
 * Safe for several threads.
 */
public final class IssuedRequestKeys {

  private static final String PREFIX = "made~";
  private static final String SEPARATOR = "~";
  private static final int PARTS = 4;

  private final String daemon;
  private final String incarnation;
  private final BitSet used = new BitSet();
  private int issuedCount;

  /** What becomes of a key that is used. */
  public enum UseResult {
    /** The first use: run the request. */
    FIRST,
    /** Used before: do not run it. */
    REPEATED,
    /** Not a key that this incarnation made. */
    FOREIGN
  }

  /**
   * A made key's maker.
   *
   * @param daemon the daemon's name
   * @param incarnation its incarnation
   */
  public record Issuer(String daemon, String incarnation) {}

  private IssuedRequestKeys(String daemon, String incarnation) {
    this.daemon = daemon;
    this.incarnation = incarnation;
  }

  /**
   * Creates an empty set.
   *
   * @param daemon the daemon's name
   * @param incarnation its incarnation, without tildes
   * @return the set
   */
  public static IssuedRequestKeys create(String daemon, String incarnation) {
    return new IssuedRequestKeys(daemon, incarnation);
  }

  /**
   * Makes a key.
   *
   * @return the key, not yet used
   */
  public synchronized String issue() {
    int number = issuedCount;
    issuedCount++;
    return PREFIX + daemon + SEPARATOR + incarnation + SEPARATOR + number;
  }

  /**
   * Tells who made a key.
   *
   * @param key the key
   * @return its maker, or nothing when no daemon made it
   */
  public static Optional<Issuer> issuerOf(String key) {
    String[] parts = key.split(SEPARATOR, -1);
    return key.startsWith(PREFIX) && parts.length == PARTS
        ? Optional.of(new Issuer(parts[1], parts[2]))
        : Optional.empty();
  }

  /**
   * Uses a key.
   *
   * @param key the key
   * @return whether this is its first use
   */
  public synchronized UseResult use(String key) {
    Optional<Issuer> issuer = issuerOf(key);
    boolean own =
        issuer.isPresent()
            && issuer.get().daemon().equals(daemon)
            && issuer.get().incarnation().equals(incarnation);
    int number = own ? number(key) : -1;
    if (number < 0 || number >= issuedCount) {
      return UseResult.FOREIGN;
    }
    if (used.get(number)) {
      return UseResult.REPEATED;
    }
    used.set(number);
    return UseResult.FIRST;
  }

  private static int number(String key) {
    try {
      return Integer.parseInt(key.substring(key.lastIndexOf(SEPARATOR) + 1));
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  /**
   * Gives a key back, because the request did not run.
   *
   * @param key the key
   */
  public synchronized void release(String key) {
    int number = number(key);
    if (number >= 0 && number < issuedCount) {
      used.clear(number);
    }
  }
}
