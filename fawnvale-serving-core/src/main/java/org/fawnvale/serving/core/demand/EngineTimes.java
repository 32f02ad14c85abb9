package org.fawnvale.serving.core.demand;

import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.RequestSize;

/** Computes times of a group of engines from the published performance parameters. */
public final class EngineTimes {

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double MILLION = 1e6;

  private EngineTimes() {}

  /**
   * Returns the duration of a pass without prefill, in which each stream gets one event.
   *
   * @param engine the performance parameters
   * @param model the group's model
   * @param sequences requests that are decoding
   * @return milliseconds
   */
  public static double passMillis(EngineSpec engine, ModelSpec model, double sequences) {
    double step = engine.stepMillis() + engine.perSequenceMillis() * sequences;
    return step * engine.stride() * model.pace();
  }

  /**
   * Returns the longest time that prefill adds to a pass.
   *
   * @param engine the performance parameters
   * @param model the group's model
   * @return milliseconds
   */
  public static double maxPrefillMillis(EngineSpec engine, ModelSpec model) {
    double tokens = (double) engine.stride() * engine.chunk();
    double plain = tokens * MILLIS_PER_SECOND / engine.readTokensPerSecond();
    double pairs = engine.stride() * pairsMillis(engine, engine.chunk());
    return (plain + pairs) * model.pace();
  }

  private static double pairsMillis(EngineSpec engine, int promptTokens) {
    return (double) promptTokens * promptTokens / 2 / MILLION * engine.pairsMillis();
  }

  /**
   * Returns the time to prefill a prompt.
   *
   * @param engine the performance parameters
   * @param model the group's model
   * @param promptTokens the length of the prompt, in tokens
   * @return milliseconds
   */
  public static double prefillMillis(EngineSpec engine, ModelSpec model, int promptTokens) {
    double plain = promptTokens * MILLIS_PER_SECOND / engine.readTokensPerSecond();
    return (plain + pairsMillis(engine, promptTokens)) * model.pace();
  }

  private static int held(EngineSpec engine, int tokens) {
    return engine.kvTokens() > 0 ? (int) Math.min(tokens, engine.kvTokens()) : tokens;
  }

  /**
   * Returns the group time that a request occupies: its prefill, and its share of the steps of a
   * full batch. A group is saturated when the work of its requests fills its time.
   *
   * @param engine the performance parameters
   * @param model the group's model
   * @param size the request's size as its caller states it; an unknown one counts as {@link
   *     EngineSpec#usual}, and one beyond the memory of an engine, which none runs, as that memory
   * @return the time of one group, in milliseconds
   */
  public static double workMillis(EngineSpec engine, ModelSpec model, RequestSize size) {
    boolean known = size.promptTokens() > 0;
    int prompt = known ? held(engine, size.promptTokens()) : engine.usual().promptTokens();
    int answer = known ? held(engine, size.answerTokens()) : engine.usual().answerTokens();
    double token = engine.stepMillis() / engine.slots() + engine.perSequenceMillis();
    return prefillMillis(engine, model, prompt) + answer * token * model.pace();
  }
}
