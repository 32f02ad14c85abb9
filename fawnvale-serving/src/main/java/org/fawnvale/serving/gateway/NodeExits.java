package org.fawnvale.serving.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.quarantine.CrashSuspects;
import org.fawnvale.serving.core.reach.UpstreamPath;
import org.fawnvale.serving.http.NodeClient;

/**
 * Determines which nodes have exited, of those whose connections broke during requests. Callers of
 * the methods hold the lock.
 */
final class NodeExits {

  /**
   * Delay before an exit of a node in another data centre is recorded. A network partition may
   * reset connections and refuse new ones; the data centre then becomes unreachable within about a
   * second.
   */
  private static final long REMOTE_CONFIRMATION_NANOS = 1_100_000_000L;

  private final Dispatcher dispatcher;
  private final NodeExitProbe probe;
  private final Supplier<UpstreamPath> path;
  private final Listener listener;
  private final Deque<RemoteExit> remoteExits = new ArrayDeque<>();
  private final Deque<DoubtfulExit> doubtfulExits = new ArrayDeque<>();

  /** Receives the exits. */
  @FunctionalInterface
  interface Listener {

    /** Called when a node has exited under a request. */
    void exited(CrashSuspects suspects, Node node);
  }

  /**
   * The apparent exit of a node in another data centre; recorded if the node is reachable at the
   * due time.
   */
  private record RemoteExit(CrashSuspects suspects, Node node, long dueNanos) {}

  /** An apparent exit while this daemon's path was in doubt, and what waits for the probe. */
  private record DoubtfulExit(CrashSuspects suspects, Node node, Runnable probed) {}

  NodeExits(
      NodeClient client, Dispatcher dispatcher, Supplier<UpstreamPath> path, Listener listener) {
    this.dispatcher = dispatcher;
    this.probe = new NodeExitProbe(client);
    this.path = path;
    this.listener = listener;
  }

  /**
   * Determines whether the node whose connection broke during a request has exited. While this
   * daemon's own path is in doubt, a refused connection shows nothing about the node yet.
   *
   * @param probed runs after the probe; an exit in another data centre is confirmed later
   */
  void onConnectionBroken(CrashSuspects suspects, Node node, Runnable probed) {
    probe.probe(
        node.endpoint(),
        exited -> {
          if (exited && path.get().isDoubtful()) {
            doubtfulExits.addLast(new DoubtfulExit(suspects, node, probed));
            return;
          }
          if (exited) {
            handleExit(suspects, node);
          }
          probed.run();
        });
  }

  /**
   * Checks whether a node has exited, without a record of it.
   *
   * @param result receives true if nothing listens at its address
   */
  void checkExited(Node node, Consumer<Boolean> result) {
    probe.probe(node.endpoint(), result);
  }

  private void handleExit(CrashSuspects suspects, Node node) {
    if (dispatcher.isLocal(node)) {
      listener.exited(suspects, node);
    } else {
      remoteExits.addLast(
          new RemoteExit(suspects, node, System.nanoTime() + REMOTE_CONFIRMATION_NANOS));
    }
  }

  /**
   * Records the exits that appeared while this daemon's path was in doubt, once an upstream is
   * heard; drops them once the path is lost, since then nothing shows that the nodes exited.
   */
  private void resolveDoubtfulExits() {
    boolean lost = path.get().isLost();
    if (path.get().isDoubtful() && !lost) {
      return;
    }
    while (!doubtfulExits.isEmpty()) {
      DoubtfulExit exit = doubtfulExits.removeFirst();
      if (!lost) {
        handleExit(exit.suspects(), exit.node());
      }
      exit.probed().run();
    }
  }

  /**
   * Records the delayed exits of nodes: those in other data centres that are still reachable, and
   * those that appeared while this daemon's own path was in doubt.
   */
  void confirmDelayed() {
    resolveDoubtfulExits();
    long now = System.nanoTime();
    while (!remoteExits.isEmpty() && remoteExits.peekFirst().dueNanos() <= now) {
      RemoteExit exit = remoteExits.removeFirst();
      if (dispatcher.isReachable(exit.node())) {
        listener.exited(exit.suspects(), exit.node());
      }
    }
  }
}
