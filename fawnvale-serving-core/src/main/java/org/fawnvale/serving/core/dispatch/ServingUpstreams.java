package org.fawnvale.serving.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.Node;
import org.jspecify.annotations.Nullable;

/**
 * The upstreams that serve, by service and model: heads of open groups, and nodes of plain
 * services.
 */
final class ServingUpstreams {

  private static final String NO_MODEL = "";

  private final Map<Key, List<Node>> nodes = new HashMap<>();

  private record Key(String service, String model) {
    // Explicit, see "Records that are compared often" in docs/DEVELOPING.md.
    @Override
    public boolean equals(@Nullable Object other) {
      return other instanceof Key that && service.equals(that.service) && model.equals(that.model);
    }

    @Override
    public int hashCode() {
      return 31 * service.hashCode() + model.hashCode();
    }
  }

  /** Returns the model of an upstream; empty for a node of a plain service. */
  static String modelOf(Node node) {
    String model = node.model();
    return model == null ? NO_MODEL : model;
  }

  void replace(Collection<Node> upstreams) {
    nodes.clear();
    for (Node node : upstreams) {
      nodes
          .computeIfAbsent(new Key(node.service(), modelOf(node)), key -> new ArrayList<>())
          .add(node);
    }
  }

  /** Returns the upstreams of a service for a model, which is empty for a plain service. */
  List<Node> of(String service, String model) {
    return nodes.getOrDefault(new Key(service, model), List.of());
  }

  Collection<List<Node>> all() {
    return nodes.values();
  }

  /** Returns the other upstreams of an upstream's service, whatever their model. */
  List<Node> besides(Node upstream) {
    List<Node> others = new ArrayList<>();
    nodes.forEach(
        (key, serving) -> {
          if (key.service().equals(upstream.service())) {
            others.addAll(serving);
          }
        });
    others.removeIf(node -> node.id().equals(upstream.id()));
    return others;
  }

  boolean contains(Node upstream) {
    return of(upstream.service(), modelOf(upstream)).stream()
        .anyMatch(node -> node.id().equals(upstream.id()));
  }

  /** Tells whether an upstream serves that is the same incarnation, and heads the same group. */
  boolean containsGroup(Node upstream) {
    return of(upstream.service(), modelOf(upstream)).stream()
        .anyMatch(node -> node.life().equals(upstream.life()) && isSameGroup(node, upstream));
  }

  private static boolean isSameGroup(Node one, Node other) {
    Membership membership = one.membership();
    Membership otherMembership = other.membership();
    return membership == null || otherMembership == null
        ? membership == otherMembership
        : membership.sameGroup(otherMembership);
  }
}
