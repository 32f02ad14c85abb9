package org.fawnvale.core.model;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * An order to a node's engine with the complete target state; orders are idempotent.
 *
 * @param node the node that receives the order
 * @param epoch the lease epoch of the sender; an engine with fencing refuses lower ones
 * @param generation the replica's generation, or the last one assigned in the domain when there is
 *     no replica; an engine with fencing refuses lower ones
 * @param replica the replica to join; null to leave all replicas or to preload weights
 * @param memberIndex index of the node among the members, from 0
 * @param members all members, the head first; empty when leaving or preloading
 * @param model the model to serve; null when leaving
 * @param version the model's full version; null when leaving
 * @param weightGigabytes size of the weights to load, gigabytes
 * @param role the role; null when leaving or preloading
 * @param draining true to finish running requests and take no new ones
 */
public record Order(
    String node,
    long epoch,
    long generation,
    @Nullable String replica,
    int memberIndex,
    List<String> members,
    @Nullable String model,
    @Nullable String version,
    double weightGigabytes,
    @Nullable String role,
    boolean draining) {

  /** Copies the list. */
  public Order {
    members = List.copyOf(members);
  }

  /**
   * Creates an order that assigns a node to its replica.
   *
   * @param node the member
   * @param epoch the sender's lease epoch
   * @param weightGigabytes size of the weights to load, gigabytes
   */
  public static Order join(Replica replica, String node, long epoch, double weightGigabytes) {
    return new Order(
        node,
        epoch,
        replica.generation(),
        replica.id(),
        replica.members().indexOf(node),
        replica.members(),
        replica.model(),
        replica.version(),
        weightGigabytes,
        replica.role(),
        replica.draining());
  }

  /**
   * Creates an order that preloads weights on a node outside all replicas.
   *
   * @param epoch the sender's lease epoch
   * @param generation the last generation assigned in the domain
   * @param model the model to load
   */
  public static Order preload(String node, long epoch, long generation, Model model) {
    return new Order(
        node,
        epoch,
        generation,
        null,
        0,
        List.of(),
        model.name(),
        model.fullVersion(),
        model.weightGigabytes(),
        null,
        false);
  }

  /**
   * Creates an order that removes a node from all replicas.
   *
   * @param epoch the sender's lease epoch
   * @param generation the last generation assigned in the domain
   */
  public static Order leave(String node, long epoch, long generation) {
    return new Order(node, epoch, generation, null, 0, List.of(), null, null, 0, null, false);
  }
}
