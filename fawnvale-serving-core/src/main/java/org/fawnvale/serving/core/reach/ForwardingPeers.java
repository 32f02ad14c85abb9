package org.fawnvale.serving.core.reach;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.fawnvale.serving.core.peer.LeaderEligibility;
import org.fawnvale.serving.core.peer.PeerMessage;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the daemon that forwards a request for one that does not reach upstreams itself. Daemons
 * of the own data centre are preferred, unless most of them have lost their paths as well: the few
 * that are left would have to serve the whole data centre.
 */
public final class ForwardingPeers {

  /** Daemons that are compared, of which the one with fewer requests in progress is chosen. */
  private static final int CHOICES = 2;

  private final String dataCentre;
  private final Random random;

  /**
   * Creates the choice of one daemon.
   *
   * @param dataCentre the daemon's data centre
   * @param random draws the peers that are compared
   */
  public ForwardingPeers(String dataCentre, Random random) {
    this.dataCentre = dataCentre;
    this.random = random;
  }

  /**
   * Chooses a peer.
   *
   * @param live the last messages of the other live daemons
   * @param excluded names of daemons that the request must not be sent to again
   * @return the peer; null if no other daemon reaches upstreams
   */
  public @Nullable PeerMessage choose(Collection<PeerMessage> live, Set<String> excluded) {
    List<PeerMessage> near = new ArrayList<>();
    List<PeerMessage> all = new ArrayList<>();
    int nearWithoutPath = 1;
    for (PeerMessage peer : live) {
      boolean isNear = peer.dataCentre().equals(dataCentre);
      if (peer.eligibility() == LeaderEligibility.WITHOUT_UPSTREAMS) {
        nearWithoutPath += isNear ? 1 : 0;
      } else if (forwards(peer) && !excluded.contains(peer.name())) {
        all.add(peer);
        if (isNear) {
          near.add(peer);
        }
      }
    }
    return lessLoaded(near.size() >= nearWithoutPath ? near : all);
  }

  /**
   * Returns whether any other daemon reaches upstreams.
   *
   * @param live the last messages of the other live daemons
   * @return false if this daemon can only try for itself
   */
  public boolean anyForwards(Collection<PeerMessage> live) {
    return live.stream().anyMatch(ForwardingPeers::forwards);
  }

  private static boolean forwards(PeerMessage peer) {
    return peer.eligibility() == LeaderEligibility.ELIGIBLE
        || peer.eligibility() == LeaderEligibility.WITHOUT_STORE;
  }

  private @Nullable PeerMessage lessLoaded(List<PeerMessage> peers) {
    PeerMessage best = null;
    for (int choice = 0; choice < CHOICES && !peers.isEmpty(); choice++) {
      PeerMessage drawn = peers.get(random.nextInt(peers.size()));
      best = best == null || inFlight(drawn) < inFlight(best) ? drawn : best;
    }
    return best;
  }

  private static int inFlight(PeerMessage peer) {
    return peer.inFlight().values().stream().mapToInt(Integer::intValue).sum();
  }
}
