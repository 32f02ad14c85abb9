package org.fawnvale.serving.core.model;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * One life of an upstream node, as the platform's list shows it.
 *
 * @param incarnation which life of which id it is
 * @param service the service it belongs to
 * @param endpoint where it listens
 * @param dataCentre its data centre
 * @param slots requests that it works on at once
 * @param draining whether it is leaving
 * @param domain its fabric domain; empty for a plain service
 * @param model the model of its group; null when it has none
 * @param staged the models whose weights lie on its host
 * @param membership its place in a group; null when it has none
 */
public record Node(
    NodeIncarnation incarnation,
    String service,
    Endpoint endpoint,
    String dataCentre,
    int slots,
    boolean draining,
    String domain,
    @Nullable String model,
    List<String> staged,
    @Nullable Membership membership) {

  /**
   * The id that this life has.
   *
   * @return the id, which an earlier life may have had
   */
  public String id() {
    return incarnation.id();
  }

  /**
   * Replaces what a node's own report tells anew.
   *
   * @param newModel the model of its group
   * @param newStaged the models on its host
   * @param newMembership its place
   * @return the changed node
   */
  public Node withGroup(
      @Nullable String newModel, List<String> newStaged, @Nullable Membership newMembership) {
    return new Node(
        incarnation,
        service,
        endpoint,
        dataCentre,
        slots,
        draining,
        domain,
        newModel,
        newStaged,
        newMembership);
  }

  /**
   * Replaces the number of slots by that of the node's group.
   *
   * @param groupSlots requests that the group works on at once
   * @return the changed node
   */
  public Node withSlots(int groupSlots) {
    return new Node(
        incarnation,
        service,
        endpoint,
        dataCentre,
        groupSlots,
        draining,
        domain,
        model,
        staged,
        membership);
  }

  /**
   * Marks the node as leaving.
   *
   * @return the changed node
   */
  public Node asDraining() {
    return new Node(
        incarnation, service, endpoint, dataCentre, slots, true, domain, model, staged, membership);
  }
}
