package org.fawnvale.core.model;

import java.util.List;

/**
 * A role: a kind of replica that the bundle requires.
 *
 * @param name the name of the role, unique within the bundle
 * @param model the name of the model
 * @param kind the phases of a request that its replicas process
 * @param nodesPerReplica members of each replica, 1 to 32
 * @param replicasPerDataCentre required replicas in each data centre
 * @param extraReplicas additional replicas that may be formed from idle nodes in each data centre
 * @param minimumReady replicas that stay ready in each data centre during a rollout
 * @param maximumConcurrent requests that one replica runs concurrently
 * @param dataCentres the data centres of the role; empty for all
 */
public record Role(
    String name,
    String model,
    RoleKind kind,
    int nodesPerReplica,
    int replicasPerDataCentre,
    int extraReplicas,
    int minimumReady,
    int maximumConcurrent,
    List<String> dataCentres) {

  /** Copies the list; a missing list is empty, a missing kind is COMBINED. */
  public Role {
    kind = kind == null ? RoleKind.COMBINED : kind;
    dataCentres = dataCentres == null ? List.of() : List.copyOf(dataCentres);
  }

  /** Returns true when the role runs in the data centre. */
  public boolean runsIn(String dataCentre) {
    return dataCentres.isEmpty() || dataCentres.contains(dataCentre);
  }
}
