package org.fawnvale.daemon.state;

import java.util.ArrayList;
import java.util.List;
import org.fawnvale.core.model.Registration;

/**
 * The registered daemons of one data centre.
 *
 * @param daemons the registrations
 * @param operation identifier of the write that stored this list
 */
public record DaemonList(List<Registration> daemons, String operation) {

  /** Copies the list. */
  public DaemonList {
    daemons = List.copyOf(daemons);
  }

  /**
   * Returns the list with a daemon added; it replaces daemons with the same name or address.
   *
   * @param added the daemon
   * @param nextOperation identifier of the write that will store the new list
   * @return the new list
   */
  public DaemonList with(Registration added, String nextOperation) {
    List<Registration> next = new ArrayList<>();
    for (Registration each : daemons) {
      boolean isReplaced =
          each.name().equals(added.name()) || each.address().equals(added.address());
      if (!isReplaced) {
        next.add(each);
      }
    }
    next.add(added);
    return new DaemonList(next, nextOperation);
  }
}
