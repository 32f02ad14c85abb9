package org.fawnvale.serving.limit;

import java.util.function.Consumer;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.fawnvale.serving.core.quarantine.Fingerprint;

/**
 * Requests trials of quarantined requests from the daemons that own them, and answers other
 * daemons' requests. One daemon decides for all, since a caller may retry at any daemon. Callers of
 * the methods hold the lock.
 */
public final class TrialPermitService {

  private static final Logger LOG = LogManager.getLogger("trials");

  private static final String PATH = "/trials/leave/";

  /** A quarantined request belongs to no data centre. */
  private static final String NO_DATA_CENTRE = "";

  private static final byte[] GRANTED = {1};
  private static final byte[] DENIED = {0};
  private static final int RADIX = 16;

  private final OwnerClient ownerClient;
  private final RendezvousOwners owners;
  private final Predicate<Fingerprint> grantTrial;

  /**
   * Creates the service.
   *
   * @param ownerClient sends requests to the owners
   * @param owners determines which daemon owns a request
   * @param grantTrial decides on trials of the requests that this daemon owns
   */
  public TrialPermitService(
      OwnerClient ownerClient, RendezvousOwners owners, Predicate<Fingerprint> grantTrial) {
    this.ownerClient = ownerClient;
    this.owners = owners;
    this.grantTrial = grantTrial;
  }

  private static String ownershipKey(Fingerprint fingerprint) {
    return Long.toUnsignedString(fingerprint.value(), RADIX);
  }

  /**
   * Requests one trial of a quarantined request.
   *
   * @param fingerprint fingerprint of the request
   * @param result receives whether the trial is granted; called once, with the lock held
   */
  public void requestPermit(Fingerprint fingerprint, Consumer<Boolean> result) {
    String ownershipKey = ownershipKey(fingerprint);
    if (owners.isOwner(ownershipKey, NO_DATA_CENTRE)) {
      result.accept(grantTrial.test(fingerprint));
      return;
    }
    RendezvousOwners.Daemon owner = owners.ownerOf(ownershipKey, NO_DATA_CENTRE);
    ownerClient.call(
        owner,
        PATH + ownershipKey,
        body -> result.accept(body.length == GRANTED.length && body[0] == GRANTED[0]));
  }

  /**
   * Returns whether a path is a request for a trial.
   *
   * @param target path of the HTTP request
   * @return true if {@link #answer} answers it
   */
  public boolean handles(String target) {
    return target.startsWith(PATH);
  }

  /**
   * Answers another daemon's request for a trial.
   *
   * @param target path of the HTTP request
   * @return one byte, 1 if the trial is granted and 0 if not; empty if the request is malformed
   */
  public byte[] answer(String target) {
    String ownershipKey = target.substring(PATH.length());
    try {
      Fingerprint fingerprint = new Fingerprint(Long.parseUnsignedLong(ownershipKey, RADIX));
      boolean granted =
          owners.isOwner(ownershipKey, NO_DATA_CENTRE) && grantTrial.test(fingerprint);
      LOG.info("fingerprint={} given={} outcome=answered", fingerprint, granted);
      return granted ? GRANTED.clone() : DENIED.clone();
    } catch (NumberFormatException e) {
      LOG.warn("target={} outcome=unreadable_question", target);
      return new byte[0];
    }
  }
}
