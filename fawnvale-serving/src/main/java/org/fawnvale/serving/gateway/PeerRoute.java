package org.fawnvale.serving.gateway;

import java.util.HashSet;
import java.util.Set;
import org.fawnvale.serving.core.dispatch.Choice;
import org.fawnvale.serving.core.peer.PeerMessage;
import org.jspecify.annotations.Nullable;

/**
 * Decides for one request whether another daemon is to serve it, and which. Callers of the methods
 * hold the lock.
 */
final class PeerRoute {

  /** The most daemons that a request is forwarded to, one after the other. */
  private static final int MAX_PEERS = 3;

  private final Gateway gateway;
  private final CallerRequest request;
  private final Set<String> tried = new HashSet<>();

  PeerRoute(Gateway gateway, CallerRequest request) {
    this.gateway = gateway;
    this.request = request;
  }

  /** Returns whether another daemon may reach upstreams that this one does not reach. */
  boolean isPreferredTo(Choice choice) {
    if (choice instanceof Choice.Send send) {
      boolean paused = gateway.dispatcher().state(send.node().id()).isPaused();
      return paused && gateway.upstreamPath().isHeardElsewhere();
    }
    return gateway.isPathDoubtful() || gateway.dispatcher().suspectsAll(request.demand());
  }

  /**
   * Chooses the next daemon.
   *
   * @return null if there is none, or if another daemon has forwarded the request to this one
   */
  @Nullable PeerMessage next() {
    PeerForwarding forwarding = gateway.peerForwarding();
    if (forwarding == null || request.isForwarded() || tried.size() >= MAX_PEERS) {
      return null;
    }
    PeerMessage peer = forwarding.choose(tried);
    if (peer != null) {
      tried.add(peer.name());
    }
    return peer;
  }

  /** Lets the request be forwarded to a daemon again, since it reaches upstreams. */
  void mayReturnTo(PeerMessage peer) {
    tried.remove(peer.name());
  }
}
