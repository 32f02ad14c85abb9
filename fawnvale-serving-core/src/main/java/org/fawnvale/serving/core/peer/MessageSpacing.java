package org.fawnvale.serving.core.peer;

/**
 * How many messages a daemon skips for a recipient, by the size of the fleet. Bandwidth between
 * data centres is expensive, so a fleet of 20 or more daemons sends only every second, third or
 * fourth message to a daemon of another data centre.
 */
public final class MessageSpacing {

  private static final int DAEMONS_PER_STEP = 20;
  private static final int MAX_INTERVAL = 4;

  private MessageSpacing() {}

  /**
   * Returns the interval between messages to a daemon of another data centre.
   *
   * @param daemons the number of known daemons, including this one
   * @return 1 for every message, 2 for every second one, and so on
   */
  public static int remoteInterval(int daemons) {
    return Math.min(MAX_INTERVAL, 1 + daemons / DAEMONS_PER_STEP);
  }

  /**
   * Tells whether a message goes to a daemon of another data centre. Recipients take turns by the
   * hash of their address.
   *
   * @param turn the number of the message
   * @param address the address of the recipient
   * @param daemons the number of known daemons, including this one
   */
  public static boolean isDue(int turn, String address, int daemons) {
    int interval = remoteInterval(daemons);
    return Math.floorMod(turn + address.hashCode(), interval) == 0;
  }
}
