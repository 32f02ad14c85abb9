package org.fawnvale.daemon.gateway;

import org.fawnvale.core.model.Node;
import org.fawnvale.core.model.Replica;
import org.fawnvale.core.routing.Candidate;
import org.jspecify.annotations.Nullable;

/**
 * A node that requests can be sent to.
 *
 * @param candidate the router's view of the target: its key, load and concurrency limit
 * @param node the node that receives the requests
 * @param replica the replica whose head the node is; null for a plain service
 */
public record Target(Candidate candidate, Node node, @Nullable Replica replica) {}
