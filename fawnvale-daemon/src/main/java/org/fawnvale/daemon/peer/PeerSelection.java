package org.fawnvale.daemon.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.fawnvale.core.hash.Rendezvous;
import org.fawnvale.core.model.Registration;

/**
 * Selects the daemons to dial: all of the own data centre and, by rendezvous hashing, up to {@link
 * #LINKS_TO_OTHER_DATA_CENTRE} of each other data centre.
 */
public final class PeerSelection {

  /** Maximum number of links that a daemon dials to each other data centre. */
  public static final int LINKS_TO_OTHER_DATA_CENTRE = 2;

  private PeerSelection() {}

  /**
   * Selects the peers of a daemon.
   *
   * @param self the daemon that dials
   * @param daemons all registered daemons
   * @return the daemons to dial
   */
  public static List<Registration> select(Registration self, List<Registration> daemons) {
    Map<String, List<Registration>> byDataCentre =
        daemons.stream()
            .filter(daemon -> !daemon.name().equals(self.name()))
            .collect(Collectors.groupingBy(Registration::dataCentre));
    List<Registration> selected = new ArrayList<>();
    byDataCentre.forEach(
        (dataCentre, members) -> {
          if (dataCentre.equals(self.dataCentre())) {
            selected.addAll(members);
          } else {
            selected.addAll(selectByRendezvous(self.name(), members));
          }
        });
    return selected;
  }

  private static List<Registration> selectByRendezvous(String self, List<Registration> members) {
    List<String> names = members.stream().map(Registration::name).toList();
    List<String> selectedNames = Rendezvous.pick(self, names, LINKS_TO_OTHER_DATA_CENTRE);
    return members.stream().filter(member -> selectedNames.contains(member.name())).toList();
  }
}
