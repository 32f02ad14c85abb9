package org.fawnvale.serving.core.peer;

import java.util.Collection;

/** Decides whether a daemon that is short of processor time accepts new callers. */
public final class ShortageReadiness {

  /**
   * The share of short daemons in a data centre above which a short daemon stays ready. The load is
   * then the cause, and fewer ready daemons would make it worse.
   */
  private static final double WIDESPREAD_SHARE = 0.25;

  /**
   * How long a short daemon stays ready, in nanoseconds: the age that a message of a peer may have.
   * Where all daemons become short at once, each learns of the others before it turns callers away.
   */
  private static final long MESSAGE_AGE_NANOS = 600_000_000L;

  private ShortageReadiness() {}

  /**
   * Returns whether a short daemon accepts new callers: while it may not know yet which peers are
   * short, if no other daemon of its data centre can take them, or if the shortage is widespread
   * there. Daemons that are starting or stopping ({@link LeaderEligibility#INELIGIBLE}) can't take
   * callers and don't count.
   *
   * @param shortForNanos how long the daemon has been short
   * @param dataCentre the data centre of the daemon
   * @param live the last messages of the other live daemons, of any data centre
   */
  public static boolean acceptsCallers(
      long shortForNanos, String dataCentre, Collection<PeerMessage> live) {
    if (shortForNanos < MESSAGE_AGE_NANOS) {
      return true;
    }
    int others = 0;
    int shortOthers = 0;
    for (PeerMessage message : live) {
      boolean isLocal = message.dataCentre().equals(dataCentre);
      if (isLocal && message.eligibility() != LeaderEligibility.INELIGIBLE) {
        others++;
        shortOthers += message.isShort() ? 1 : 0;
      }
    }
    return others == 0 || shortOthers > WIDESPREAD_SHARE * others;
  }
}
