package org.fawnvale.serving.core.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeAnswer;
import org.fawnvale.serving.core.model.NodeLife;
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
  private static final long LEAVE_NANOS = 500_000_000L;

  private static final int SUCCESS = 200;
  private static final int REDIRECT = 300;

  private final KnownLimits known = new KnownLimits();
  private final RendezvousOwners owners;
  private final Map<NodeLife, Owned> buckets = new HashMap<>();
  private final Map<NodeLife, Leave> leaves = new HashMap<>();
  private final Map<NodeLife, Long> askAgain = new HashMap<>();

  private record Owned(String dataCentre, TokenBucket bucket) {}

  private record Leave(int requests, long untilNanos) {}

  /** Whether a request may go to a node. */
  public enum Room {
    /** The node names no limit. */
    FREE,
    /** There is room within the limit, and this daemon may use it. */
    HERE,
    /** The limit's owner has to be asked. */
    ASK,
    /** There is none now. */
    NONE
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
  public KnownLimits known() {
    return known;
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
  public KnownLimits.Change hear(
      NodeLife life, NodeAnswer said, int sentStamp, boolean isCallers, long nowNanos) {
    boolean success = said.status() >= SUCCESS && said.status() < REDIRECT;
    return settle(life, known.hear(life, said.limit(), sentStamp, isCallers && success, nowNanos));
  }

  /**
   * Takes in what another daemon tells.
   *
   * @param told what it tells of one life
   * @param nowNanos the steady time
   * @return what was new
   */
  public KnownLimits.Change learn(LimitUpdate told, long nowNanos) {
    return settle(told.life(), known.learn(told, nowNanos));
  }

  private KnownLimits.Change settle(NodeLife life, KnownLimits.Change change) {
    if (change == KnownLimits.Change.ENDED) {
      buckets.remove(life);
      leaves.remove(life);
      askAgain.remove(life);
    } else if (change == KnownLimits.Change.CHANGED) {
      askAgain.remove(life);
    }
    return change;
  }

  /**
   * Takes in that other daemons may own limits from now on. Those that another one owns are spent
   * here no more, and those of lives that are forgotten by nobody.
   */
  public void ownersChanged() {
    buckets.entrySet().removeIf(one -> !isSpentHere(one.getKey(), one.getValue()));
    askAgain.clear();
  }

  private boolean isSpentHere(NodeLife life, Owned owned) {
    return known.of(life) != LimitUpdate.OVER && owners.isOwn(life.id(), owned.dataCentre());
  }

  /**
   * Tells whether a request may go to a node.
   *
   * @param node the node
   * @param nowNanos the steady time
   * @return whether there is room within its limit
   */
  public Room room(Node node, long nowNanos) {
    if (known.of(node.life()) == LimitUpdate.OVER) {
      return Room.FREE;
    }
    if (holdsLeave(node.life(), nowNanos)) {
      return Room.HERE;
    }
    if (nanosToNext(node, nowNanos) > 0) {
      return Room.NONE;
    }
    return owners.isOwn(node.id(), node.dataCentre()) ? Room.HERE : Room.ASK;
  }

  private TokenBucket bucket(NodeLife life, String dataCentre, long nowNanos) {
    return buckets
        .computeIfAbsent(
            life, any -> new Owned(dataCentre, new TokenBucket(owners.decidesFromNanos(nowNanos))))
        .bucket();
  }

  private boolean holdsLeave(NodeLife life, long nowNanos) {
    Leave leave = leaves.get(life);
    return leave != null && leave.untilNanos() - nowNanos > 0;
  }

  private long waitsToAsk(NodeLife life, long nowNanos) {
    Long again = askAgain.get(life);
    return again == null ? 0 : Math.max(0, again - nowNanos);
  }

  /**
   * Counts a request that is about to be written.
   *
   * @param node the node
   * @param nowNanos the steady time
   * @return whether it may be written; false when there is no room within the node's limit
   */
  public boolean spend(Node node, long nowNanos) {
    double limit = known.of(node.life());
    if (limit == LimitUpdate.OVER) {
      return true;
    }
    if (holdsLeave(node.life(), nowNanos)) {
      useLeave(node.life());
      return true;
    }
    return owners.isOwn(node.id(), node.dataCentre())
        && bucket(node.life(), node.dataCentre(), nowNanos).take(limit, owners.share(), nowNanos);
  }

  private void useLeave(NodeLife life) {
    leaves.computeIfPresent(
        life,
        (any, leave) ->
            leave.requests() > 1 ? new Leave(leave.requests() - 1, leave.untilNanos()) : null);
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
   * Answers another daemon that asks for leave for one request. Leave that it does not use is lost.
   *
   * @param life the node's life
   * @param dataCentre the node's data centre
   * @param nowNanos the steady time
   * @return the reply
   */
  public Reply ask(NodeLife life, String dataCentre, long nowNanos) {
    double limit = known.of(life);
    if (limit == LimitUpdate.OVER || !owners.isOwn(life.id(), dataCentre)) {
      return new NotOwned();
    }
    TokenBucket bucket = bucket(life, dataCentre, nowNanos);
    return bucket.take(limit, owners.share(), nowNanos)
        ? new Granted()
        : new Denied(bucket.nanosToTell(limit, owners.share(), nowNanos));
  }

  /**
   * Takes in leave for one request.
   *
   * @param life the node's life
   * @param nowNanos the steady time
   */
  public void granted(NodeLife life, long nowNanos) {
    leaves.values().removeIf(leave -> leave.untilNanos() - nowNanos <= 0);
    int before = holdsLeave(life, nowNanos) ? leaves.get(life).requests() : 0;
    leaves.put(life, new Leave(before + 1, nowNanos + LEAVE_NANOS));
  }

  /**
   * Takes in that there is no leave now.
   *
   * @param life the node's life
   * @param nanos when to ask again, in nanoseconds from now
   * @param nowNanos the steady time
   */
  public void denied(NodeLife life, long nanos, long nowNanos) {
    askAgain.values().removeIf(again -> again - nowNanos <= 0);
    askAgain.put(life, nowNanos + nanos);
  }

  /**
   * When there is room again within a node's limit.
   *
   * @param node the node
   * @param nowNanos the steady time
   * @return nanoseconds from now; 0 when it names none, or when there may be room now
   */
  public long nanosToNext(Node node, long nowNanos) {
    double limit = known.of(node.life());
    if (limit == LimitUpdate.OVER) {
      return 0;
    }
    if (owners.isOwn(node.id(), node.dataCentre())) {
      return bucket(node.life(), node.dataCentre(), nowNanos)
          .nanosToNext(limit, owners.share(), nowNanos);
    }
    return waitsToAsk(node.life(), nowNanos);
  }

  /**
   * What to tell other daemons with the next note.
   *
   * @param forOthers whether changes that others have told are told on, as a relay does
   * @param nowNanos the steady time
   * @return a note for each of some lives
   */
  public List<LimitUpdate> toTell(boolean forOthers, long nowNanos) {
    return known.toTell(forOthers, nowNanos);
  }

  /**
   * What to tell the owner of a limit when it is asked.
   *
   * @param life the node's life
   * @param nowNanos the steady time
   * @return a note; null when nothing is known
   */
  public @Nullable LimitUpdate noteOf(NodeLife life, long nowNanos) {
    return known.noteOf(life, nowNanos);
  }
}
