package org.fawnvale.serving.limit;

import io.micrometer.core.instrument.MeterRegistry;
import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.limit.KnownLimits;
import org.fawnvale.serving.core.limit.LimitUpdate;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.fawnvale.serving.http.LimitLog;

/**
 * Asks the owners of limits for leave, and answers daemons that ask this one. All calls hold the
 * guard.
 */
public final class LimitPermitService {

  private static final Logger LOG = LogManager.getLogger("limits");

  /** How long an owner that gave no leave for want of an answer is not asked, in nanoseconds. */
  private static final long SILENT_OWNER_NANOS = 300_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final OwnerClient calls;
  private final SharedLimits limits;
  private final MeterRegistry registry;
  private final LimitLog log;

  /**
   * Creates the desk.
   *
   * @param calls asks other daemons
   * @param limits what is known, and what this daemon spends
   * @param registry holds the figures
   */
  public LimitPermitService(OwnerClient calls, SharedLimits limits, MeterRegistry registry) {
    this.calls = calls;
    this.limits = limits;
    this.registry = registry;
    this.log = new LimitLog(registry);
    registry.gauge("fawnvale.limits.known", limits, known -> known.knownLimits().activeCount());
  }

  /**
   * Takes in what another daemon tells of limits.
   *
   * @param notes its notes
   */
  public void receive(List<LimitUpdate> notes) {
    long now = System.nanoTime();
    for (LimitUpdate note : notes) {
      KnownLimits.Change change = limits.merge(note, now);
      log.updateReceived(note, change);
    }
  }

  /**
   * Asks the owner of a node's limit for leave for one request.
   *
   * @param node the node
   * @param told told once, while the guard is held, whether the request may go
   */
  public void requestPermit(Node node, Consumer<Boolean> told) {
    LimitUpdate known = limits.updateFor(node.incarnation(), System.nanoTime());
    if (known == null) {
      told.accept(true);
      return;
    }
    RendezvousOwners.Daemon owner = limits.ownerOf(node);
    try {
      String target = new PermitRequest(known, node.dataCentre()).target();
      calls.ask(owner, target, body -> told.accept(take(node, owner, body)));
    } catch (IOException e) {
      LOG.error("node={} outcome=question_not_written cause={}", node.id(), e.toString());
      told.accept(false);
    }
  }

  private boolean take(Node node, RendezvousOwners.Daemon owner, byte[] body) {
    SharedLimits.Reply said = read(body);
    long now = System.nanoTime();
    String outcome = "granted";
    long waitNanos = 0;
    if (said instanceof SharedLimits.Granted) {
      limits.permitGranted(node.incarnation(), now);
    } else if (said instanceof SharedLimits.Denied denied) {
      outcome = "denied";
      waitNanos = denied.nanos();
    } else {
      outcome = body.length > 0 ? "not_owned" : "no_answer";
      waitNanos = SILENT_OWNER_NANOS;
    }
    if (waitNanos > 0) {
      limits.permitDenied(node.incarnation(), waitNanos, now);
    }
    registry.counter("fawnvale.limits.asked", "outcome", outcome).increment();
    LOG.info(
        "node={} owner={} wait_ms={} outcome={}",
        node.id(),
        owner.name(),
        waitNanos / NANOS_PER_MILLI,
        outcome);
    return waitNanos == 0;
  }

  private static SharedLimits.Reply read(byte[] body) {
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
   * Tells whether a question is about leave.
   *
   * @param target the path of the question
   * @return true when {@link #answer} answers it
   */
  public boolean handles(String target) {
    return PermitRequest.matches(target);
  }

  /**
   * Answers a daemon that asks for leave.
   *
   * @param target the path of its question
   * @return the reply as MessagePack; empty when the question can't be read
   */
  public byte[] answer(String target) {
    try {
      PermitRequest question = PermitRequest.read(target);
      receive(List.of(question.limit()));
      return PermitRequest.write(
          limits.requestPermit(
              question.limit().incarnation(), question.dataCentre(), System.nanoTime()));
    } catch (IOException | RuntimeException e) {
      LOG.warn("outcome=unreadable_question cause={}", e.toString());
      return new byte[0];
    }
  }
}
