package org.fawnvale.serving.gateway;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.fawnvale.serving.core.quarantine.Fingerprint;

/**
 * Cancels requests in flight that have been quarantined: a node may have queued them without
 * running them yet. Callers of the methods hold the lock.
 */
final class QuarantineCancellation implements RequestQuarantine.Cancellation {

  private final Collection<Forwarder> running;

  /**
   * Creates the cancellation.
   *
   * @param running the requests in flight, kept up to date by the gateway
   */
  QuarantineCancellation(Collection<Forwarder> running) {
    this.running = running;
  }

  @Override
  public void cancelRequest(Fingerprint fingerprint) {
    cancel(forwarder -> forwarder.fingerprints().whole().equals(fingerprint));
  }

  @Override
  public void cancelWithParts(Set<Fingerprint> parts) {
    cancel(
        forwarder ->
            !forwarder.inFlight().hasBegun()
                && forwarder.fingerprints().parts().stream().anyMatch(parts::contains));
  }

  private void cancel(Predicate<Forwarder> condition) {
    for (Forwarder forwarder : List.copyOf(running)) {
      if (condition.test(forwarder)) {
        forwarder.abortAsQuarantined();
      }
    }
  }
}
