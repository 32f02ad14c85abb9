package org.fawnvale.serving.core.model;

/**
 * A rate limit that a node advertises in a response. It applies to all daemons together.
 *
 * @param perSecond the requests per second that the node accepts from all daemons together; 0 or
 *     more
 * @param text the limit as the node wrote it, truncated for log lines
 * @param readable whether {@code text} is a valid limit; otherwise {@code perSecond} is {@link
 *     #ASSUMED_PER_SECOND}
 */
public record AdvertisedLimit(double perSecond, String text, boolean readable) {

  /**
   * The limit that is assumed when the advertised one cannot be parsed, in requests per second. The
   * node is probably overloaded, but without any requests it could not advertise another limit.
   */
  public static final double ASSUMED_PER_SECOND = 1;

  private static final int MAX_TEXT_LENGTH = 40;

  /**
   * Creates a limit that was parsed.
   *
   * @param perSecond requests per second
   * @param text the limit as the node wrote it
   */
  public static AdvertisedLimit of(double perSecond, String text) {
    return new AdvertisedLimit(perSecond, truncate(text), true);
  }

  /**
   * Creates a limit that could not be parsed.
   *
   * @param text the limit as the node wrote it
   * @return the assumed limit
   */
  public static AdvertisedLimit unreadable(String text) {
    return new AdvertisedLimit(ASSUMED_PER_SECOND, truncate(text), false);
  }

  /**
   * Returns the lower of two limits that one response advertises.
   *
   * @param other the other limit
   * @return the lower limit; this one when both are equal
   */
  public AdvertisedLimit stricter(AdvertisedLimit other) {
    return other.perSecond < perSecond ? other : this;
  }

  private static String truncate(String text) {
    return text.length() <= MAX_TEXT_LENGTH ? text : text.substring(0, MAX_TEXT_LENGTH) + "...";
  }
}
