package org.fawnvale.serving.gateway;

import java.util.List;
import org.apache.hc.core5.http.HttpRequest;
import org.fawnvale.serving.core.dispatch.DispatchRequest;
import org.fawnvale.serving.core.model.RequestSize;
import org.fawnvale.serving.core.model.Route;
import org.fawnvale.serving.core.model.Workspace;
import org.fawnvale.serving.core.quarantine.Fingerprint;
import org.jspecify.annotations.Nullable;

/**
 * A caller's request that has passed the checks and may be forwarded.
 *
 * @param id id of this attempt of the caller
 * @param head request line and headers
 * @param body complete body
 * @param route matching route
 * @param demand what the dispatcher needs to choose an upstream
 * @param size size that the request states
 * @param promptParts ids of the parts of the prompt that other requests may share, in order
 * @param workspace workspace of the caller's key; null when the key is unknown and not required
 * @param configurationVersion version of the configuration that the route comes from
 * @param receivedNanos time at which the request was complete, by {@link System#nanoTime}
 * @param deadlineNanos time by which the caller must have the response, by the same clock
 * @param earlierAttempts attempts that may have run the request before another daemon forwarded it;
 *     {@link #NOT_FORWARDED} if it comes from the caller
 */
record CallerRequest(
    String id,
    HttpRequest head,
    byte[] body,
    Route route,
    DispatchRequest demand,
    RequestSize size,
    List<String> promptParts,
    @Nullable Workspace workspace,
    long configurationVersion,
    long receivedNanos,
    long deadlineNanos,
    int earlierAttempts) {

  /** The attempts of a request that comes from the caller. */
  static final int NOT_FORWARDED = -1;

  /** Returns whether another daemon has forwarded the request. */
  boolean isForwarded() {
    return earlierAttempts != NOT_FORWARDED;
  }

  /** Computes the fingerprint that all repeats of the request share; not cached. */
  Fingerprint fingerprint() {
    return Fingerprints.of(head, body, workspace);
  }
}
