package org.fawnvale.serving.core.admission;

import java.util.HashMap;
import java.util.Map;
import org.fawnvale.serving.core.demand.EngineTimes;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.RequestSize;

/**
 * Predicts when a request that is sent to a head now gets its first event, and the longest pause
 * between its events. Corrects its own error by a factor per model. Not thread-safe.
 */
public final class HeadForecast {

  private static final double TOKENS_PER_CONTEXT_UNIT = 1_000;

  /**
   * Passes that a request usually spends at a head before its first event: half of the running one,
   * and the one that prefills its prompt.
   */
  private static final double PASSES_BEFORE_FIRST_EVENT = 1.5;

  /**
   * The factor by which one observation changes the correction. A daemon of a large fleet observes
   * a few first events of a model per second, so the correction follows within some ten seconds.
   */
  private static final double STEP = 1.03;

  private static final double MIN_CORRECTION = 0.5;
  private static final double MAX_CORRECTION = 2;

  /** More models than any configuration names; bounds the state if names change for ever. */
  private static final int MAX_MODELS = 256;

  private final Map<String, Correction> corrections = new HashMap<>();

  /**
   * The requests at a head, as one daemon knows them.
   *
   * @param streaming its own requests that have had their first event
   * @param waiting its own requests that have not
   * @param waitingTokens the prompt tokens of the latter
   * @param others requests of other daemons in flight
   */
  public record HeadLoad(int streaming, int waiting, long waitingTokens, int others) {}

  /**
   * A prediction for one request at one head.
   *
   * @param firstMillis the time from now to the first event, in milliseconds
   * @param pauseMillis the longest pause between events, in milliseconds
   * @param correction the factor that both contain
   */
  public record Prediction(double firstMillis, double pauseMillis, double correction) {}

  /**
   * The median of observed times relative to uncorrected predictions, followed in small steps. The
   * mean would follow the long queues of an overload, which daemons learn of late.
   */
  private static final class Correction {
    double factor = 1;

    void add(double error) {
      double step = error > factor ? STEP : 1 / STEP;
      factor = Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, factor * step));
    }
  }

  /**
   * Predicts the times of a request.
   *
   * @param engine the performance parameters
   * @param model the group's model
   * @param load the requests at the head without this one
   * @param size the size of this request; an unknown one counts as {@link EngineSpec#usual}
   * @param pace the factor by which the head is slower than published
   * @return the prediction
   */
  public Prediction predict(
      EngineSpec engine, ModelSpec model, HeadLoad load, RequestSize size, double pace) {
    RequestSize usual = engine.usual();
    double passesPerAnswer = Math.max(1, usual.answerTokens() / (double) engine.stride());
    double startShare = PASSES_BEFORE_FIRST_EVENT / (PASSES_BEFORE_FIRST_EVENT + passesPerAnswer);
    double othersStarting = load.others() * startShare;
    double inFlight = load.streaming() + load.waiting() + load.others();
    double places = places(engine);
    double decoding =
        Math.min(places, load.streaming() + Math.max(0, load.others() - othersStarting));
    double waitingTokens = load.waitingTokens() + othersStarting * usual.promptTokens();
    int prompt = size.promptTokens() > 0 ? size.promptTokens() : usual.promptTokens();

    double pass = passMillis(engine, model, decoding);
    double passWithThis = passMillis(engine, model, Math.min(places, decoding + 1));
    double usualPrefill = EngineTimes.prefillMillis(engine, model, usual.promptTokens());
    double waitingPrefill = usualPrefill * waitingTokens / Math.max(1, usual.promptTokens());
    double prefill = EngineTimes.prefillMillis(engine, model, prompt);
    double runningPass = inFlight > 0 ? (pass + usualPrefill * othersStarting) / 2 : 0;
    double tokensPerPass = (double) engine.chunk() * engine.stride();
    double prefillPasses =
        decoding > 0 ? Math.max(1, Math.ceil((waitingTokens + prompt) / tokensPerPass)) : 0;
    double placeMillis =
        Math.max(0, inFlight + 1 - places) * passWithThis * passesPerAnswer / places;

    double correction = correction(model.name());
    double factor = pace * correction;
    double first =
        runningPass + placeMillis + waitingPrefill + prefill + prefillPasses * pass + passWithThis;
    double arriving = Math.min(tokensPerPass, waitingTokens + usual.promptTokens());
    double pause = passWithThis + usualPrefill * arriving / Math.max(1, usual.promptTokens());
    return new Prediction(first * factor, pause * factor, correction);
  }

  /** Returns how many requests of the usual size a group processes concurrently. */
  private static double places(EngineSpec engine) {
    int tokens = Math.max(1, engine.usual().promptTokens() + engine.usual().answerTokens());
    double byCache = engine.kvTokens() / (double) tokens;
    return Math.max(1, byCache > 0 ? Math.min(engine.slots(), byCache) : engine.slots());
  }

  /** Returns the duration of a pass without prefill, with the usual context of each request. */
  private static double passMillis(EngineSpec engine, ModelSpec model, double sequences) {
    double tokens = engine.usual().promptTokens() + engine.usual().answerTokens() / 2.0;
    double context = engine.contextMillis() * sequences * tokens / TOKENS_PER_CONTEXT_UNIT;
    return EngineTimes.passMillis(engine, model, sequences)
        + context * engine.stride() * model.pace();
  }

  /**
   * Learns from an observed first event.
   *
   * @param model the name of the model; of the configuration, not as a caller names it
   * @param prediction what was predicted when the request was sent
   * @param observedMillis the time from then to the first event, in milliseconds
   */
  public void observe(String model, Prediction prediction, double observedMillis) {
    double uncorrected = prediction.firstMillis() / prediction.correction();
    if (uncorrected > 0 && (corrections.containsKey(model) || corrections.size() < MAX_MODELS)) {
      corrections
          .computeIfAbsent(model, name -> new Correction())
          .add(observedMillis / uncorrected);
    }
  }

  /**
   * Returns the factor that corrects the predictions of a model.
   *
   * @param model the name of the model
   * @return 0.5 to 2; 1 while nothing was observed
   */
  public double correction(String model) {
    Correction correction = corrections.get(model);
    return correction == null ? 1 : correction.factor;
  }
}
