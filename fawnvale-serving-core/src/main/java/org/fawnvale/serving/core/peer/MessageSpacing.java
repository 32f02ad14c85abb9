package org.fawnvale.serving.core.peer;

/**
 * How often daemons of different data centres tell each other their notes. Within a data centre
 * every note goes to every daemon; across, bytes are dear and what is told is less urgent, so that
 * a larger fleet sends only every second, third or fourth note. The leader's notes and those with
 * news go to all.
 */
public final class MessageSpacing {

  private static final int DAEMONS_PER_STEP = 20;
  private static final int MAX_INTERVAL = 4;

  private MessageSpacing() {}

  /**
   * Every how many notes one goes to a daemon of another data centre.
   *
   * @param daemons daemons that are known, this one included
   * @return 1 for every note, 2 for every second one, and so on
   */
  public static int remoteInterval(int daemons) {
    return Math.min(MAX_INTERVAL, 1 + daemons / DAEMONS_PER_STEP);
  }

  /**
   * Tells whether a note goes to a daemon of another data centre; the daemons take turns.
   *
   * @param turn the number of the note
   * @param address the address of the daemon
   * @param daemons daemons that are known, this one included
   * @return true when it is this daemon's turn
   */
  public static boolean isDue(int turn, String address, int daemons) {
    int every = remoteInterval(daemons);
    return Math.floorMod(turn + address.hashCode(), every) == 0;
  }
}
