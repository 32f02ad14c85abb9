package org.fawnvale.serving.spi;

/**
 * Names of the headers that callers and upstreams use.
 *
 * @param requestId id of one attempt of a caller
 * @param deadline milliseconds that are left
 * @param signature what an upstream signs its answers with
 * @param expectedNode id of the node that may run a request
 * @param workspace name of the workspace
 * @param model name of the model
 * @param lastEvent id of the last event that was received
 * @param priority rank of a request at its upstream
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
