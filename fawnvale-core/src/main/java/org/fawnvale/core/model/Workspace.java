package org.fawnvale.core.model;

import java.util.List;

/**
 * A group of callers that share limits and permissions.
 *
 * @param name the name of the workspace, as assigned to the callers' keys
 * @param share share of the capacity under overload, greater than 0, at most 1
 * @param models names of the models that its callers may use
 * @param services names of the plain services that its callers may use
 */
public record Workspace(String name, double share, List<String> models, List<String> services) {

  /** Copies the lists; a missing list is empty. */
  public Workspace {
    models = models == null ? List.of() : List.copyOf(models);
    services = services == null ? List.of() : List.copyOf(services);
  }
}
