package org.fawnvale.serving.core.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/**
 * Admits requests to engines by urgency: keeps the offered work, the level of each model and the
 * shares of workspaces. Not thread-safe.
 */
public final class UrgencyAdmission {

  /**
   * The limit of first attempts of an urgency of which only a share is admitted: they leave room
   * for the forecast's error, which more urgent requests then have.
   */
  private static final double LIMIT_WHILE_CUT = 0.8;

  private final OfferedByUrgency offered = new OfferedByUrgency();
  private final ReturningCallers returningCallers;
  private final Map<String, Model> models = new HashMap<>();

  private static final class Model {
    final AdmissionLevel level = new AdmissionLevel();
    final List<FairShares> shares = new ArrayList<>();

    Model() {
      for (int urgency = 0; urgency < OfferedByUrgency.URGENCIES; urgency++) {
        shares.add(new FairShares());
      }
    }
  }

  /**
   * Creates the rule; at first everything is admitted.
   *
   * @param returningCallers decides where returning callers are admitted
   */
  public UrgencyAdmission(ReturningCallers returningCallers) {
    this.returningCallers = returningCallers;
  }

  /**
   * A request for a model.
   *
   * @param model its model; of the configuration, not as a caller names it
   * @param urgency 0, the most urgent, to 9
   * @param workspace the name of its workspace; empty if it has none
   * @param workMillis the time of one group that it occupies, in milliseconds
   * @param returning whether its caller was refused before
   */
  public record Asked(
      String model, int urgency, String workspace, double workMillis, boolean returning) {}

  /**
   * Counts a request and decides whether it is admitted.
   *
   * @param request the request
   * @param nowNanos the monotonic time, in nanoseconds
   * @return true if it is admitted; which upstream has room for it is decided afterwards. Always
   *     true for a returning caller
   */
  public boolean admit(Asked request, long nowNanos) {
    if (request.returning()) {
      return true;
    }
    offered.recordWork(request.model(), request.urgency(), request.workMillis(), nowNanos);
    Model model = models.get(request.model());
    return model == null
        || model
            .shares
            .get(request.urgency())
            .admit(
                request.workspace(),
                request.workMillis(),
                model.level.share(request.urgency()),
                nowNanos);
  }

  /**
   * Returns how late a request may be at a head that it is sent to.
   *
   * @param name the name of its model
   * @param urgency 0, the most urgent, to 9
   * @param returning whether its caller was refused before
   * @return as {@link ForecastTarget#limit}
   */
  public double limit(String name, int urgency, boolean returning) {
    Model model = models.get(name);
    if (model == null || !model.level.isCutting()) {
      return returning ? ForecastTarget.ANY_HEAD : ForecastTarget.USUAL_LIMIT;
    }
    double share = model.level.share(urgency);
    if (returning) {
      return returningCallers.limit(share);
    }
    return share >= 1 ? ForecastTarget.USUAL_LIMIT : LIMIT_WHILE_CUT;
  }

  /**
   * Tells whether first attempts for a model are refused that are forecast late at every head.
   * Below capacity they are not: the forecast may be wrong, and a late answer is worth more than
   * none.
   *
   * @param name the name of the model
   * @return true while not all requests for it are admitted
   */
  public boolean refusesLate(String name) {
    Model model = models.get(name);
    return model != null && model.level.isCutting();
  }

  /**
   * Computes the levels anew.
   *
   * @param others the load of the callers of all other daemons, by model and urgency
   * @param capacity the groups that serve a model, by its name
   * @param nowNanos the monotonic time, in nanoseconds
   */
  public void update(
      Map<String, List<Double>> others,
      Function<String, AdmissionLevel.Capacity> capacity,
      long nowNanos) {
    Map<String, List<Double>> own = offered.busyGroups(nowNanos);
    models.keySet().retainAll(own.keySet());
    own.forEach(
        (name, work) -> {
          List<Double> all = new ArrayList<>(work);
          List<Double> theirs = others.getOrDefault(name, List.of());
          for (int urgency = 0; urgency < all.size() && urgency < theirs.size(); urgency++) {
            all.set(urgency, all.get(urgency) + theirs.get(urgency));
          }
          models
              .computeIfAbsent(name, key -> new Model())
              .level
              .update(all, capacity.apply(name), nowNanos);
        });
  }

  /**
   * Returns the load of this daemon's callers.
   *
   * @param nowNanos the monotonic time, in nanoseconds
   * @return by model, the number of groups that first attempts of each urgency would keep busy
   */
  public Map<String, List<Double>> offered(long nowNanos) {
    return offered.busyGroups(nowNanos);
  }

  /**
   * Returns the level of a model.
   *
   * @return as {@link AdmissionLevel#level}
   */
  public double level(String model) {
    Model known = models.get(model);
    return known == null ? AdmissionLevel.ALL : known.level.level();
  }

  /**
   * Returns the models whose callers have asked this daemon.
   *
   * @return their names
   */
  public Set<String> models() {
    return models.keySet();
  }
}
