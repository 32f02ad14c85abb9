package org.fawnvale.core.model;

import java.util.List;

/**
 * A model at one version.
 *
 * @param name the name of the model, as callers specify it
 * @param version the version of the model
 * @param weightGigabytes size of the weights that one node loads, in gigabytes
 * @param adapters adapters that are loaded with the model
 */
public record Model(String name, String version, double weightGigabytes, List<Adapter> adapters) {

  /** Copies the list; a missing list is empty. */
  public Model {
    adapters = adapters == null ? List.of() : List.copyOf(adapters);
  }

  /**
   * Returns the version that members report: the versions of the model and of its adapters.
   *
   * @return a text that changes with each of these versions
   */
  public String fullVersion() {
    StringBuilder text = new StringBuilder(version);
    for (Adapter adapter : adapters) {
      text.append('+').append(adapter.name()).append('@').append(adapter.version());
    }
    return text.toString();
  }
}
