package org.fawnvale.serving.limit;

import io.micrometer.core.instrument.MeterRegistry;
import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.limit.ColdPeriods;
import org.fawnvale.serving.core.limit.KnownLimits;
import org.fawnvale.serving.core.limit.LimitUpdate;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.fawnvale.serving.http.LimitLog;

/**
 * Requests permits from the daemons that own limits, and answers other daemons' permit requests.
 * Callers of the methods hold the lock.
 */
public final class LimitPermitService {

  private static final Logger LOG = LogManager.getLogger("limits");

  /**
   * How long no permit is requested for a node after its owner did not grant or deny one, in
   * nanoseconds.
   */
  private static final long OWNER_RETRY_NANOS = 300_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final OwnerClient ownerClient;
  private final SharedLimits limits;
  private final MeterRegistry registry;
  private final LimitLog log;

  /**
   * Creates the service.
   *
   * @param ownerClient sends requests to the owners
   * @param limits known limits, and the budgets of those that this daemon owns
   * @param registry registry of the metrics
   */
  public LimitPermitService(OwnerClient ownerClient, SharedLimits limits, MeterRegistry registry) {
    this.ownerClient = ownerClient;
    this.limits = limits;
    this.registry = registry;
    this.log = new LimitLog(registry);
    registry.gauge("fawnvale.limits.known", limits, known -> known.knownLimits().activeCount());
    registry.gauge(
        "fawnvale.limits.cold", limits, known -> known.coldPeriods().coldCount(System.nanoTime()));
  }

  /** Logs the upstreams that have turned cold or warm. To be called several times a second. */
  public void reportColdUpstreams() {
    for (ColdPeriods.Change change : limits.takeColdChanges(System.nanoTime())) {
      log.temperatureChanged(change);
    }
  }

  /**
   * Merges the limits that another daemon has sent.
   *
   * @param updates records of limits
   */
  public void receive(List<LimitUpdate> updates) {
    long now = System.nanoTime();
    for (LimitUpdate update : updates) {
      KnownLimits.Change change = limits.merge(update, now);
      log.updateReceived(update, change);
    }
  }

  /**
   * Requests a permit for one request from the owner of a node's limit. A warm node without a known
   * limit needs none.
   *
   * @param node node that the request is for
   * @param result receives whether the request may be sent; called once, with the lock held
   */
  public void requestPermit(Node node, Consumer<Boolean> result) {
    long now = System.nanoTime();
    LimitUpdate known = limits.updateFor(node.life(), now);
    long coldMillis = limits.coldPeriods().remainingMillis(node.life(), now);
    if (known == null && coldMillis == 0) {
      result.accept(true);
      return;
    }
    PermitRequest permitRequest =
        new PermitRequest(
            known == null ? LimitUpdate.nothingKnown(node.life()) : known,
            node.dataCentre(),
            coldMillis > 0 ? node.service() : "",
            coldMillis);
    RendezvousOwners.Daemon owner = limits.ownerOf(node);
    try {
      ownerClient.call(
          owner, permitRequest.target(), body -> result.accept(applyReply(node, owner, body)));
    } catch (IOException e) {
      LOG.error("node={} outcome=question_not_written cause={}", node.id(), e.toString());
      result.accept(false);
    }
  }

  private boolean applyReply(Node node, RendezvousOwners.Daemon owner, byte[] body) {
    SharedLimits.Reply reply = decode(body);
    long now = System.nanoTime();
    String outcome = "granted";
    long waitNanos = 0;
    if (reply instanceof SharedLimits.Granted) {
      limits.permitGranted(node.life(), now);
    } else if (reply instanceof SharedLimits.Denied denied) {
      outcome = "denied";
      waitNanos = denied.nanos();
    } else {
      outcome = body.length > 0 ? "not_owned" : "no_answer";
      waitNanos = OWNER_RETRY_NANOS;
    }
    if (waitNanos > 0) {
      limits.permitDenied(node.life(), waitNanos, now);
    }
    registry.counter("fawnvale.limits.asked", "outcome", outcome).increment();
    if (limits.coldPeriods().isCold(node.life(), now)) {
      registry.counter("fawnvale.limits.cold.asked", "outcome", outcome).increment();
    }
    LOG.log(
        hasAdvertisedLimit(node) ? Level.INFO : Level.DEBUG,
        "node={} owner={} wait_ms={} outcome={}",
        node.id(),
        owner.name(),
        waitNanos / NANOS_PER_MILLI,
        outcome);
    return waitNanos == 0;
  }

  /**
   * Permits for nodes that are only cold are not logged at the usual level: a whole data centre may
   * be cold at once, with thousands of permit requests a second.
   */
  private boolean hasAdvertisedLimit(Node node) {
    return limits.knownLimits().perSecond(node.life()) != LimitUpdate.UNLIMITED;
  }

  private static SharedLimits.Reply decode(byte[] body) {
    if (body.length > 0) {
      try {
        return PermitRequest.readReply(body);
      } catch (IOException | RuntimeException e) {
        LOG.warn("outcome=unreadable_reply cause={}", e.toString());
      }
    }
    return new SharedLimits.NotOwned();
  }

  /**
   * Returns whether a path is a permit request for a limit.
   *
   * @param target path of the HTTP request
   * @return true if {@link #answer} answers it
   */
  public boolean handles(String target) {
    return PermitRequest.matches(target);
  }

  /**
   * Answers another daemon's permit request.
   *
   * @param target path of the HTTP request
   * @return reply as MessagePack; empty if the request is malformed
   */
  public byte[] answer(String target) {
    try {
      PermitRequest permitRequest = PermitRequest.read(target);
      receive(List.of(permitRequest.limit()));
      limits
          .coldPeriods()
          .extend(
              permitRequest.limit().incarnation(),
              permitRequest.service(),
              permitRequest.coldRemainingMillis(),
              ColdPeriods.Source.PEER,
              System.nanoTime());
      return PermitRequest.write(
          limits.requestPermit(
              permitRequest.limit().incarnation(), permitRequest.dataCentre(), System.nanoTime()));
    } catch (IOException | RuntimeException e) {
      LOG.warn("outcome=unreadable_question cause={}", e.toString());
      return new byte[0];
    }
  }
}
