package org.fawnvale.core.model;

import java.util.List;
import java.util.Optional;

/**
 * A bundle: the unit of configuration that operators approve, with models, adapters, roles,
 * services and workspaces.
 *
 * @param name a display name
 * @param services the plain services
 * @param policy the weights for forming replicas
 */
public record Bundle(
    String name,
    List<Model> models,
    List<Role> roles,
    List<PlainService> services,
    List<Workspace> workspaces,
    Policy policy) {

  /** Copies the lists; a missing list is empty, a missing policy is {@link Policy#EVEN}. */
  public Bundle {
    models = models == null ? List.of() : List.copyOf(models);
    roles = roles == null ? List.of() : List.copyOf(roles);
    services = services == null ? List.of() : List.copyOf(services);
    workspaces = workspaces == null ? List.of() : List.copyOf(workspaces);
    policy = policy == null ? Policy.EVEN : policy;
  }

  /** Finds a model by name. */
  public Optional<Model> model(String name) {
    return models.stream().filter(model -> model.name().equals(name)).findFirst();
  }

  /** Finds a role by name. */
  public Optional<Role> role(String name) {
    return roles.stream().filter(role -> role.name().equals(name)).findFirst();
  }

  /** Finds a workspace by name. */
  public Optional<Workspace> workspace(String name) {
    return workspaces.stream().filter(each -> each.name().equals(name)).findFirst();
  }

  /** Finds a plain service by name. */
  public Optional<PlainService> service(String name) {
    return services.stream().filter(each -> each.name().equals(name)).findFirst();
  }
}
