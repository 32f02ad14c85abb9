package org.fawnvale.serving.core.dispatch;

import org.fawnvale.serving.core.admission.ForecastTarget;
import org.jspecify.annotations.Nullable;

/**
 * What the dispatcher needs to know of a request in order to choose an upstream.
 *
 * @param service the service that the route sends the request to
 * @param model the model that the request names; empty for a plain service
 * @param admissionClass how full an upstream may be and still take the request
 * @param target by when events are expected, for a request that is placed by forecast; null for one
 *     that is placed by the number of requests in flight
 */
public record DispatchRequest(
    String service, String model, AdmissionClass admissionClass, @Nullable ForecastTarget target) {

  /** Creates a request that is placed by the number of requests in flight. */
  public DispatchRequest(String service, String model, AdmissionClass admissionClass) {
    this(service, model, admissionClass, null);
  }

  /** Decides up to which load of an upstream a request is admitted. */
  public enum AdmissionClass {
    /** The caller's first attempt. The daemon may refuse it with a Retry-After. */
    FIRST(1.0),
    /** A first attempt that is forecast late at every upstream: admitted where a slot is free. */
    LATE(1.0),
    /**
     * The caller was refused before, or an upstream has already started to respond. A second
     * refusal would fail the request, so it may queue behind as many requests as the upstream has
     * slots: it is answered late, but usually within its deadline. With the bound of first
     * attempts, 74 callers of a data centre that was cut off for 5.4 s were refused twice while its
     * heads had requests for 0.9 of their slots.
     */
    RETURNING(2.0);

    private final double maxLoad;

    AdmissionClass(double maxLoad) {
      this.maxLoad = maxLoad;
    }

    /**
     * Returns the load from which on an upstream is full for a request of this class.
     *
     * @return requests in flight relative to the upstream's slots
     */
    public double maxLoad() {
      return maxLoad;
    }
  }

  /**
   * The load from which on an upstream of a plain service is full: two requests wait for each slot.
   * Plain services answer within tens of milliseconds, so requests that wait this long still meet
   * their targets (21 ms of work for a target of 121 ms, 86 ms for 386 ms). With the limits of
   * engines, they would be refused.
   */
  private static final double PLAIN_MAX_LOAD = 3.0;

  /**
   * Returns the load from which on an upstream is full for this request. Plain services admit more
   * than engines, whatever the class of the request.
   *
   * @return requests in flight relative to the upstream's slots
   */
  public double maxLoad() {
    return model.isEmpty()
        ? Math.max(PLAIN_MAX_LOAD, admissionClass.maxLoad())
        : admissionClass.maxLoad();
  }

  /**
   * Returns the load from which on an upstream is full for this request when it is placed by
   * forecast. The forecast decides below it, so it is the old bound, except for late requests.
   *
   * @return requests in flight relative to the upstream's slots
   */
  double maxForecastLoad() {
    return admissionClass == AdmissionClass.LATE
        ? AdmissionClass.LATE.maxLoad()
        : AdmissionClass.RETURNING.maxLoad();
  }

  /**
   * Tells whether this is a first attempt that may be sent late if it is late at every upstream.
   */
  boolean maySendLate() {
    return admissionClass == AdmissionClass.FIRST && target != null && !target.refusedIfLate();
  }

  /** Returns the same request in the class {@link AdmissionClass#LATE}. */
  DispatchRequest asLate() {
    return atAnyHead(AdmissionClass.LATE);
  }

  /**
   * Returns the same request in the class {@link AdmissionClass#RETURNING}, for a request that
   * another upstream has already started to answer.
   *
   * @return the request
   */
  public DispatchRequest asReturning() {
    return atAnyHead(AdmissionClass.RETURNING);
  }

  private DispatchRequest atAnyHead(AdmissionClass otherClass) {
    ForecastTarget anyHead = target == null ? null : target.atAnyHead();
    return new DispatchRequest(service, model, otherClass, anyHead);
  }

  /**
   * Returns the same request, placed by forecast.
   *
   * @param forecastTarget by when events are expected
   * @return the request
   */
  public DispatchRequest withTarget(ForecastTarget forecastTarget) {
    return new DispatchRequest(service, model, admissionClass, forecastTarget);
  }
}
