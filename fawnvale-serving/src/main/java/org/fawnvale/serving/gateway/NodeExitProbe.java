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
 * connections to running nodes as well, and taking them for proof quarantined harmless requests
 * within seconds. Callers that ask for the same address share a probe.
 */
final class NodeExitProbe {

  private final NodeClient client;
  private final Map<Endpoint, List<Consumer<Boolean>>> addedDuringProbe = new HashMap<>();

  NodeExitProbe(NodeClient client) {
    this.client = client;
  }

  /**
   * Probes an address.
   *
   * @param result receives whether the process at the address has exited
   */
  void probe(Endpoint endpoint, Consumer<Boolean> result) {
    List<Consumer<Boolean>> callbacks = addedDuringProbe.get(endpoint);
    if (callbacks != null) {
      callbacks.add(result);
    } else {
      startProbe(endpoint, List.of(result));
    }
  }

  private void startProbe(Endpoint endpoint, List<Consumer<Boolean>> callbacks) {
    addedDuringProbe.put(endpoint, new ArrayList<>());
    client.probe(endpoint, listening -> complete(endpoint, callbacks, listening));
  }

  /**
   * Passes the result to the callbacks. Callbacks that were added during the probe may concern a
   * later break, so they need another probe unless the process has exited. That probe begins before
   * any callback runs, since a callback may ask for the same address.
   */
  private void complete(
      Endpoint endpoint, List<Consumer<Boolean>> callbacks, HttpClient.ProbeResult listening) {
    boolean exited = listening == HttpClient.ProbeResult.REFUSED;
    List<Consumer<Boolean>> added = addedDuringProbe.remove(endpoint);
    List<Consumer<Boolean>> later = added == null ? List.of() : added;
    if (!exited && !later.isEmpty()) {
      startProbe(endpoint, later);
    }
    callbacks.forEach(result -> result.accept(exited));
    if (exited) {
      later.forEach(result -> result.accept(true));
    }
  }
}
