package org.fawnvale.serving.daemon;

import java.util.Collection;
import java.util.Set;
import java.util.function.Supplier;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.dispatch.StallDetector;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.gateway.Gateway;
import org.fawnvale.serving.http.HttpClient;
import org.fawnvale.serving.peer.Peers;
import org.jspecify.annotations.Nullable;

/**
 * Regularly checks this daemon's path to the upstreams and the heads behind its streams, and
 * notifies peers at once of what has changed.
 */
final class UpstreamChecks {

  private final ReachUpdates reach;
  private final HeadSuspicions suspicions;
  private final Gateway gateway;
  private final Dispatcher dispatcher;
  private final HttpClient client;
  private final Runnable notifyPeers;
  private final long startedNanos = System.nanoTime();
  private boolean leavesLostPath;
  private boolean wasAsked;

  /**
   * Creates the checks of a daemon that has just started.
   *
   * @param notifyPeers sends this daemon's state to its peers at once
   */
  UpstreamChecks(
      ReachUpdates reach,
      HeadSuspicions suspicions,
      Gateway gateway,
      Dispatcher dispatcher,
      HttpClient client,
      Runnable notifyPeers) {
    this.reach = reach;
    this.suspicions = suspicions;
    this.gateway = gateway;
    this.dispatcher = dispatcher;
    this.client = client;
    this.notifyPeers = notifyPeers;
  }

  /**
   * Checks the path. A daemon that reaches no upstream must not lead, so peers learn of it at once.
   *
   * @param configuration the configuration in force; null before there is one
   * @param engines supplies the nodes that form groups
   * @param nodes all nodes that are known
   * @param peers know which upstreams other daemons hear
   */
  void checkPath(
      @Nullable Configuration configuration,
      Supplier<Collection<Node>> engines,
      Collection<Node> nodes,
      Peers peers) {
    reach.setHeardElsewhere(peers.heardElsewhere());
    boolean wasLost = reach.isLost();
    boolean isAsked = peers.isAnyDoubtful();
    boolean changed = reach.tick(configuration, engines, nodes, isAsked);
    leaveLostPath();
    if (reach.isLost() && !wasLost) {
      nodes.forEach(node -> client.closeIdle(node.endpoint()));
    } else if (wasLost && !reach.isLost()) {
      suspicions.clear();
    }
    if (changed || isAsked && !wasAsked) {
      notifyPeers.run();
    }
    wasAsked = isAsked;
  }

  /** Lets other daemons serve the requests in flight, once one of them hears upstreams. */
  private void leaveLostPath() {
    boolean leaves = reach.isLost() && reach.isHeardElsewhere();
    if (leaves && !leavesLostPath) {
      gateway.onPathLost();
    }
    leavesLostPath = leaves;
  }

  /** Checks the heads behind the streams in flight. */
  void checkStreams() {
    if (gateway.inFlight() == 0) {
      return;
    }
    Set<String> peerSuspects = suspicions.peerSuspects();
    dispatcher.setReportedSuspects(peerSuspects);
    if (StallDetector.isWarmedUp(System.nanoTime() - startedNanos)) {
      gateway.checkStreams(peerSuspects);
    }
    if (suspicions.takeNew()) {
      notifyPeers.run();
    }
    suspicions.expire(System.nanoTime());
  }
}
