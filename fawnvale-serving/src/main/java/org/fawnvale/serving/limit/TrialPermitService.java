package org.fawnvale.serving.limit;

import java.util.function.Consumer;
import java.util.function.Predicate;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.fawnvale.serving.core.quarantine.Fingerprint;

/**
 * Asks the one daemon that gives leave for the trial of a barred request, and answers daemons that
 * ask this one. Callers come to any daemon, so a trial that one daemon makes by itself is not made
 * where they are. All calls hold the guard.
 */
public final class TrialPermitService {

  private static final Logger LOG = LogManager.getLogger("trials");

  private static final String PATH = "/trials/leave/";

  /** A request belongs to no data centre. */
  private static final String NO_DATA_CENTRE = "";

  private static final byte[] YES = {1};
  private static final byte[] NO = {0};
  private static final int RADIX = 16;

  private final OwnerClient calls;
  private final RendezvousOwners owners;
  private final Predicate<Fingerprint> gives;

  /**
   * Creates the desk.
   *
   * @param calls asks other daemons
   * @param owners tells which daemon gives leave for which request
   * @param gives gives leave for a request that this daemon decides on
   */
  public TrialPermitService(
      OwnerClient calls, RendezvousOwners owners, Predicate<Fingerprint> gives) {
    this.calls = calls;
    this.owners = owners;
    this.gives = gives;
  }

  private static String matter(Fingerprint fingerprint) {
    return Long.toUnsignedString(fingerprint.value(), RADIX);
  }

  /**
   * Asks for leave to try a barred request once.
   *
   * @param fingerprint the request
   * @param told told once, while the guard is held, whether it may be tried
   */
  public void requestPermit(Fingerprint fingerprint, Consumer<Boolean> told) {
    String matter = matter(fingerprint);
    if (owners.isOwner(matter, NO_DATA_CENTRE)) {
      told.accept(gives.test(fingerprint));
      return;
    }
    RendezvousOwners.Daemon owner = owners.ownerOf(matter, NO_DATA_CENTRE);
    calls.ask(
        owner, PATH + matter, body -> told.accept(body.length == YES.length && body[0] == YES[0]));
  }

  /**
   * Tells whether a question is about the trial of a request.
   *
   * @param target the path of the question
   * @return true when {@link #answer} answers it
   */
  public boolean handles(String target) {
    return target.startsWith(PATH);
  }

  /**
   * Answers a daemon that asks for leave.
   *
   * @param target the path of its question
   * @return one byte, 1 for leave; empty when the question can't be read
   */
  public byte[] answer(String target) {
    String matter = target.substring(PATH.length());
    try {
      Fingerprint fingerprint = new Fingerprint(Long.parseUnsignedLong(matter, RADIX));
      boolean given = owners.isOwner(matter, NO_DATA_CENTRE) && gives.test(fingerprint);
      LOG.info("fingerprint={} given={} outcome=answered", fingerprint, given);
      return given ? YES.clone() : NO.clone();
    } catch (NumberFormatException e) {
      LOG.warn("target={} outcome=unreadable_question", target);
      return new byte[0];
    }
  }
}
