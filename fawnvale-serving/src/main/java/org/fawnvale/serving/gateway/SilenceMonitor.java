package org.fawnvale.serving.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.dispatch.HeardUpstreams;
import org.fawnvale.serving.core.dispatch.SilenceCheck;
import org.fawnvale.serving.core.dispatch.StallDetector;
import org.fawnvale.serving.core.dispatch.UpstreamState;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.reach.SilenceEvidence;

/**
 * Finds out whether a head whose streams are silent has failed or pauses. A silence alone is no
 * reason to take anything away from it. Callers of the methods hold the lock.
 */
final class SilenceMonitor {

  private static final Logger LOG = LogManager.getLogger("gateway");
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** The pause between two rounds of a daemon that is not late; a round is due each 25 ms. */
  private static final long MAX_ROUND_NANOS = 50 * NANOS_PER_MILLI;

  /**
   * How long the streams of a head get to go on after its first answer, which may have come just as
   * its pause ended. A head that works answers within milliseconds of the query, which is sent a
   * little longer than this before its silence counts.
   */
  private static final long RESUMPTION_NANOS = 70 * NANOS_PER_MILLI;

  private final Dispatcher dispatcher;
  private final Query query;
  private final GatewayMetrics metrics;
  private final BiConsumer<Node, SilenceCheck.Finding> onSilence;
  private final Map<String, SilenceCheck> checks = new HashMap<>();
  private final Map<String, SilenceCheck.Finding> pausedBy = new HashMap<>();

  /** When each silent head answered first in its silence. */
  private final Map<String, Long> answeredSince = new HashMap<>();

  private long roundNanos;

  /** How late the current round of this daemon is. */
  private long lateNanos;

  /** Sends the query of a check. */
  @FunctionalInterface
  interface Query {

    /** Sends the query; its results are recorded in the check. */
    void send(Node node, SilenceCheck check);
  }

  /**
   * A silence of a head's streams.
   *
   * @param timeoutNanos the longest pause between two events of a working head
   * @param suspectedElsewhere as in {@link StallDetector#isStalled}
   */
  record Silence(long timeoutNanos, boolean suspectedElsewhere) {}

  /**
   * Creates a monitor.
   *
   * @param onSilence receives each head when its streams stand still for longer than they do in a
   *     working group, with what the query found
   */
  SilenceMonitor(
      Dispatcher dispatcher,
      Query query,
      GatewayMetrics metrics,
      BiConsumer<Node, SilenceCheck.Finding> onSilence) {
    this.dispatcher = dispatcher;
    this.query = query;
    this.metrics = metrics;
    this.onSilence = onSilence;
  }

  /** Checks a head that has requests in flight. */
  void check(Node head, Silence silence, long now) {
    UpstreamState state = dispatcher.state(head.id());
    if (state.isSuspect()) {
      return;
    }
    if (!isSilentFor(state, silence, silence.timeoutNanos() - SilenceCheck.LEAD_NANOS, now)) {
      forget(head.id(), state);
      return;
    }
    SilenceCheck check = currentCheck(head, state, now);
    if (isSilentFor(state, silence, silence.timeoutNanos(), now)) {
      decide(head, state, silence, check.finding(now), now);
    }
  }

  private SilenceCheck currentCheck(Node head, UpstreamState state, long now) {
    SilenceCheck check = checks.get(head.id());
    if (check != null && check.finding(now) == SilenceCheck.Finding.ANSWERS) {
      answeredSince.putIfAbsent(head.id(), check.answeredNanos());
    }
    if (check == null || check.isOutdated(state.isPaused(), now)) {
      check = new SilenceCheck(now);
      checks.put(head.id(), check);
      query.send(head, check);
    }
    return check;
  }

  private static boolean isSilentFor(UpstreamState state, Silence silence, long nanos, long now) {
    return StallDetector.isStalled(state, nanos, silence.suspectedElsewhere(), now);
  }

  /**
   * Begins a round of checks: ends those of heads that no longer have requests in flight, and
   * prolongs the others by the time that this daemon itself was late, since it may not have read
   * what has arrived.
   */
  void beginRound(long now) {
    lateNanos = Math.max(0, now - roundNanos - MAX_ROUND_NANOS);
    if (lateNanos > 0) {
      checks.values().forEach(check -> check.prolong(lateNanos));
    }
    roundNanos = now;
    dispatcher
        .states()
        .forEach(
            (id, state) -> {
              if (state.inFlight() == 0) {
                forget(id, state);
              }
            });
  }

  private void forget(String id, UpstreamState state) {
    endCheck(id);
    state.clearPause();
  }

  private void endCheck(String id) {
    checks.remove(id);
    pausedBy.remove(id);
    answeredSince.remove(id);
  }

  private void decide(
      Node head, UpstreamState state, Silence silence, SilenceCheck.Finding finding, long now) {
    if (state.silentNanos(now) - lateNanos > SilenceEvidence.MAX_PAUSE_NANOS) {
      stalls(head, state, silence, finding, now);
      return;
    }
    switch (finding) {
      case DISCONNECTED -> stalls(head, state, silence, finding, now);
      case UNREACHABLE, MEMBER_UNREACHABLE ->
          decideWithoutConnection(head, state, silence, finding, now);
      case ANSWERS, RETURNED -> decideOnAnswer(head, state, silence, finding, now);
      case PAUSES -> pauses(head, state, silence, finding, now);
      default -> {
        // PENDING: the query tells within milliseconds.
      }
    }
  }

  /**
   * A head that answers had paused if it did not answer before, or answered late. Otherwise its
   * group stands still, unless most others do, too, or its pause may have ended with its first
   * answer.
   */
  private void decideOnAnswer(
      Node head, UpstreamState state, Silence silence, SilenceCheck.Finding finding, long now) {
    SilenceCheck.Finding before = pausedBy.get(head.id());
    boolean answeredBefore = before == null || before == SilenceCheck.Finding.ANSWERS;
    if (!answeredBefore || finding == SilenceCheck.Finding.RETURNED) {
      goesOn(head, state, now);
    } else if (heardBeside(head, state, now).isSilenceShared()) {
      pauses(head, state, silence, SilenceCheck.Finding.ANSWERS, now);
    } else if (state.isPaused()) {
      goesOn(head, state, now);
    } else if (now - answeredSince.getOrDefault(head.id(), now) >= RESUMPTION_NANOS) {
      stalls(head, state, silence, finding, now);
    }
  }

  /**
   * A head has failed if no connection reaches it or a member of its group, unless it shares its
   * silence, or a connection was accepted in the same pause: a process that pauses accepts no more
   * once the queue of its socket is full.
   */
  private void decideWithoutConnection(
      Node head, UpstreamState state, Silence silence, SilenceCheck.Finding finding, long now) {
    boolean hadConnection = pausedBy.get(head.id()) == SilenceCheck.Finding.PAUSES;
    boolean isShared =
        !silence.suspectedElsewhere() && heardBeside(head, state, now).isSilenceShared();
    if (hadConnection || isShared) {
      pauses(head, state, silence, finding, now);
    } else {
      stalls(head, state, silence, finding, now);
    }
  }

  private HeardUpstreams heardBeside(Node head, UpstreamState state, long now) {
    return HeardUpstreams.count(dispatcher.statesBeside(head), state, now);
  }

  /** A group that is being dissolved does not go on, whatever its head does. */
  private void pauses(
      Node head, UpstreamState state, Silence silence, SilenceCheck.Finding finding, long now) {
    if (!dispatcher.serves(head)) {
      stalls(head, state, silence, finding, now);
      return;
    }
    if (!state.isPaused() || finding == SilenceCheck.Finding.PAUSES) {
      pausedBy.put(head.id(), finding);
    }
    if (!state.isPaused()) {
      state.markPaused();
      answeredSince.remove(head.id());
      onSilence.accept(head, finding);
      log(head, state, silence, finding, "pauses", now);
    }
  }

  private void goesOn(Node head, UpstreamState state, long now) {
    LOG.info("node={} outcome=goes_on", head.id());
    endCheck(head.id());
    state.pauseEnded(now);
  }

  private void stalls(
      Node head, UpstreamState state, Silence silence, SilenceCheck.Finding finding, long now) {
    endCheck(head.id());
    if (finding == SilenceCheck.Finding.DISCONNECTED) {
      state.markSuspect(now);
    } else {
      state.markStalled(now);
    }
    onSilence.accept(head, finding);
    log(head, state, silence, finding, "stands_still", now);
  }

  private void log(
      Node head,
      UpstreamState state,
      Silence silence,
      SilenceCheck.Finding finding,
      String outcome,
      long now) {
    metrics.silentHead(outcome);
    HeardUpstreams others = heardBeside(head, state, now);
    LOG.info(
        "node={} outcome={} finding={} silent_ms={} patience_ms={} streams={} shared={}"
            + " others_heard={} others_in_use={}",
        head.id(),
        outcome,
        finding,
        state.silentNanos(now) / NANOS_PER_MILLI,
        silence.timeoutNanos() / NANOS_PER_MILLI,
        state.streaming(),
        silence.suspectedElsewhere(),
        others.heard(),
        others.inUse());
  }
}
