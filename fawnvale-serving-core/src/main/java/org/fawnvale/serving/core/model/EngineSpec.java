package org.fawnvale.serving.core.model;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The published performance parameters of the engines of a service. Engines work in steps; a pass
 * is a sequence of {@code stride} steps after which each stream gets one event.
 *
 * @param slots requests that a group processes concurrently
 * @param kvTokens tokens that fit into a group's key-value cache
 * @param stride steps of a pass while requests are decoding
 * @param chunk the most prompt tokens that one step prefills
 * @param models the models, in the order of the configuration
 * @param stepMillis duration of a step, in milliseconds
 * @param perSequenceMillis time that each decoding request adds to a step, in milliseconds
 * @param contextMillis time added for each 1,000 tokens of context, in milliseconds
 * @param readTokensPerSecond prompt tokens that are prefilled per second
 * @param pairsMillis time added for each million pairs of a prompt token and an earlier one
 *     (attention), in milliseconds
 * @param loadsPerSecond loads from the weight store that may start per second
 * @param loadsAtOnce loads that run concurrently at full speed
 * @param formMillis time from the opening of a head to its first request, in milliseconds
 * @param usual the mean size of a request
 */
public record EngineSpec(
    int slots,
    long kvTokens,
    int stride,
    int chunk,
    List<ModelSpec> models,
    double stepMillis,
    double perSequenceMillis,
    double contextMillis,
    double readTokensPerSecond,
    double pairsMillis,
    double loadsPerSecond,
    int loadsAtOnce,
    int formMillis,
    RequestSize usual) {

  /**
   * Finds a model.
   *
   * @return the model; null when the engines do not serve it
   */
  public @Nullable ModelSpec model(String name) {
    for (ModelSpec model : models) {
      if (model.name().equals(name)) {
        return model;
      }
    }
    return null;
  }
}
