package org.fawnvale.serving.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.quarantine.Fingerprint;
import org.fawnvale.serving.core.quarantine.Quarantine;
import org.fawnvale.serving.core.quarantine.QuarantineRecord;
import org.fawnvale.serving.core.reach.UpstreamPath;
import org.fawnvale.serving.http.NodeClient;

/**
 * Stops requests that crash nodes from being retried on further nodes. It identifies them by
 * fingerprint, since the caller retries with a new id and at another daemon, and exchanges records
 * with the other daemons. Callers of the methods hold the lock.
 */
public final class RequestQuarantine {

  private static final Logger LOG = LogManager.getLogger("gateway");

  /** Retry-After of quarantined requests, in milliseconds: the time until a trial is allowed. */
  static final int RETRY_AFTER_MILLIS =
      (int) TimeUnit.NANOSECONDS.toMillis(Quarantine.TRIAL_DELAY_NANOS);

  /**
   * Delay before an exit of a node in another data centre is recorded. A network partition may
   * reset connections and refuse new ones; the data centre then becomes unreachable within about a
   * second.
   */
  private static final long REMOTE_CONFIRMATION_NANOS = 1_100_000_000L;

  /** Receives the requests that become quarantined. */
  @FunctionalInterface
  public interface QuarantineListener {

    /**
     * Called when a request becomes quarantined.
     *
     * @param own whether this daemon observed the last node exit; false if a peer reported it
     */
    void quarantined(QuarantineRecord requestRecord, boolean own);
  }

  private final Quarantine quarantine = new Quarantine();
  private final Dispatcher dispatcher;
  private final NodeExitProbe exitProbe;
  private final Deque<RemoteExit> remoteExits = new ArrayDeque<>();
  private final GatewayMetrics metrics;
  private final Consumer<Fingerprint> cancelRequests;
  private final Supplier<UpstreamPath> path;
  private final Deque<DoubtfulExit> doubtfulExits = new ArrayDeque<>();
  private QuarantineListener quarantineListener = (requestRecord, own) -> {};
  private TrialRequester trialRequester = (fingerprint, result) -> result.accept(false);
  private Consumer<Fingerprint> clearedListener = fingerprint -> {};

  /**
   * The apparent exit of a node in another data centre; recorded if the node is reachable at the
   * due time.
   */
  private record RemoteExit(Fingerprint fingerprint, Node node, long dueNanos) {}

  /** An apparent exit while this daemon's path was in doubt, and what waits for the probe. */
  private record DoubtfulExit(Fingerprint fingerprint, Node node, Runnable probed) {}

  RequestQuarantine(
      NodeClient client,
      Dispatcher dispatcher,
      GatewayMetrics metrics,
      Consumer<Fingerprint> cancelRequests,
      Supplier<UpstreamPath> path) {
    this.path = path;
    this.cancelRequests = cancelRequests;
    this.dispatcher = dispatcher;
    this.exitProbe = new NodeExitProbe(client);
    this.metrics = metrics;
    metrics.registerQuarantine(quarantine);
    quarantine.allowTrials(false);
  }

  /**
   * Returns whether a request is quarantined; computes its fingerprint only while any request is
   * suspected.
   */
  boolean isQuarantined(Forwarder forwarder) {
    return !quarantine.isEmpty()
        && quarantine.isQuarantined(forwarder.fingerprint(), System.nanoTime());
  }

  /** Records that a request is sent to a node. */
  void recordSend(Forwarder forwarder) {
    if (!quarantine.isEmpty()) {
      quarantine.recordSent(forwarder.fingerprint());
    }
  }

  /** Requests trials of quarantined requests from the daemons that own them. */
  @FunctionalInterface
  public interface TrialRequester {

    /**
     * Requests one trial.
     *
     * @param fingerprint fingerprint of the request
     * @param result receives whether the trial was granted; called once, with the lock held
     */
    void request(Fingerprint fingerprint, Consumer<Boolean> result);
  }

  /**
   * Sets what requests trials of quarantined requests. Until it is set, no trial is granted.
   *
   * @param requester requests the trials
   */
  public void setTrialRequester(TrialRequester requester) {
    trialRequester = requester;
  }

  /** Returns whether a quarantined request may be harmless, so that a trial should be requested. */
  boolean mayRequestTrial(Forwarder forwarder) {
    return quarantine.mayRequestTrial(forwarder.fingerprint(), System.nanoTime());
  }

  /**
   * Requests a trial of a quarantined request.
   *
   * @param result receives whether the request may be sent now
   */
  void requestTrial(Forwarder forwarder, Consumer<Boolean> result) {
    Fingerprint fingerprint = forwarder.fingerprint();
    trialRequester.request(
        fingerprint,
        granted -> {
          LOG.info("fingerprint={} granted={} outcome=trial", fingerprint, granted);
          if (granted) {
            quarantine.acceptTrial(fingerprint);
          }
          result.accept(granted);
        });
  }

  /**
   * Grants this or another daemon a trial of a quarantined request.
   *
   * @param fingerprint fingerprint of the request
   * @return whether the trial is granted
   */
  public boolean grantTrial(Fingerprint fingerprint) {
    return quarantine.grantTrial(fingerprint, System.nanoTime());
  }

  /** Returns whether one more node exit would quarantine the request. */
  boolean isOneExitFromQuarantine(Forwarder forwarder) {
    return !quarantine.isEmpty()
        && quarantine.failureCount(forwarder.fingerprint()) >= Quarantine.MAX_FAILURES - 1;
  }

  /**
   * Determines whether the node whose connection broke during a request has exited. While this
   * daemon's own path is in doubt, a refused connection shows nothing about the node yet.
   *
   * @param probed runs after the probe; an exit in another data centre is confirmed later
   */
  void onConnectionBroken(Fingerprint fingerprint, Node node, Runnable probed) {
    exitProbe.probe(
        node.endpoint(),
        exited -> {
          if (exited && path.get().isDoubtful()) {
            doubtfulExits.addLast(new DoubtfulExit(fingerprint, node, probed));
            return;
          }
          if (exited) {
            handleExit(fingerprint, node);
          }
          probed.run();
        });
  }

  private void recordExit(Fingerprint fingerprint, Node node) {
    int exits = quarantine.recordFailure(fingerprint, node.life(), System.nanoTime());
    boolean quarantined = exits >= Quarantine.MAX_FAILURES;
    metrics.nodeExit(quarantined);
    LOG.info("fingerprint={} node={} ends={} outcome=ended", fingerprint, node.id(), exits);
    if (quarantined) {
      LOG.warn("fingerprint={} node={} ends={} outcome=barred", fingerprint, node.id(), exits);
      notifyQuarantined(fingerprint, true);
      cancelRequests.accept(fingerprint);
    }
  }

  private void notifyQuarantined(Fingerprint fingerprint, boolean own) {
    QuarantineRecord requestRecord = quarantine.recordOf(fingerprint);
    if (requestRecord != null) {
      quarantineListener.quarantined(requestRecord, own);
    }
  }

  /**
   * Sets the listener for requests that become quarantined.
   *
   * @param listener receives their records
   */
  public void onQuarantined(QuarantineListener listener) {
    quarantineListener = listener;
  }

  /** Records that a node has completed a request successfully. */
  void recordSuccess(Forwarder forwarder) {
    if (quarantine.isEmpty()) {
      return;
    }
    boolean wasQuarantined =
        quarantine.failureCount(forwarder.fingerprint()) >= Quarantine.MAX_FAILURES;
    quarantine.recordResponse(forwarder.fingerprint(), System.nanoTime());
    if (wasQuarantined) {
      LOG.warn("fingerprint={} outcome=cleared by=answer", forwarder.fingerprint());
      clearedListener.accept(forwarder.fingerprint());
    }
  }

  /**
   * Sets the listener for quarantined requests that a successful response has cleared.
   *
   * @param listener receives their fingerprints
   */
  public void onCleared(Consumer<Fingerprint> listener) {
    clearedListener = listener;
  }

  /**
   * Merges the records of another daemon and cancels the requests that this puts in quarantine.
   *
   * @param records records that the other daemon sent
   */
  public void receive(List<QuarantineRecord> records) {
    for (Fingerprint fingerprint : quarantine.mergeFromPeer(records, System.nanoTime())) {
      LOG.warn("fingerprint={} outcome=barred by=peers", fingerprint);
      notifyQuarantined(fingerprint, false);
      cancelRequests.accept(fingerprint);
    }
  }

  /**
   * Returns the records of the quarantined requests.
   *
   * @return records of the requests that are sent to no node
   */
  public List<QuarantineRecord> quarantinedRecords() {
    return quarantine.quarantinedRecords();
  }

  private void handleExit(Fingerprint fingerprint, Node node) {
    if (dispatcher.isLocal(node)) {
      recordExit(fingerprint, node);
    } else {
      remoteExits.addLast(
          new RemoteExit(fingerprint, node, System.nanoTime() + REMOTE_CONFIRMATION_NANOS));
    }
  }

  /**
   * Records the exits that appeared while this daemon's path was in doubt, once an upstream is
   * heard; drops them once the path is lost, since then nothing shows that the nodes exited.
   */
  private void resolveDoubtfulExits() {
    boolean lost = path.get().isLost();
    if (path.get().isDoubtful() && !lost) {
      return;
    }
    while (!doubtfulExits.isEmpty()) {
      DoubtfulExit exit = doubtfulExits.removeFirst();
      if (!lost) {
        handleExit(exit.fingerprint(), exit.node());
      }
      exit.probed().run();
    }
  }

  /**
   * Records the delayed exits of nodes: those in other data centres that are still reachable, and
   * those that appeared while this daemon's own path was in doubt.
   */
  public void confirmDelayedExits() {
    resolveDoubtfulExits();
    long now = System.nanoTime();
    while (!remoteExits.isEmpty() && remoteExits.peekFirst().dueNanos() <= now) {
      RemoteExit exit = remoteExits.removeFirst();
      if (dispatcher.isReachable(exit.node())) {
        recordExit(exit.fingerprint(), exit.node());
      }
    }
  }

  /**
   * Returns whether there is a change that the other daemons should receive at once, and resets the
   * flag.
   *
   * @return true if there was such a change since the last call
   */
  public boolean takeUrgentUpdate() {
    return quarantine.takeUrgent();
  }

  /**
   * Returns the records to send to the other daemons with the next message.
   *
   * @param forwarded whether to include records received from other daemons, as a relay does
   * @return records of requests
   */
  public List<QuarantineRecord> recordsToSend(boolean forwarded) {
    return quarantine.recordsToSend(forwarded, System.nanoTime());
  }
}
