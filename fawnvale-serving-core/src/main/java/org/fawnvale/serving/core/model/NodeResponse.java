package org.fawnvale.serving.core.model;

import org.jspecify.annotations.Nullable;

/**
 * What the status and headers of a node's response signal about the request and the node.
 *
 * @param status the HTTP status
 * @param notRun whether the node guarantees that it did not and will not run the request
 * @param leaving whether the node announces that it is leaving
 * @param retryAfterMillis the Retry-After pause in which this daemon must send the node nothing, in
 *     milliseconds; 0 when it asks for none
 * @param faultyNode the id of the node that the responding node reports as faulty; null when it
 *     reports none
 * @param limit the rate limit that the node advertises; null when it advertises none
 * @param coldRemainingMillis how much longer the node is cold, in milliseconds; 0 when the response
 *     does not tell
 */
public record NodeResponse(
    int status,
    boolean notRun,
    boolean leaving,
    long retryAfterMillis,
    @Nullable String faultyNode,
    @Nullable AdvertisedLimit limit,
    int coldRemainingMillis) {

  /** Creates a response that does not tell whether the node is cold. */
  public NodeResponse(
      int status,
      boolean notRun,
      boolean leaving,
      long retryAfterMillis,
      @Nullable String faultyNode,
      @Nullable AdvertisedLimit limit) {
    this(status, notRun, leaving, retryAfterMillis, faultyNode, limit, 0);
  }
}
