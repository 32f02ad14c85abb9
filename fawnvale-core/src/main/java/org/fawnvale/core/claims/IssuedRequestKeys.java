package org.fawnvale.core.claims;

import java.util.BitSet;
import java.util.Optional;

/**
 * Request keys that one incarnation of a daemon issues, each valid for one request.
 *
 * <p>An issued key contains the incarnation that issued it. Only that incarnation runs a request
 * with the key, so it can guarantee at-most-once execution without the platform and without other
 * daemons. It keeps one bit for each issued key. Thread-safe.
 */
public final class IssuedRequestKeys {

  private static final String PREFIX = "made~";
  private static final String SEPARATOR = "~";
  private static final int PARTS = 4;

  private final String daemon;
  private final String incarnation;
  private final BitSet used = new BitSet();
  private int issuedCount;

  /** The result of using a key. */
  public enum UseResult {
    /** The first use of the key: run the request. */
    FIRST,
    /** The key was used before: do not run the request. */
    REPEATED,
    /** This incarnation did not issue the key. */
    FOREIGN
  }

  /**
   * The issuer of a key.
   *
   * @param daemon the daemon's name
   * @param incarnation the incarnation of the daemon
   */
  public record Issuer(String daemon, String incarnation) {}

  private IssuedRequestKeys(String daemon, String incarnation) {
    this.daemon = daemon;
    this.incarnation = incarnation;
  }

  /**
   * Creates an instance without issued keys.
   *
   * @param daemon the daemon's name
   * @param incarnation the incarnation of the daemon; must not contain a tilde
   */
  public static IssuedRequestKeys create(String daemon, String incarnation) {
    return new IssuedRequestKeys(daemon, incarnation);
  }

  /** Issues a new, unused key. */
  public synchronized String issue() {
    int number = issuedCount;
    issuedCount++;
    return PREFIX + daemon + SEPARATOR + incarnation + SEPARATOR + number;
  }

  /**
   * Parses the issuer of a key.
   *
   * @return the issuer, or nothing when the key does not have the form of an issued key
   */
  public static Optional<Issuer> issuerOf(String key) {
    String[] parts = key.split(SEPARATOR, -1);
    return key.startsWith(PREFIX) && parts.length == PARTS
        ? Optional.of(new Issuer(parts[1], parts[2]))
        : Optional.empty();
  }

  /** Marks a key as used, and returns whether this is its first use. */
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

  /** Marks a key as unused, because its request did not run. */
  public synchronized void release(String key) {
    int number = number(key);
    if (number >= 0 && number < issuedCount) {
      used.clear(number);
    }
  }
}
