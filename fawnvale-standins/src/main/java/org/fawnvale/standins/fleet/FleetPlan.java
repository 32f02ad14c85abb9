package org.fawnvale.standins.fleet;

import java.util.List;
import java.util.Map;

/**
 * The size and the settings of a local fleet.
 *
 * @param daemonsPerDataCentre number of entry daemons in each data centre
 * @param domainsPerDataCentre number of fabric domains in each data centre
 * @param nodesPerDomain number of nodes with engines in each fabric domain
 * @param service name of the plain service, which has one upstream in each data centre
 * @param engineArguments additional command-line arguments of the engine stand-ins
 * @param timing the daemons' timing settings
 * @param limits the daemons' limits
 */
public record FleetPlan(
    List<String> dataCentres,
    int daemonsPerDataCentre,
    int domainsPerDataCentre,
    int nodesPerDomain,
    String service,
    List<String> engineArguments,
    Map<String, Object> timing,
    Map<String, Object> limits) {

  /** Makes unmodifiable copies of the collections. */
  public FleetPlan {
    dataCentres = List.copyOf(dataCentres);
    engineArguments = List.copyOf(engineArguments);
    timing = Map.copyOf(timing);
    limits = Map.copyOf(limits);
  }
}
