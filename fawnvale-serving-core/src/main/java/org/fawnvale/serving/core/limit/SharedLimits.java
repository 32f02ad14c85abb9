package org.fawnvale.serving.core.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.model.NodeResponse;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the limits that nodes name for the sum of all daemons. The owner of a node's limit spends
 * it; any other daemon asks the owner for leave for each request that it wants to send there, and
 * without leave sends nothing. A limit that each daemon kept for itself would be exceeded by as
 * many daemons as there are.
 */
public final class SharedLimits {

  /** How long leave for a request holds that is not used at once, in nanoseconds. */
  private static final long PERMIT_TTL_NANOS = 500_000_000L;

  private static final int SUCCESS = 200;
  private static final int REDIRECT = 300;

  private final KnownLimits knownLimits = new KnownLimits();
  private final RendezvousOwners owners;
  private final Map<NodeIncarnation, OwnedBucket> buckets = new HashMap<>();
  private final Map<NodeIncarnation, Permits> heldPermits = new HashMap<>();
  private final Map<NodeIncarnation, Long> retryAtNanos = new HashMap<>();

  private record OwnedBucket(String dataCentre, TokenBucket bucket) {}

  private record Permits(int count, long expiresNanos) {}

  /** Whether a request may go to a node. */
  public enum Admission {
    /** The node names no limit. */
    UNLIMITED,
    /** There is room within the limit, and this daemon may use it. */
    PERMITTED,
    /** The limit's owner has to be asked. */
    ASK_OWNER,
    /** There is none now. */
    EXHAUSTED
  }

  /** What came of asking the owner. */
  public sealed interface Reply {}

  /** The request may go. */
  public record Granted() implements Reply {}

  /**
   * There is no room now.
   *
   * @param nanos when to ask again, in nanoseconds from now
   */
  public record Denied(long nanos) implements Reply {}

  /** The daemon that was asked does not own the limit, by what it sees. */
  public record NotOwned() implements Reply {}

  /**
   * Creates the limits of a daemon.
   *
   * @param owners tells which daemon spends which limit
   */
  public SharedLimits(RendezvousOwners owners) {
    this.owners = owners;
  }

  /**
   * What is known of limits.
   *
   * @return the limits by life
   */
  public KnownLimits knownLimits() {
    return knownLimits;
  }

  /**
   * Takes in what an answer says.
   *
   * @param life the node's life
   * @param said what the answer says
   * @param sentStamp the stamp that was known when the request was sent
   * @param isCallers whether it answers a caller's request; orders and questions may be answered
   *     without a word on the limit
   * @param nowNanos the steady time
   * @return what was new
   */
  public KnownLimits.Change recordResponse(
      NodeIncarnation life, NodeResponse said, int sentStamp, boolean isCallers, long nowNanos) {
    boolean success = said.status() >= SUCCESS && said.status() < REDIRECT;
    return apply(
        life,
        knownLimits.recordResponse(life, said.limit(), sentStamp, isCallers && success, nowNanos));
  }

  /**
   * Takes in what another daemon tells.
   *
   * @param told what it tells of one life
   * @param nowNanos the steady time
   * @return what was new
   */
  public KnownLimits.Change merge(LimitUpdate told, long nowNanos) {
    return apply(told.incarnation(), knownLimits.merge(told, nowNanos));
  }

  private KnownLimits.Change apply(NodeIncarnation life, KnownLimits.Change change) {
    if (change == KnownLimits.Change.ENDED) {
      buckets.remove(life);
      heldPermits.remove(life);
      retryAtNanos.remove(life);
    } else if (change == KnownLimits.Change.CHANGED) {
      retryAtNanos.remove(life);
    }
    return change;
  }

  /**
   * Takes in that other daemons may own limits from now on. Those that another one owns are spent
   * here no more, and those of lives that are forgotten by nobody.
   */
  public void ownersChanged() {
    buckets.entrySet().removeIf(one -> !isStillOwned(one.getKey(), one.getValue()));
    retryAtNanos.clear();
  }

  private boolean isStillOwned(NodeIncarnation life, OwnedBucket owned) {
    return knownLimits.perSecond(life) != LimitUpdate.UNLIMITED
        && owners.isOwner(life.id(), owned.dataCentre());
  }

  /**
   * Tells whether a request may go to a node.
   *
   * @param node the node
   * @param nowNanos the steady time
   * @return whether there is room within its limit
   */
  public Admission admission(Node node, long nowNanos) {
    if (knownLimits.perSecond(node.incarnation()) == LimitUpdate.UNLIMITED) {
      return Admission.UNLIMITED;
    }
    if (holdsPermit(node.incarnation(), nowNanos)) {
      return Admission.PERMITTED;
    }
    if (nanosUntilAvailable(node, nowNanos) > 0) {
      return Admission.EXHAUSTED;
    }
    return owners.isOwner(node.id(), node.dataCentre()) ? Admission.PERMITTED : Admission.ASK_OWNER;
  }

  private TokenBucket bucket(NodeIncarnation life, String dataCentre, long nowNanos) {
    return buckets
        .computeIfAbsent(
            life,
            any -> new OwnedBucket(dataCentre, new TokenBucket(owners.ownedFromNanos(nowNanos))))
        .bucket();
  }

  private boolean holdsPermit(NodeIncarnation life, long nowNanos) {
    Permits leave = heldPermits.get(life);
    return leave != null && leave.expiresNanos() - nowNanos > 0;
  }

  private long nanosUntilRetry(NodeIncarnation life, long nowNanos) {
    Long again = retryAtNanos.get(life);
    return again == null ? 0 : Math.max(0, again - nowNanos);
  }

  /**
   * Counts a request that is about to be written.
   *
   * @param node the node
   * @param nowNanos the steady time
   * @return whether it may be written; false when there is no room within the node's limit
   */
  public boolean tryAcquire(Node node, long nowNanos) {
    double limit = knownLimits.perSecond(node.incarnation());
    if (limit == LimitUpdate.UNLIMITED) {
      return true;
    }
    if (holdsPermit(node.incarnation(), nowNanos)) {
      usePermit(node.incarnation());
      return true;
    }
    return owners.isOwner(node.id(), node.dataCentre())
        && bucket(node.incarnation(), node.dataCentre(), nowNanos)
            .tryAcquire(limit, owners.share(), nowNanos);
  }

  private void usePermit(NodeIncarnation life) {
    heldPermits.computeIfPresent(
        life,
        (any, leave) ->
            leave.count() > 1 ? new Permits(leave.count() - 1, leave.expiresNanos()) : null);
  }

  /**
   * The daemon to ask for leave.
   *
   * @param node the node
   * @return the owner of its limit
   */
  public RendezvousOwners.Daemon ownerOf(Node node) {
    return owners.ownerOf(node.id(), node.dataCentre());
  }

  /**
   * Answers another daemon that asks for leave for one request. Permits that it does not use is
   * lost.
   *
   * @param life the node's life
   * @param dataCentre the node's data centre
   * @param nowNanos the steady time
   * @return the reply
   */
  public Reply requestPermit(NodeIncarnation life, String dataCentre, long nowNanos) {
    double limit = knownLimits.perSecond(life);
    if (limit == LimitUpdate.UNLIMITED || !owners.isOwner(life.id(), dataCentre)) {
      return new NotOwned();
    }
    TokenBucket bucket = bucket(life, dataCentre, nowNanos);
    return bucket.tryAcquire(limit, owners.share(), nowNanos)
        ? new Granted()
        : new Denied(bucket.nanosUntilRetry(limit, owners.share(), nowNanos));
  }

  /**
   * Takes in leave for one request.
   *
   * @param life the node's life
   * @param nowNanos the steady time
   */
  public void permitGranted(NodeIncarnation life, long nowNanos) {
    heldPermits.values().removeIf(leave -> leave.expiresNanos() - nowNanos <= 0);
    int before = holdsPermit(life, nowNanos) ? heldPermits.get(life).count() : 0;
    heldPermits.put(life, new Permits(before + 1, nowNanos + PERMIT_TTL_NANOS));
  }

  /**
   * Takes in that there is no leave now.
   *
   * @param life the node's life
   * @param nanos when to ask again, in nanoseconds from now
   * @param nowNanos the steady time
   */
  public void permitDenied(NodeIncarnation life, long nanos, long nowNanos) {
    retryAtNanos.values().removeIf(again -> again - nowNanos <= 0);
    retryAtNanos.put(life, nowNanos + nanos);
  }

  /**
   * When there is room again within a node's limit.
   *
   * @param node the node
   * @param nowNanos the steady time
   * @return nanoseconds from now; 0 when it names none, or when there may be room now
   */
  public long nanosUntilAvailable(Node node, long nowNanos) {
    double limit = knownLimits.perSecond(node.incarnation());
    if (limit == LimitUpdate.UNLIMITED) {
      return 0;
    }
    if (owners.isOwner(node.id(), node.dataCentre())) {
      return bucket(node.incarnation(), node.dataCentre(), nowNanos)
          .nanosUntilAvailable(limit, owners.share(), nowNanos);
    }
    return nanosUntilRetry(node.incarnation(), nowNanos);
  }

  /**
   * What to tell other daemons with the next note.
   *
   * @param forOthers whether changes that others have told are told on, as a relay does
   * @param nowNanos the steady time
   * @return a note for each of some lives
   */
  public List<LimitUpdate> updatesToSend(boolean forOthers, long nowNanos) {
    return knownLimits.updatesToSend(forOthers, nowNanos);
  }

  /**
   * What to tell the owner of a limit when it is asked.
   *
   * @param life the node's life
   * @param nowNanos the steady time
   * @return a note; null when nothing is known
   */
  public @Nullable LimitUpdate updateFor(NodeIncarnation life, long nowNanos) {
    return knownLimits.updateFor(life, nowNanos);
  }
}
