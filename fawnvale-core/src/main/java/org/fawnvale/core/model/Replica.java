package org.fawnvale.core.model;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.List;

/**
 * A group of nodes that serve one role together; the first member is the head and takes the
 * requests.
 *
 * @param id identifier of the replica, unique within the fabric domain
 * @param role name of the role
 * @param model name of the model
 * @param version the model's full version
 * @param generation increases when the members or the version change; unique within the domain
 * @param members names of the member nodes, the head first
 * @param draining true when the replica gets no new requests
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

  /** Returns the name of the member that takes the requests. */
  @JsonIgnore
  public String head() {
    return members.get(0);
  }

  /** Returns a copy of this replica that is draining. */
  public Replica asDraining() {
    return new Replica(id, role, model, version, generation, members, true);
  }
}
