package org.fawnvale.serving.core.dispatch;

/**
 * What a request asks of the dispatcher.
 *
 * @param service the service of its route
 * @param model the model that it names; empty for a plain service
 * @param admissionClass how strong its claim to a place is
 */
public record DispatchRequest(String service, String model, AdmissionClass admissionClass) {

  /** How strong the claim of a request to a place at an upstream is. */
  public enum AdmissionClass {
    /** The caller asks for the first time: it can still be told to come back. */
    FIRST(1.0),
    /**
     * The caller was refused before, or an upstream has begun its answer: refused again, it is
     * lost. A place behind as many others as there are slots comes within about a second, late but
     * within its deadline. In a data centre that was cut off for 5.4 s 74 callers, seven in ten of
     * all that were not served that day, were refused twice while its heads stood at 0.9 of their
     * slots.
     */
    RETURNING(2.0);

    private final double maxLoad;

    AdmissionClass(double maxLoad) {
      this.maxLoad = maxLoad;
    }

    /**
     * The load from which on an upstream is full for such a request.
     *
     * @return requests in flight relative to the upstream's slots
     */
    public double maxLoad() {
      return maxLoad;
    }
  }

  /** Requests of a plain service that may wait for each of its slots. */
  private static final double PLAIN_FULL_AT = 3.0;

  /**
   * The load from which on an upstream is full for this request. Plain services answer within some
   * twenty to ninety milliseconds: two that wait for each slot still are in time, by the sheets' 21
   * ms of work for a target of 121 and 86 ms for 386. At the limit of engines 28 of 194 callers
   * that were not served on a day with a cut were refused before an upstream of a plain service.
   *
   * @return requests in flight relative to the upstream's slots
   */
  public double maxLoad() {
    return model.isEmpty()
        ? Math.max(PLAIN_FULL_AT, admissionClass.maxLoad())
        : admissionClass.maxLoad();
  }

  /**
   * The same demand with the claim of a request whose answer was begun elsewhere.
   *
   * @return the demand
   */
  public DispatchRequest asReturning() {
    return new DispatchRequest(service, model, AdmissionClass.RETURNING);
  }
}
