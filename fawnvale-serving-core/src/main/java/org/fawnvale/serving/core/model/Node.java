package org.fawnvale.serving.core.model;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * One incarnation of an upstream node, as the platform lists it. Jackson writes the component names
 * into the copies that daemons exchange.
 *
 * @param life its id and start time
 * @param service the service that it belongs to
 * @param endpoint the address that it listens on
 * @param slots requests that it processes concurrently
 * @param draining whether it is leaving and accepts no new requests
 * @param domain its fabric domain; empty for a plain service
 * @param model the model of its group; null when it has none
 * @param staged the models whose weights are stored on its host
 * @param membership its membership of a group; null when it has none
 * @param coldRemainingMillis how much longer the node is cold, as of the writing of its entry, in
 *     milliseconds; 0 when it is warm
 */
public record Node(
    NodeIncarnation life,
    String service,
    Endpoint endpoint,
    String dataCentre,
    int slots,
    boolean draining,
    String domain,
    @Nullable String model,
    List<String> staged,
    @Nullable Membership membership,
    int coldRemainingMillis) {

  /** Creates a node that is warm. */
  public Node(
      NodeIncarnation life,
      String service,
      Endpoint endpoint,
      String dataCentre,
      int slots,
      boolean draining,
      String domain,
      @Nullable String model,
      List<String> staged,
      @Nullable Membership membership) {
    this(
        life, service, endpoint, dataCentre, slots, draining, domain, model, staged, membership, 0);
  }

  /** Returns the id, which an earlier incarnation may have had too. */
  public String id() {
    return life.id();
  }

  /**
   * Returns a copy with the group and the models that the node itself has reported.
   *
   * @param newModel the model of its group; null when it has none
   * @param newStaged the models whose weights are stored on its host
   * @param newMembership its membership of a group; null when it has none
   * @return the changed copy
   */
  public Node withGroup(
      @Nullable String newModel, List<String> newStaged, @Nullable Membership newMembership) {
    return new Node(
        life,
        service,
        endpoint,
        dataCentre,
        slots,
        draining,
        domain,
        newModel,
        newStaged,
        newMembership,
        coldRemainingMillis);
  }

  /**
   * Returns a copy with the number of slots of the node's group.
   *
   * @param groupSlots requests that the group processes concurrently
   * @return the changed copy
   */
  public Node withSlots(int groupSlots) {
    return new Node(
        life,
        service,
        endpoint,
        dataCentre,
        groupSlots,
        draining,
        domain,
        model,
        staged,
        membership,
        coldRemainingMillis);
  }

  /**
   * Returns a copy that is marked as draining.
   *
   * @return the changed copy
   */
  public Node asDraining() {
    return new Node(
        life,
        service,
        endpoint,
        dataCentre,
        slots,
        true,
        domain,
        model,
        staged,
        membership,
        coldRemainingMillis);
  }
}
