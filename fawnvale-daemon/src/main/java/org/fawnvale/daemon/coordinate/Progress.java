package org.fawnvale.daemon.coordinate;

import java.util.ArrayList;
import java.util.List;
import org.fawnvale.core.model.Bundle;
import org.fawnvale.core.model.DomainState;
import org.fawnvale.core.model.Model;
import org.fawnvale.core.model.Registration;
import org.fawnvale.core.model.Replica;
import org.fawnvale.core.model.Role;
import org.fawnvale.daemon.state.FleetView;

/**
 * Progress of all data centres towards the bundle in force.
 *
 * @param lines one line for each data centre and role
 */
public record Progress(List<Line> lines) {

  /**
   * One role in one data centre.
   *
   * @param wanted number of replicas that the bundle requires
   * @param standing number of replicas in the data centre's domains, of any version
   * @param current number of those replicas that have the bundle's version and are not draining
   */
  public record Line(String dataCentre, String role, int wanted, int standing, int current) {}

  /** Copies the list. */
  public Progress {
    lines = List.copyOf(lines);
  }

  /**
   * Computes the progress.
   *
   * @param view the shared state
   * @return the progress; it has no lines when no bundle is in force
   */
  public static Progress of(FleetView view) {
    List<Line> lines = new ArrayList<>();
    Bundle bundle = view.bundle();
    if (bundle == null) {
      return new Progress(lines);
    }
    for (String dataCentre :
        view.daemons().stream().map(Registration::dataCentre).distinct().sorted().toList()) {
      for (Role role : bundle.roles()) {
        if (role.runsIn(dataCentre)) {
          lines.add(line(view, bundle, dataCentre, role));
        }
      }
    }
    return new Progress(lines);
  }

  private static Line line(FleetView view, Bundle bundle, String dataCentre, Role role) {
    String version = bundle.model(role.model()).map(Model::fullVersion).orElse("");
    int standing = 0;
    int current = 0;
    for (DomainState domain : view.domainsOf(dataCentre).values()) {
      for (Replica replica : domain.replicas()) {
        if (replica.role().equals(role.name())) {
          standing++;
          current += replica.version().equals(version) && !replica.draining() ? 1 : 0;
        }
      }
    }
    return new Line(dataCentre, role.name(), role.replicasPerDataCentre(), standing, current);
  }

  /**
   * Returns whether every role has its replicas and all of them have the bundle's version.
   *
   * @return true when the rollout has nothing left to do
   */
  public boolean isComplete() {
    return lines.stream()
        .allMatch(line -> line.standing() >= line.wanted() && line.current() == line.standing());
  }
}
