package org.fawnvale.serving.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.http.HttpClient;
import org.fawnvale.serving.http.NodeClient;

/**
 * Finds out whether a node whose connection broke has ended: then nothing listens at its address. A
 * broken connection alone says little: up to four in ten answers are lost that way while networks
 * are in trouble, and five harmless requests were held guilty within four seconds (semilla-viva, a
 * day with lost answers). One look at an address serves all that wait for it.
 */
final class NodeExitProbe {

  private final NodeClient client;
  private final Map<Endpoint, List<Consumer<Boolean>>> waiting = new HashMap<>();

  NodeExitProbe(NodeClient client) {
    this.client = client;
  }

  /** Tells whether the process at an address has ended by now. */
  void ask(Endpoint endpoint, Consumer<Boolean> told) {
    List<Consumer<Boolean>> others = waiting.get(endpoint);
    if (others != null) {
      others.add(told);
    } else {
      look(endpoint, List.of(told));
    }
  }

  private void look(Endpoint endpoint, List<Consumer<Boolean>> asked) {
    waiting.put(endpoint, new ArrayList<>());
    client.probe(endpoint, listening -> tell(endpoint, asked, listening));
  }

  /** Whoever came while the look was under way may have seen a break that is later than it. */
  private void tell(
      Endpoint endpoint, List<Consumer<Boolean>> asked, HttpClient.ProbeResult listening) {
    boolean ended = listening == HttpClient.ProbeResult.REFUSED;
    List<Consumer<Boolean>> later = waiting.remove(endpoint);
    asked.forEach(told -> told.accept(ended));
    if (later == null || later.isEmpty()) {
      return;
    }
    if (ended) {
      later.forEach(told -> told.accept(true));
    } else {
      look(endpoint, later);
    }
  }
}
