package org.fawnvale.serving.gateway;

import org.apache.hc.core5.http.HttpRequest;
import org.fawnvale.serving.core.dispatch.DispatchRequest;
import org.fawnvale.serving.core.model.RequestSize;
import org.fawnvale.serving.core.model.Route;
import org.fawnvale.serving.core.model.Workspace;
import org.fawnvale.serving.core.quarantine.Fingerprint;
import org.jspecify.annotations.Nullable;

/**
 * A caller's request that may be forwarded.
 *
 * @param id its id
 * @param head its head
 * @param body its body
 * @param route its route
 * @param demand what it asks of the dispatcher
 * @param size how much work it is
 * @param workspace the workspace behind its key; null when the route needs none
 * @param version the version of the configuration that decided so
 * @param receivedNanos when it was whole, by the steady clock
 * @param untilNanos when it must be answered, by the steady clock
 */
record CallerRequest(
    String id,
    HttpRequest head,
    byte[] body,
    Route route,
    DispatchRequest demand,
    RequestSize size,
    @Nullable Workspace workspace,
    long version,
    long receivedNanos,
    long untilNanos) {

  /** What its repeats have in common with it; made anew with each call. */
  Fingerprint fingerprint() {
    return Fingerprints.of(head, body, workspace);
  }
}
