package org.fawnvale.serving.core.model;

import org.jspecify.annotations.Nullable;

/**
 * What the head of a node's answer says of the node and of the request, beside the answer itself.
 *
 * @param status the status of the answer
 * @param notRun whether the node surely did not run the request and will not
 * @param leaving whether the node says that it is leaving
 * @param retryAfterMillis how long the node wants nothing from this daemon, in milliseconds; 0 when
 *     it asks for no rest
 * @param faultyNode the id of the node that it holds to be at fault; null when it names none
 * @param limit the limit that it names; null when it names none
 */
public record NodeResponse(
    int status,
    boolean notRun,
    boolean leaving,
    long retryAfterMillis,
    @Nullable String faultyNode,
    @Nullable AdvertisedLimit limit) {}
