package org.fawnvale.serving.core.model;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The arithmetic of the engines of a service.
 *
 * @param slots requests that a group works on at once
 * @param kvTokens tokens that a group's memory holds
 * @param stride steps of a pass that has writers
 * @param chunk prompt tokens that a step reads at most
 * @param models the models, in the order of the configuration
 * @param stepMillis time of a step, in milliseconds
 * @param perSequenceMillis time added for each request that writes, in milliseconds
 * @param contextMillis time added for each 1,000 tokens of context, in milliseconds
 * @param prefillTokensPerSecond prompt tokens that are read in a second
 * @param pairsMillis time added for each million pairs of a prompt token and one before it, in
 *     milliseconds
 * @param loadsPerSecond loads from the weight store that may begin in a second
 * @param loadsAtOnce loads that run at their full speed at the same time
 * @param formMillis time from the opening of a head to its first request, in milliseconds
 * @param typicalRequest the mean size of a request
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
    double prefillTokensPerSecond,
    double pairsMillis,
    double loadsPerSecond,
    int loadsAtOnce,
    int formMillis,
    RequestSize typicalRequest) {

  /**
   * Finds a model.
   *
   * @param name its name
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
