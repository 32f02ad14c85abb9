package org.fawnvale.serving.core.demand;

import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.RequestSize;

/** Times of a group of engines, by the arithmetic that the configuration publishes. */
public final class EngineTimes {

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double MILLION = 1e6;

  private EngineTimes() {}

  /**
   * The time of a pass that reads no prompt; each stream gets one event in it.
   *
   * @param engine the arithmetic
   * @param model the group's model
   * @param writers requests that write
   * @return milliseconds
   */
  public static double passMillis(EngineSpec engine, ModelSpec model, double writers) {
    double step = engine.stepMillis() + engine.perSequenceMillis() * writers;
    return step * engine.stride() * model.timeFactor();
  }

  /**
   * The longest time that a pass reads prompts beside its writers.
   *
   * @param engine the arithmetic
   * @param model the group's model
   * @return milliseconds
   */
  public static double maxPrefillMillis(EngineSpec engine, ModelSpec model) {
    double tokens = (double) engine.stride() * engine.chunk();
    double plain = tokens * MILLIS_PER_SECOND / engine.prefillTokensPerSecond();
    double pairs = engine.stride() * pairsMillis(engine, engine.chunk());
    return (plain + pairs) * model.timeFactor();
  }

  private static double pairsMillis(EngineSpec engine, int promptTokens) {
    return (double) promptTokens * promptTokens / 2 / MILLION * engine.pairsMillis();
  }

  /**
   * The time that reading a prompt takes.
   *
   * @param engine the arithmetic
   * @param model the group's model
   * @param promptTokens the length of the prompt
   * @return milliseconds
   */
  public static double prefillMillis(EngineSpec engine, ModelSpec model, int promptTokens) {
    double plain = promptTokens * MILLIS_PER_SECOND / engine.prefillTokensPerSecond();
    return (plain + pairsMillis(engine, promptTokens)) * model.timeFactor();
  }

  /**
   * The time of a group that a request takes up, with its share of the steps of a full batch. Work
   * that fills this time is all that a group can bear.
   *
   * @param engine the arithmetic
   * @param model the group's model
   * @param size the request's size; the usual one when it is unknown
   * @return milliseconds of one group
   */
  public static double workMillis(EngineSpec engine, ModelSpec model, RequestSize size) {
    boolean known = size.promptTokens() > 0;
    int prompt = known ? size.promptTokens() : engine.typicalRequest().promptTokens();
    int answer = known ? size.answerTokens() : engine.typicalRequest().answerTokens();
    double token = engine.stepMillis() / engine.slots() + engine.perSequenceMillis();
    return prefillMillis(engine, model, prompt) + answer * token * model.timeFactor();
  }
}
