package org.fawnvale.serving.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.dispatch.Dispatcher;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.quarantine.CrashRecords;
import org.fawnvale.serving.core.quarantine.CrashSuspects;
import org.fawnvale.serving.core.quarantine.Fingerprint;
import org.fawnvale.serving.core.quarantine.PartRecord;
import org.fawnvale.serving.core.quarantine.Quarantine;
import org.fawnvale.serving.core.quarantine.QuarantineRecord;
import org.fawnvale.serving.core.quarantine.StoredQuarantineRecord;
import org.fawnvale.serving.core.reach.UpstreamPath;
import org.fawnvale.serving.http.NodeClient;

/**
 * Stops requests that crash nodes from being retried on further nodes. It identifies them by
 * fingerprint, since the caller retries with a new id and at another daemon, and by the parts of
 * their prompts, and exchanges records with the other daemons. Callers of the methods hold the
 * lock.
 */
public final class RequestQuarantine {

  private static final Logger LOG = LogManager.getLogger("gateway");

  /**
   * Retry-After of requests that are quarantined as a whole, in milliseconds: the time until a
   * trial.
   */
  static final int RETRY_AFTER_MILLIS =
      (int) TimeUnit.NANOSECONDS.toMillis(Quarantine.TRIAL_DELAY_NANOS);

  /**
   * While the trial of a part is due or under way, its other callers come back after its answer.
   */
  private static final int MIN_RETRY_AFTER_MILLIS = 1_000;

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

  private static final String CRASHES_NODES = "ends the nodes that run it";
  private static final String PART_CRASHES_NODES = "a part of its prompt crashes nodes";

  private final Quarantine quarantine = new Quarantine();
  private final NodeExits exits;
  private final PromptPartQuarantine parts;
  private final GatewayMetrics metrics;
  private final Cancellation cancellation;
  private QuarantineListener quarantineListener = (requestRecord, own) -> {};
  private TrialRequester trialRequester = (fingerprint, result) -> result.accept(false);
  private Consumer<Fingerprint> clearedListener = fingerprint -> {};

  /** Cancels the requests in flight that must not be sent any more. */
  interface Cancellation {

    /** Cancels the attempts of a request that has just been quarantined. */
    void cancelRequest(Fingerprint fingerprint);

    /** Cancels the requests with parts that have just been barred, unless a node answers them. */
    void cancelWithParts(Set<Fingerprint> parts);
  }

  RequestQuarantine(
      NodeClient client,
      Dispatcher dispatcher,
      GatewayMetrics metrics,
      Cancellation cancellation,
      Supplier<UpstreamPath> path) {
    this.cancellation = cancellation;
    this.metrics = metrics;
    this.exits = new NodeExits(client, dispatcher, path, this::recordExit);
    this.parts = new PromptPartQuarantine(metrics, cancellation::cancelWithParts);
    metrics.registerQuarantine(quarantine);
    quarantine.allowTrials(false);
  }

  /** Returns the quarantine of the parts of prompts. */
  public PromptPartQuarantine parts() {
    return parts;
  }

  /** Returns whether a request or a part of its prompt crashes nodes. */
  boolean isQuarantined(RequestFingerprints request) {
    return isWholeQuarantined(request) || !barredParts(request).isEmpty();
  }

  /**
   * Returns whether a request is quarantined as a whole; computes its fingerprint only while any
   * request is suspected.
   */
  private boolean isWholeQuarantined(RequestFingerprints request) {
    return !quarantine.isEmpty() && quarantine.isQuarantined(request.whole(), System.nanoTime());
  }

  /** Returns the barred parts of a request's prompt that its trial does not exempt. */
  private List<Fingerprint> barredParts(RequestFingerprints request) {
    return request.isPartTrial() ? List.of() : parts.barredAmong(request::parts);
  }

  /** Records that a request is sent to a node. */
  void recordSend(RequestFingerprints request) {
    if (!quarantine.isEmpty()) {
      quarantine.recordSent(request.whole());
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
  boolean mayRequestTrial(RequestFingerprints request) {
    boolean mayTryWhole =
        !isWholeQuarantined(request)
            || quarantine.mayRequestTrial(request.whole(), System.nanoTime());
    return mayTryWhole && parts.mayRequestTrial(request.parts());
  }

  /**
   * Requests a trial of a quarantined request: of the request as a whole if that is quarantined,
   * and of its barred parts. One that is granted for the whole alone is kept for the next caller.
   *
   * @param result receives whether the request may be sent now
   */
  void requestTrial(RequestFingerprints request, Consumer<Boolean> result) {
    if (!isWholeQuarantined(request)) {
      requestPartTrial(request, result);
      return;
    }
    requestTrial(
        request.whole(),
        granted -> {
          if (granted) {
            quarantine.acceptTrial(request.whole());
            requestPartTrial(request, result);
          } else {
            result.accept(false);
          }
        });
  }

  private void requestPartTrial(RequestFingerprints request, Consumer<Boolean> result) {
    List<Fingerprint> barred = barredParts(request);
    if (barred.isEmpty()) {
      result.accept(true);
      return;
    }
    Fingerprint fingerprint = parts.trialPartOf(barred);
    requestTrial(
        fingerprint,
        granted -> {
          if (granted) {
            parts.recordTrial(barred, fingerprint);
            request.beginPartTrial();
          }
          result.accept(granted);
        });
  }

  private void requestTrial(Fingerprint fingerprint, Consumer<Boolean> result) {
    trialRequester.request(
        fingerprint,
        granted -> {
          LOG.info("fingerprint={} granted={} outcome=trial", fingerprint, granted);
          result.accept(granted);
        });
  }

  /**
   * Grants this or another daemon a trial of a quarantined request.
   *
   * @param fingerprint fingerprint of the request or of the barred part
   * @return whether the trial is granted
   */
  public boolean grantTrial(Fingerprint fingerprint) {
    return parts.grantTrial(fingerprint) || quarantine.grantTrial(fingerprint, System.nanoTime());
  }

  /** Returns whether one more node exit would quarantine the request or a part of its prompt. */
  boolean isOneExitFromQuarantine(RequestFingerprints request) {
    boolean whole =
        !quarantine.isEmpty()
            && quarantine.failureCount(request.whole()) >= Quarantine.MAX_FAILURES - 1;
    return whole || parts.isAnyOneCrashFromBarred(request::parts);
  }

  /** Returns why a quarantined request is refused, for the log; counts the refusal. */
  String refusalReason(RequestFingerprints request) {
    if (parts.barredAmong(request::parts).isEmpty()) {
      return CRASHES_NODES;
    }
    metrics.refusedForPart();
    return PART_CRASHES_NODES;
  }

  /**
   * Returns when a quarantined request may be tried, in milliseconds from now.
   *
   * @return a Retry-After for its caller
   */
  int retryAfterMillis(RequestFingerprints request) {
    if (isWholeQuarantined(request)) {
      return RETRY_AFTER_MILLIS;
    }
    int millis = parts.millisUntilTrial(parts.barredAmong(request::parts));
    return Math.max(MIN_RETRY_AFTER_MILLIS, millis);
  }

  /**
   * Records that a node has been answering a request for so long that the parts of its prompt do
   * not crash nodes.
   *
   * @param begunNanos when the answer began
   */
  void recordAnswering(RequestFingerprints request, long begunNanos) {
    parts.recordAnswer(request.parts(), begunNanos);
  }

  /**
   * Determines whether the node whose connection broke during a request has exited.
   *
   * @param probed runs after the probe; an exit in another data centre is confirmed later
   */
  void onConnectionBroken(CrashSuspects suspects, Node node, Runnable probed) {
    exits.onConnectionBroken(suspects, node, probed);
  }

  /**
   * Checks whether a node has exited.
   *
   * @param result receives true if nothing listens at its address
   */
  void checkExited(Node node, Consumer<Boolean> result) {
    exits.checkExited(node, result);
  }

  private void recordExit(CrashSuspects suspects, Node node) {
    Fingerprint fingerprint = suspects.request();
    int count = quarantine.recordFailure(fingerprint, node.life(), System.nanoTime());
    boolean quarantined = count >= Quarantine.MAX_FAILURES;
    metrics.nodeExit(quarantined);
    LOG.info("fingerprint={} node={} ends={} outcome=ended", fingerprint, node.id(), count);
    if (quarantined) {
      LOG.warn("fingerprint={} node={} ends={} outcome=barred", fingerprint, node.id(), count);
      notifyQuarantined(fingerprint, true);
      cancellation.cancelRequest(fingerprint);
    }
    parts.recordCrash(suspects.parts(), node.life());
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

  /**
   * Records that a node has completed a request successfully.
   *
   * @param begunNanos when the answer began
   */
  void recordSuccess(RequestFingerprints request, long begunNanos) {
    recordAnswering(request, begunNanos);
    if (quarantine.isEmpty()) {
      return;
    }
    boolean wasQuarantined = quarantine.failureCount(request.whole()) >= Quarantine.MAX_FAILURES;
    quarantine.recordResponse(request.whole(), System.nanoTime());
    if (wasQuarantined) {
      LOG.warn("fingerprint={} outcome=cleared by=answer", request.whole());
      clearedListener.accept(request.whole());
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
  public void receive(CrashRecords records) {
    for (Fingerprint fingerprint :
        quarantine.mergeFromPeer(records.requests(), System.nanoTime())) {
      LOG.warn("fingerprint={} outcome=barred by=peers", fingerprint);
      notifyQuarantined(fingerprint, false);
      cancellation.cancelRequest(fingerprint);
    }
    parts.receive(records.parts());
  }

  /**
   * Takes over the records that daemons have saved in the platform's store.
   *
   * @param stored unexpired records
   */
  public void receiveStored(List<StoredQuarantineRecord> stored) {
    List<QuarantineRecord> requests = new ArrayList<>();
    List<PartRecord> storedParts = new ArrayList<>();
    for (StoredQuarantineRecord each : stored) {
      if (each.promptPart()) {
        storedParts.add(each.asPart());
      } else {
        requests.add(each.asRequest());
      }
    }
    receive(new CrashRecords(requests, storedParts));
  }

  /**
   * Returns the records of the quarantined requests.
   *
   * @return records of the requests that are sent to no node
   */
  public List<QuarantineRecord> quarantinedRecords() {
    return quarantine.quarantinedRecords();
  }

  /** Records the exits of nodes that had to be confirmed. */
  public void confirmDelayedExits() {
    exits.confirmDelayed();
  }

  /**
   * Returns whether there is a change that the other daemons should receive at once, and resets the
   * flag.
   *
   * @return true if there was such a change since the last call
   */
  public boolean takeUrgentUpdate() {
    boolean hasUrgentParts = parts.takeUrgentUpdate();
    return quarantine.takeUrgent() || hasUrgentParts;
  }

  /**
   * Returns the records to send to the other daemons with the next message.
   *
   * @param forwarded whether to include records received from other daemons, as a relay does
   * @return records of requests and of parts of prompts
   */
  public CrashRecords recordsToSend(boolean forwarded) {
    return new CrashRecords(
        quarantine.recordsToSend(forwarded, System.nanoTime()), parts.recordsToSend(forwarded));
  }
}
