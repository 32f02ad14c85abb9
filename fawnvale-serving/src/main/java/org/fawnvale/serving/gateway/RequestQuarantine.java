package org.fawnvale.serving.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.quarantine.Fingerprint;
import org.fawnvale.serving.core.quarantine.Quarantine;
import org.fawnvale.serving.core.quarantine.QuarantineRecord;
import org.fawnvale.serving.http.NodeClient;

/**
 * Keeps requests that end the nodes that run them from being sent on and on. What one attempt has
 * done is not enough to know: the caller comes back with another id, to another daemon. All calls
 * hold the guard.
 */
public final class RequestQuarantine {

  private static final Logger LOG = LogManager.getLogger("gateway");

  /** A request that is barred will be refused for long; callers heed what they have time for. */
  static final int RETRY_AFTER_MILLIS =
      (int) TimeUnit.NANOSECONDS.toMillis(Quarantine.TRIAL_DELAY_NANOS);

  /**
   * A cut may reset all connections to a data centre, and refuse new ones. It is out of sight after
   * half a second, in large fleets after a second.
   */
  private static final long FAR_NANOS = 1_100_000_000L;

  /** Told of a request that is sent to no node any more. */
  @FunctionalInterface
  public interface BarredListener {

    /**
     * Hears of a request.
     *
     * @param told what is known of it
     * @param own whether this daemon saw the last end; otherwise it heard of it
     */
    void barred(QuarantineRecord told, boolean own);
  }

  private final Quarantine quarantine = new Quarantine();
  private final Dispatcher dispatcher;
  private final NodeExitProbe proofs;
  private final Deque<FarEnd> farEnds = new ArrayDeque<>();
  private final GatewayMetrics figures;
  private final Consumer<Fingerprint> giveUp;
  private BarredListener barredListener = (told, own) -> {};
  private TrialRequester trialRequester = (fingerprint, told) -> told.accept(false);
  private Consumer<Fingerprint> clearedListener = fingerprint -> {};

  /** The end of a node elsewhere, which may only have gone out of sight. */
  private record FarEnd(Fingerprint fingerprint, Node node, long dueNanos) {}

  RequestQuarantine(
      NodeClient client,
      Dispatcher dispatcher,
      GatewayMetrics figures,
      Consumer<Fingerprint> giveUp) {
    this.giveUp = giveUp;
    this.dispatcher = dispatcher;
    this.proofs = new NodeExitProbe(client);
    this.figures = figures;
    figures.quarantine(quarantine);
    quarantine.allowTrials(false);
  }

  /** Tells whether a request may not be sent; costs a digest only while any request is doubted. */
  boolean isBarred(Forwarder forwarder) {
    return !quarantine.isEmpty()
        && quarantine.isQuarantined(forwarder.fingerprint(), System.nanoTime());
  }

  /** Notes that a request is sent to a node now. */
  void sent(Forwarder forwarder) {
    if (!quarantine.isEmpty()) {
      quarantine.recordSent(forwarder.fingerprint());
    }
  }

  /** Asks the daemon that gives leave for the trial of a barred request. */
  @FunctionalInterface
  public interface TrialRequester {

    /**
     * Asks for leave for one trial.
     *
     * @param fingerprint the request
     * @param told told once, while the guard is held, whether it may be tried
     */
    void ask(Fingerprint fingerprint, Consumer<Boolean> told);
  }

  /**
   * Names who asks for leave to try a barred request once more; without it there is none.
   *
   * @param asker asks
   */
  public void setTrialRequester(TrialRequester asker) {
    trialRequester = asker;
  }

  /** Tells whether a barred request may be harmless, so that leave for a trial is worth asking. */
  boolean isWorthATrial(Forwarder forwarder) {
    return quarantine.mayRequestTrial(forwarder.fingerprint(), System.nanoTime());
  }

  /**
   * Asks for leave to try a barred request once more.
   *
   * @param told told whether it may be sent now
   */
  void askForTrial(Forwarder forwarder, Consumer<Boolean> told) {
    Fingerprint fingerprint = forwarder.fingerprint();
    trialRequester.ask(
        fingerprint,
        granted -> {
          LOG.info("fingerprint={} granted={} outcome=trial", fingerprint, granted);
          if (granted) {
            quarantine.acceptTrial(fingerprint);
          }
          told.accept(granted);
        });
  }

  /**
   * Gives another daemon, or this one, leave to try a barred request once more.
   *
   * @param fingerprint the request
   * @return whether it may
   */
  public boolean grantTrial(Fingerprint fingerprint) {
    return quarantine.grantTrial(fingerprint, System.nanoTime());
  }

  /** Tells whether one more end bars the request: then it goes on only once there was none. */
  boolean isLastTry(Forwarder forwarder) {
    return !quarantine.isEmpty()
        && quarantine.failureCount(forwarder.fingerprint()) >= Quarantine.MAX_FAILURES - 1;
  }

  /**
   * Finds out whether the node whose connection broke under a request has ended.
   *
   * @param settled run once it is known, or surely will not be at once
   */
  void broke(Fingerprint fingerprint, Node node, Runnable settled) {
    proofs.ask(
        node.endpoint(),
        hasEnded -> {
          if (hasEnded && dispatcher.isLocal(node)) {
            ended(fingerprint, node);
          } else if (hasEnded) {
            farEnds.addLast(new FarEnd(fingerprint, node, System.nanoTime() + FAR_NANOS));
          }
          settled.run();
        });
  }

  private void ended(Fingerprint fingerprint, Node node) {
    int ends = quarantine.recordFailure(fingerprint, node.incarnation(), System.nanoTime());
    boolean barred = ends >= Quarantine.MAX_FAILURES;
    figures.ended(barred);
    LOG.info("fingerprint={} node={} ends={} outcome=ended", fingerprint, node.id(), ends);
    if (barred) {
      LOG.warn("fingerprint={} node={} ends={} outcome=barred", fingerprint, node.id(), ends);
      tellBarred(fingerprint, true);
      giveUp.accept(fingerprint);
    }
  }

  private void tellBarred(Fingerprint fingerprint, boolean own) {
    QuarantineRecord told = quarantine.recordOf(fingerprint);
    if (told != null) {
      barredListener.barred(told, own);
    }
  }

  /**
   * Names who is told of each request that is barred.
   *
   * @param listener told of its record
   */
  public void onBarred(BarredListener listener) {
    barredListener = listener;
  }

  /** Notes that a node has run a request to a good end. */
  void answered(Forwarder forwarder) {
    if (quarantine.isEmpty()) {
      return;
    }
    boolean wasBarred = quarantine.failureCount(forwarder.fingerprint()) >= Quarantine.MAX_FAILURES;
    quarantine.recordResponse(forwarder.fingerprint(), System.nanoTime());
    if (wasBarred) {
      LOG.warn("fingerprint={} outcome=cleared by=answer", forwarder.fingerprint());
      clearedListener.accept(forwarder.fingerprint());
    }
  }

  /**
   * Names who is told of each barred request that an answer has shown to be harmless.
   *
   * @param listener told of the request
   */
  public void onCleared(Consumer<Fingerprint> listener) {
    clearedListener = listener;
  }

  /**
   * Takes in what another daemon tells, and gives up what is barred by it.
   *
   * @param records its records
   */
  public void receive(List<QuarantineRecord> records) {
    for (Fingerprint fingerprint : quarantine.mergeFromPeer(records, System.nanoTime())) {
      LOG.warn("fingerprint={} outcome=barred by=peers", fingerprint);
      tellBarred(fingerprint, false);
      giveUp.accept(fingerprint);
    }
  }

  /**
   * What is known of the requests that are sent to no node.
   *
   * @return their records
   */
  public List<QuarantineRecord> barredRecords() {
    return quarantine.quarantinedRecords();
  }

  /** Believes ends in other data centres that have stayed in sight since. */
  public void confirmRemoteExits() {
    long now = System.nanoTime();
    while (!farEnds.isEmpty() && farEnds.peekFirst().dueNanos() <= now) {
      FarEnd end = farEnds.removeFirst();
      if (dispatcher.isReachable(end.node())) {
        ended(end.fingerprint(), end.node());
      }
    }
  }

  /**
   * Tells whether this daemon has seen what the others should know at once.
   *
   * @return true when it has, since this was asked last
   */
  public boolean takeUrgentUpdate() {
    return quarantine.takeUrgent();
  }

  /**
   * What to tell the other daemons with the next note.
   *
   * @param forOthers whether what others have told is told on, as a relay does
   * @return records of requests
   */
  public List<QuarantineRecord> recordsToSend(boolean forOthers) {
    return quarantine.recordsToSend(forOthers, System.nanoTime());
  }
}
