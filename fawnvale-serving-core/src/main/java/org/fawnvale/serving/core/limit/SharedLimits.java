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
 * Enforces the rate limits of nodes across all daemons together: the limit that a node advertises
 * and, while it is cold, that of {@link ColdPeriods}. The lower one holds. One daemon owns the
 * limit of a node and holds its token bucket. Any other daemon requests a permit from the owner for
 * each request to the node, and sends nothing without one. If each daemon enforced the limit on its
 * own, the node would receive a multiple of it.
 *
 * <p>Not thread-safe.
 */
public final class SharedLimits {

  /** How long an unused permit stays valid, in nanoseconds. */
  private static final long PERMIT_TTL_NANOS = 500_000_000L;

  private static final int SUCCESS = 200;
  private static final int REDIRECT = 300;

  private final KnownLimits knownLimits = new KnownLimits();
  private final ColdPeriods coldPeriods = new ColdPeriods();
  private final RendezvousOwners owners;
  private final Map<NodeIncarnation, OwnedBucket> buckets = new HashMap<>();
  private final Map<NodeIncarnation, Permits> heldPermits = new HashMap<>();
  private final Map<NodeIncarnation, Long> retryAtNanos = new HashMap<>();

  private record OwnedBucket(String dataCentre, TokenBucket bucket) {}

  private record Permits(int count, long expiresNanos) {}

  /** Whether a request may be sent to a node. */
  public enum Admission {
    /** The node has no limit. */
    UNLIMITED,
    /** This daemon may send a request within the limit. */
    PERMITTED,
    /** This daemon needs a permit from the owner of the limit. */
    ASK_OWNER,
    /** The limit is used up, or the owner has denied a permit a moment ago. */
    EXHAUSTED
  }

  /** The reply of an owner to a permit request. */
  public sealed interface Reply {}

  /** A permit for one request. */
  public record Granted() implements Reply {}

  /**
   * The limit is used up.
   *
   * @param nanos time until the next permit request, in nanoseconds
   */
  public record Denied(long nanos) implements Reply {}

  /** The daemon that received the request knows no such limit, or doesn't own it. */
  public record NotOwned() implements Reply {}

  /**
   * Creates the limits of one daemon.
   *
   * @param owners determines which daemon owns which limit
   */
  public SharedLimits(RendezvousOwners owners) {
    this.owners = owners;
  }

  /** Returns the advertised limits that this daemon knows. */
  public KnownLimits knownLimits() {
    return knownLimits;
  }

  /** Returns until when upstreams are cold. */
  public ColdPeriods coldPeriods() {
    return coldPeriods;
  }

  private double perSecond(NodeIncarnation incarnation, long nowNanos) {
    return Math.min(
        knownLimits.perSecond(incarnation), coldPeriods.perSecond(incarnation, nowNanos));
  }

  /**
   * Returns the upstreams that turned cold or warm since the last call, and drops the token buckets
   * and permits of those that have no limit any more.
   *
   * @param nowNanos the monotonic time
   */
  public List<ColdPeriods.Change> takeColdChanges(long nowNanos) {
    List<ColdPeriods.Change> changes = coldPeriods.takeChanges(nowNanos);
    for (ColdPeriods.Change change : changes) {
      dropIfUnlimited(change.incarnation(), nowNanos);
    }
    return changes;
  }

  private void dropIfUnlimited(NodeIncarnation incarnation, long nowNanos) {
    if (perSecond(incarnation, nowNanos) == LimitUpdate.UNLIMITED) {
      buckets.remove(incarnation);
      heldPermits.remove(incarnation);
      retryAtNanos.remove(incarnation);
    }
  }

  /**
   * Applies a response of a node.
   *
   * @param sentVersion the version that was known when the request was sent
   * @param isCallerRequest whether the response belongs to a caller's request; nodes may omit the
   *     limit in responses to orders and to probes
   * @param nowNanos the monotonic time
   */
  public KnownLimits.Change recordResponse(
      NodeIncarnation incarnation,
      NodeResponse response,
      int sentVersion,
      boolean isCallerRequest,
      long nowNanos) {
    boolean success = response.status() >= SUCCESS && response.status() < REDIRECT;
    return apply(
        incarnation,
        knownLimits.recordResponse(
            incarnation, response.limit(), sentVersion, isCallerRequest && success, nowNanos),
        nowNanos);
  }

  /**
   * Merges an update of another daemon.
   *
   * @param nowNanos the monotonic time
   */
  public KnownLimits.Change merge(LimitUpdate update, long nowNanos) {
    return apply(update.incarnation(), knownLimits.merge(update, nowNanos), nowNanos);
  }

  /** Drops the token bucket, the permits and the retry time that a change makes obsolete. */
  private KnownLimits.Change apply(
      NodeIncarnation incarnation, KnownLimits.Change change, long nowNanos) {
    if (change == KnownLimits.Change.ENDED) {
      dropIfUnlimited(incarnation, nowNanos);
    } else if (change == KnownLimits.Change.CHANGED) {
      retryAtNanos.remove(incarnation);
    }
    return change;
  }

  /**
   * Drops the token buckets that this daemon doesn't own any more, and those of limits that are no
   * longer known. To be called after the owners have changed.
   *
   * @param nowNanos the monotonic time
   */
  public void ownersChanged(long nowNanos) {
    buckets.entrySet().removeIf(entry -> !isStillOwned(entry.getKey(), entry.getValue(), nowNanos));
    retryAtNanos.clear();
  }

  private boolean isStillOwned(NodeIncarnation incarnation, OwnedBucket owned, long nowNanos) {
    return perSecond(incarnation, nowNanos) != LimitUpdate.UNLIMITED
        && owners.isOwner(incarnation.id(), owned.dataCentre());
  }

  /**
   * Tells whether a request may be sent to a node. Uses up nothing.
   *
   * @param nowNanos the monotonic time
   */
  public Admission admission(Node node, long nowNanos) {
    if (perSecond(node.life(), nowNanos) == LimitUpdate.UNLIMITED) {
      return Admission.UNLIMITED;
    }
    if (holdsPermit(node.life(), nowNanos)) {
      return Admission.PERMITTED;
    }
    if (nanosUntilAvailable(node, nowNanos) > 0) {
      return Admission.EXHAUSTED;
    }
    return owners.isOwner(node.id(), node.dataCentre()) ? Admission.PERMITTED : Admission.ASK_OWNER;
  }

  private TokenBucket bucket(NodeIncarnation incarnation, String dataCentre, long nowNanos) {
    return buckets
        .computeIfAbsent(
            incarnation,
            any -> new OwnedBucket(dataCentre, new TokenBucket(owners.ownedFromNanos(nowNanos))))
        .bucket();
  }

  private boolean holdsPermit(NodeIncarnation incarnation, long nowNanos) {
    Permits held = heldPermits.get(incarnation);
    return held != null && held.expiresNanos() - nowNanos > 0;
  }

  private long nanosUntilRetry(NodeIncarnation incarnation, long nowNanos) {
    Long retryAt = retryAtNanos.get(incarnation);
    return retryAt == null ? 0 : Math.max(0, retryAt - nowNanos);
  }

  /**
   * Uses up a permit or a token for a request that is about to be written.
   *
   * @param nowNanos the monotonic time
   * @return false when the request must not be written, since the limit of the node is used up
   */
  public boolean tryAcquire(Node node, long nowNanos) {
    double limit = perSecond(node.life(), nowNanos);
    if (limit == LimitUpdate.UNLIMITED) {
      return true;
    }
    if (holdsPermit(node.life(), nowNanos)) {
      usePermit(node.life());
      return true;
    }
    return owners.isOwner(node.id(), node.dataCentre())
        && bucket(node.life(), node.dataCentre(), nowNanos)
            .tryAcquire(limit, owners.share(), nowNanos);
  }

  private void usePermit(NodeIncarnation incarnation) {
    heldPermits.computeIfPresent(
        incarnation,
        (any, held) ->
            held.count() > 1 ? new Permits(held.count() - 1, held.expiresNanos()) : null);
  }

  /** Returns the daemon that grants permits for a node. */
  public RendezvousOwners.Daemon ownerOf(Node node) {
    return owners.ownerOf(node.id(), node.dataCentre());
  }

  /**
   * Answers a permit request of another daemon. A granted permit that expires unused is lost.
   *
   * @param dataCentre the data centre of the node
   * @param nowNanos the monotonic time
   */
  public Reply requestPermit(NodeIncarnation incarnation, String dataCentre, long nowNanos) {
    double limit = perSecond(incarnation, nowNanos);
    if (limit == LimitUpdate.UNLIMITED || !owners.isOwner(incarnation.id(), dataCentre)) {
      return new NotOwned();
    }
    TokenBucket bucket = bucket(incarnation, dataCentre, nowNanos);
    return bucket.tryAcquire(limit, owners.share(), nowNanos)
        ? new Granted()
        : new Denied(bucket.nanosUntilRetry(limit, owners.share(), nowNanos));
  }

  /**
   * Stores a permit that the owner has granted.
   *
   * @param nowNanos the monotonic time
   */
  public void permitGranted(NodeIncarnation incarnation, long nowNanos) {
    heldPermits.values().removeIf(held -> held.expiresNanos() - nowNanos <= 0);
    int before = holdsPermit(incarnation, nowNanos) ? heldPermits.get(incarnation).count() : 0;
    heldPermits.put(incarnation, new Permits(before + 1, nowNanos + PERMIT_TTL_NANOS));
  }

  /**
   * Records that the owner has denied a permit.
   *
   * @param nanos time until the next permit request, in nanoseconds
   * @param nowNanos the monotonic time
   */
  public void permitDenied(NodeIncarnation incarnation, long nanos, long nowNanos) {
    retryAtNanos.values().removeIf(retryAt -> retryAt - nowNanos <= 0);
    retryAtNanos.put(incarnation, nowNanos + nanos);
  }

  /**
   * Returns the time until a request may be sent to a node, or until its owner may be asked again.
   *
   * @param nowNanos the monotonic time
   * @return nanoseconds; 0 when the node has no limit or a request may be possible now
   */
  public long nanosUntilAvailable(Node node, long nowNanos) {
    double limit = perSecond(node.life(), nowNanos);
    if (limit == LimitUpdate.UNLIMITED) {
      return 0;
    }
    if (owners.isOwner(node.id(), node.dataCentre())) {
      return bucket(node.life(), node.dataCentre(), nowNanos)
          .nanosUntilAvailable(limit, owners.share(), nowNanos);
    }
    return nanosUntilRetry(node.life(), nowNanos);
  }

  /**
   * Returns the limits for the next message to other daemons.
   *
   * @param asRelay whether to include changes that were received from other daemons
   * @param nowNanos the monotonic time
   */
  public List<LimitUpdate> updatesToSend(boolean asRelay, long nowNanos) {
    return knownLimits.updatesToSend(asRelay, nowNanos);
  }

  /**
   * Returns what is known of the advertised limit of one incarnation, to be sent with a permit
   * request to its owner.
   *
   * @param nowNanos the monotonic time
   * @return the update; null when nothing is known
   */
  public @Nullable LimitUpdate updateFor(NodeIncarnation incarnation, long nowNanos) {
    return knownLimits.updateFor(incarnation, nowNanos);
  }
}
