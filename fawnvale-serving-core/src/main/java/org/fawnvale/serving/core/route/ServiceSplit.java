package org.fawnvale.serving.core.route;

import java.util.List;
import org.fawnvale.serving.core.model.Route;

/**
 * Distributes the requests of routes over their services by weight, with a low-discrepancy
 * sequence: any few requests in a row come close to the weights. Not thread-safe.
 */
public final class ServiceSplit {

  private static final double GOLDEN_RATIO = 0.618_033_988_75;

  private int sequence;

  /**
   * Chooses the service of the next request.
   *
   * @param route its route, which has at least one destination
   * @return the name of the service
   */
  public String next(Route route) {
    List<Route.Destination> destinations = route.destinations();
    if (destinations.size() == 1) {
      return destinations.get(0).service();
    }
    double total = 0;
    for (Route.Destination destination : destinations) {
      total += destination.weight();
    }
    sequence++;
    double point = total * (sequence * GOLDEN_RATIO - Math.floor(sequence * GOLDEN_RATIO));
    for (Route.Destination destination : destinations) {
      point -= destination.weight();
      if (point < 0) {
        return destination.service();
      }
    }
    return destinations.get(destinations.size() - 1).service();
  }
}
