package org.fawnvale.serving.gateway;

import org.fawnvale.serving.core.admission.ForecastTarget;
import org.fawnvale.serving.core.admission.HeadForecast;
import org.fawnvale.serving.core.dispatch.DispatchRequest;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.RequestSize;
import org.fawnvale.serving.core.model.Route;
import org.fawnvale.serving.core.model.ServiceSpec;
import org.fawnvale.serving.core.pace.PaceView;
import org.jspecify.annotations.Nullable;

/** Admits requests to engines by their predicted times. Callers hold the lock. */
public final class AdmissionControl {

  private final Dispatcher dispatcher;
  private final GatewayMetrics metrics;
  private final HeadForecast forecast = new HeadForecast();

  /**
   * Creates the control and lets the dispatcher use its forecast.
   *
   * @param dispatcher chooses upstreams
   * @param paces the observed pace of heads
   * @param metrics receives predicted and observed times
   */
  public AdmissionControl(Dispatcher dispatcher, PaceView paces, GatewayMetrics metrics) {
    this.dispatcher = dispatcher;
    this.metrics = metrics;
    dispatcher.setForecast(forecast, paces);
  }

  /**
   * Adds by when events are expected, if the request names a model and its route has a target.
   *
   * @param demand the request
   * @param configuration the configuration in force
   * @param route its route
   * @param size the size that it declares
   * @param receivedNanos when it was received, by {@link System#nanoTime}
   * @return the request, unchanged if it is not placed by forecast
   */
  DispatchRequest withTarget(
      DispatchRequest demand,
      Configuration configuration,
      Route route,
      RequestSize size,
      long receivedNanos) {
    ServiceSpec service = configuration.services().get(demand.service());
    EngineSpec engine = service == null ? null : service.engine();
    ModelSpec model = engine == null ? null : engine.model(demand.model());
    if (engine == null || model == null || route.targetMillis() <= 0) {
      return demand;
    }
    return demand.withTarget(
        new ForecastTarget(
            engine,
            model,
            size,
            receivedNanos,
            route.targetMillis(),
            route.gapMillis(),
            ForecastTarget.USUAL_TOLERANCE));
  }

  /**
   * Predicts the times of a request that is sent to a head now.
   *
   * @return follows the request; null if it is not placed by forecast
   */
  @Nullable ForecastedRequest sent(DispatchRequest demand, Node node) {
    ForecastTarget target = demand.target();
    if (target == null) {
      return null;
    }
    return new ForecastedRequest(
        forecast,
        dispatcher.predict(node, target),
        target,
        dispatcher.state(node.id()),
        metrics,
        System.nanoTime());
  }
}
