package org.fawnvale.serving.gateway;

import java.util.Collection;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.fawnvale.serving.core.dispatch.SilenceCheck;
import org.fawnvale.serving.core.formation.GroupOrder;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.http.BufferedCall;
import org.fawnvale.serving.http.HttpClient;
import org.fawnvale.serving.http.NodeClient;
import org.fawnvale.serving.spi.Call;
import org.fawnvale.serving.spi.Platform;
import org.jspecify.annotations.Nullable;

/**
 * Asks a silent node for its report over a new connection, since an open one may be silent for good
 * while new ones work. Callers of the methods hold the lock.
 */
final class SilenceQuery implements SilenceMonitor.Query, BiConsumer<Node, SilenceCheck.Finding> {

  /** Longer than a pause after which the next query is sent, so that its end is noticed. */
  private static final long TIMEOUT_MILLIS = 1_500;

  private static final long NO_FENCE = 0;

  private final NodeClient client;
  private final Platform platform;
  private @Nullable Function<Node, Collection<Node>> otherMembers;

  SilenceQuery(NodeClient client, Platform platform) {
    this.client = client;
    this.platform = platform;
  }

  /** Sets what knows the other members of a head's group. */
  void setOtherMembers(Function<Node, Collection<Node>> members) {
    otherMembers = members;
  }

  /** Asks a head and, once it has answered, the other members of its group. */
  @Override
  public void send(Node head, SilenceCheck check) {
    send(head, check, () -> askMembers(head, check));
  }

  private void askMembers(Node head, SilenceCheck check) {
    Function<Node, Collection<Node>> members = otherMembers;
    if (members != null) {
      members
          .apply(head)
          .forEach(member -> send(member, check.addMember(System.nanoTime()), () -> {}));
    }
  }

  private void send(Node node, SilenceCheck check, Runnable onAnswer) {
    client.probe(node.endpoint(), result -> connected(node, result, check, onAnswer));
  }

  private void connected(
      Node node, HttpClient.ProbeResult result, SilenceCheck check, Runnable onAnswer) {
    switch (result) {
      case LISTENING -> {
        check.connected(System.nanoTime());
        Call query = platform.order(GroupOrder.reportQuery(node, NO_FENCE));
        client.call(node, query, TIMEOUT_MILLIS, reply -> answered(reply, check, onAnswer));
      }
      case REFUSED -> check.disconnected();
      default -> {
        // UNKNOWN: the check finds by itself that no connection has opened.
      }
    }
  }

  /** Reports a head that is silent as evidence of this daemon's path. */
  @Override
  public void accept(Node head, SilenceCheck.Finding finding) {
    switch (finding) {
      case DISCONNECTED, UNREACHABLE -> client.reportDisconnected(head);
      default -> client.reportSilence(head);
    }
  }

  /**
   * A node in a Retry-After pause is sent no query: that it accepts connections is all it shows.
   */
  private static void answered(BufferedCall.Reply reply, SilenceCheck check, Runnable onAnswer) {
    if (reply instanceof BufferedCall.Answered) {
      check.answered(System.nanoTime());
      onAnswer.run();
      return;
    }
    switch (((BufferedCall.Failed) reply).failure()) {
      case REFUSED -> check.disconnected();
      case UNREACHABLE, BROKEN -> check.broken();
      case HELD, SILENT -> {
        // Nothing shows that the node has failed.
      }
      default -> throw new IllegalStateException("Unknown failure of a call.");
    }
  }
}
