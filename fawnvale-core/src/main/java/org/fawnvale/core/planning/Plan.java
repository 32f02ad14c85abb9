package org.fawnvale.core.planning;

import java.util.List;
import org.fawnvale.core.model.DomainState;

/**
 * The changes to make to the fabric domains of a data centre.
 *
 * @param changed the new states of the domains that change
 * @param steps a log line for each change, with its cause
 * @param complete true when every replica that the bundle requires serves the bundle's version
 */
public record Plan(List<DomainState> changed, List<String> steps, boolean complete) {

  /** Copies the lists. */
  public Plan {
    changed = List.copyOf(changed);
    steps = List.copyOf(steps);
  }
}
