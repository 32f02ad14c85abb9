package org.fawnvale.serving.core.quarantine;

import java.util.List;

/**
 * What may have crashed a node whose connection broke during a request.
 *
 * @param request the request as a whole
 * @param parts the parts of its prompt that other requests may share; empty unless the node had
 *     just begun to answer the request
 */
public record CrashSuspects(Fingerprint request, List<Fingerprint> parts) {}
