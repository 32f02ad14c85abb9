package org.fawnvale.core.model;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;

/**
 * A group of nodes that serves one role together; the first member takes the requests.
 *
 * @param id its identifier, unique within the fabric domain
 * @param role the role it serves
 * @param model the model it serves
 * @param version the model's full version
 * @param generation rises whenever any member or the version changes; unique in the domain
 * @param members names of its nodes, the leader first
 * @param draining true when it gets no new work
 */
public record Replica(
    String id,
    String role,
    String model,
    String version,
    long generation,
    List<String> members,
    boolean draining) {

  /** Copies the list. */
  public Replica {
    members = List.copyOf(members);
  }

  /**
   * The member that takes requests.
   *
   * @return its name
   */
  @JsonIgnore
  public String head() {
    return members.get(0);
  }

  /**
   * The same replica, draining.
   *
   * @return a copy that gets no new work
   */
  public Replica asDraining() {
    return new Replica(id, role, model, version, generation, members, true);
  }
}
