package org.fawnvale.serving.spi;

/**
 * Names of the headers that callers and upstreams use.
 *
 * @param requestId id of one attempt of a caller's request
 * @param deadline time until the caller's deadline, in milliseconds
 * @param signature signature of a response by its upstream
 * @param expectedNode id of the only node that may run the request
 * @param workspace name of the workspace
 * @param model name of the model
 * @param lastEvent id of the last event that was received
 * @param priority priority of the request at its upstream
 */
public record HeaderNames(
    String requestId,
    String deadline,
    String signature,
    String expectedNode,
    String workspace,
    String model,
    String lastEvent,
    String priority) {}
