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
 * Determines whether a node whose connection broke has exited, which is the case when nothing
 * listens at its address. A broken connection alone is no proof: an unreliable network breaks
 * connections to running nodes as well. Callers that ask for the same address share a probe.
 */
final class NodeExitProbe {

  private final NodeClient client;
  private final Map<Endpoint, List<Consumer<Boolean>>> waiting = new HashMap<>();

  NodeExitProbe(NodeClient client) {
    this.client = client;
  }

  /**
   * Probes an address.
   *
   * @param result receives whether the process at the address has exited
   */
  void probe(Endpoint endpoint, Consumer<Boolean> result) {
    List<Consumer<Boolean>> callbacks = waiting.get(endpoint);
    if (callbacks != null) {
      callbacks.add(result);
    } else {
      startProbe(endpoint, List.of(result));
    }
  }

  private void startProbe(Endpoint endpoint, List<Consumer<Boolean>> callbacks) {
    waiting.put(endpoint, new ArrayList<>());
    client.look(endpoint, listening -> complete(endpoint, callbacks, listening));
  }

  /** Callers that asked during the probe may have observed a later break and need another probe. */
  private void complete(
      Endpoint endpoint, List<Consumer<Boolean>> callbacks, HttpClient.Listening listening) {
    boolean exited = listening == HttpClient.Listening.NO;
    List<Consumer<Boolean>> askedDuringProbe = waiting.remove(endpoint);
    callbacks.forEach(result -> result.accept(exited));
    if (askedDuringProbe == null || askedDuringProbe.isEmpty()) {
      return;
    }
    if (exited) {
      askedDuringProbe.forEach(result -> result.accept(true));
    } else {
      startProbe(endpoint, askedDuringProbe);
    }
  }
}
