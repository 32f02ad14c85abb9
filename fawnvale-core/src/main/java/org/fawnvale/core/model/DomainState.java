package org.fawnvale.core.model;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * All replicas of one fabric domain, stored as one object on the platform.
 *
 * <p>The constructor rejects a state in which a node is in two replicas. Daemons write the state
 * with conditional updates, so each node is in at most one replica.
 *
 * @param dataCentre the data centre of the domain
 * @param domain the fabric domain
 * @param lastGeneration the highest generation ever assigned in the domain
 * @param replicas the replicas of the domain
 * @param operation identifier of the operation that wrote this state
 */
public record DomainState(
    String dataCentre,
    String domain,
    long lastGeneration,
    List<Replica> replicas,
    String operation) {

  /**
   * Copies the list and checks membership.
   *
   * @throws IllegalArgumentException if a node is in two replicas, an identifier or generation is
   *     used twice, or a generation is greater than the last one
   */
  public DomainState {
    replicas = List.copyOf(replicas);
    Set<String> members = new HashSet<>();
    Set<Object> identities = new HashSet<>();
    for (Replica replica : replicas) {
      if (!identities.add(replica.id()) || !identities.add(replica.generation())) {
        throw new IllegalArgumentException("Replica " + replica.id() + " is listed twice.");
      }
      if (replica.generation() > lastGeneration) {
        throw new IllegalArgumentException(
            "Generation of replica " + replica.id() + " is greater than lastGeneration.");
      }
      for (String member : replica.members()) {
        if (!members.add(member)) {
          throw new IllegalArgumentException("Node " + member + " is in two replicas.");
        }
      }
    }
  }

  /** Creates the state of a fabric domain without replicas. */
  public static DomainState empty(String dataCentre, String domain) {
    return new DomainState(dataCentre, domain, 0, List.of(), "");
  }

  /** Finds the replica that a node is a member of. */
  public Optional<Replica> replicaOf(String node) {
    return replicas.stream().filter(replica -> replica.members().contains(node)).findFirst();
  }
}
