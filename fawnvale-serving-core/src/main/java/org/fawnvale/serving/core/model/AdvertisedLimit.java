package org.fawnvale.serving.core.model;

/**
 * A limit that a node names in an answer. It binds all daemons together.
 *
 * @param perSecond the requests a second that the node takes from all daemons together; 0 or more
 * @param text the limit as the node wrote it, cut to a length that a log line bears
 * @param readable whether what was written is such a number; otherwise {@code perSecond} is what is
 *     assumed for it
 */
public record AdvertisedLimit(double perSecond, String text, boolean readable) {

  /**
   * What is assumed of a node that names a limit which can't be read, in requests a second: it is
   * in need, and a node that is sent nothing would not be heard to say more.
   */
  public static final double ASSUMED_PER_SECOND = 1;

  private static final int LONGEST_WRITTEN = 40;

  /**
   * A limit that was read.
   *
   * @param perSecond requests a second
   * @param text as the node wrote it
   * @return the limit
   */
  public static AdvertisedLimit of(double perSecond, String text) {
    return new AdvertisedLimit(perSecond, cut(text), true);
  }

  /**
   * A limit that can't be read.
   *
   * @param text as the node wrote it
   * @return the limit that is assumed
   */
  public static AdvertisedLimit unreadable(String text) {
    return new AdvertisedLimit(ASSUMED_PER_SECOND, cut(text), false);
  }

  /**
   * Of two limits that one answer names the one that allows less.
   *
   * @param other the other limit
   * @return the stricter one
   */
  public AdvertisedLimit stricter(AdvertisedLimit other) {
    return other.perSecond < perSecond ? other : this;
  }

  private static String cut(String text) {
    return text.length() <= LONGEST_WRITTEN ? text : text.substring(0, LONGEST_WRITTEN) + "...";
  }
}
