package org.fawnvale.serving.core.admission;

/**
 * A request that waits for an upstream.
 *
 * @param request the request
 * @param model the service and model whose upstreams it waits for, as the configuration names them
 * @param urgency 0, the most urgent, to 9
 * @param deadlineNanos the monotonic time by which its caller must have the answer, in nanoseconds
 * @param waitUntilNanos the monotonic time at which it is refused, in nanoseconds
 */
public record Waiting<T>(
    T request, String model, int urgency, long deadlineNanos, long waitUntilNanos) {}
