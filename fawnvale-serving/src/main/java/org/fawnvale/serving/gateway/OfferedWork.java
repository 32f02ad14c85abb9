package org.fawnvale.serving.gateway;

import java.util.Map;
import org.fawnvale.serving.core.demand.EngineTimes;
import org.fawnvale.serving.core.demand.OfferedLoad;
import org.fawnvale.serving.core.dispatch.DispatchRequest;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.ServiceSpec;

/** The engine work that callers offer this daemon. Callers of the methods hold the lock. */
final class OfferedWork {

  private final OfferedLoad load = new OfferedLoad();

  /** Adds a request, unless it is a caller's retry, which is counted already. */
  void record(CallerRequest request, Configuration configuration) {
    DispatchRequest demand = request.demand();
    ServiceSpec service = configuration.services().get(demand.service());
    EngineSpec engine = service == null ? null : service.engine();
    ModelSpec model = engine == null ? null : engine.model(demand.model());
    if (engine != null
        && model != null
        && demand.admissionClass() == DispatchRequest.AdmissionClass.FIRST) {
      double work = EngineTimes.workMillis(engine, model, request.size());
      load.recordWork(model.name(), work, request.receivedNanos());
    }
  }

  /** Returns by model the number of groups that the work would keep busy. */
  Map<String, Double> busyGroups() {
    return load.busyGroups(System.nanoTime());
  }
}
