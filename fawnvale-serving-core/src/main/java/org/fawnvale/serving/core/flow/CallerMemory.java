package org.fawnvale.serving.core.flow;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.Set;
import org.fawnvale.serving.core.model.Settings;
import org.jspecify.annotations.Nullable;

/**
 * The account of all bytes of memory that callers make a daemon hold, and how many more it may
 * hold. It has two parts, each with a limit for all callers together, so that neither keeps the
 * other out:
 *
 * <ul>
 *   <li>connections with the heads of their requests ({@link CallerHolding}). Beyond its limit
 *       connections without a whole request are closed, first the one that has held the most for
 *       the longest; what is served does not give way, and a whole request that finds no room is
 *       refused;
 *   <li>request bodies, unread responses and incomplete events ({@link RequestBody}, {@link
 *       ResponseBuffer}). Bodies are admitted whole before they are read, so that two half-read
 *       bodies never wait for each other's room.
 * </ul>
 *
 * <p>Thread-safe.
 */
public final class CallerMemory {

  /**
   * The share of the total that request bodies may use up. The rest is left to responses, since
   * bodies are held until their responses have ended.
   */
  private static final double BODY_SHARE = 0.75;

  /**
   * The share of the total beyond which complete responses are given up if their callers do not
   * read. It is below the share of bodies, so that responses nobody reads do not keep bodies out.
   */
  private static final double CROWDED_SHARE = 0.5;

  /**
   * The share of the total that incomplete events may use up. Their input never waits, so only this
   * bounds them; the rest is left to request bodies and to responses of callers that read slowly.
   */
  private static final double EVENT_SHARE = 0.5;

  /**
   * The share of the connections' part that whole requests of many bytes may use up. The rest is
   * left to connections and to small requests.
   */
  private static final double SERVED_SHARE = 0.5;

  private final Settings.CallerBuffers limits;
  private final long connectionLimit;
  private final long servedLimit;
  private final Set<CallerHolding> holdings = new LinkedHashSet<>();
  private final long bodyLimit;
  private final long crowdedAt;
  private final long eventLimit;
  private long responses;
  private long events;
  private long bodies;
  private long reserved;
  private long connections;
  private long closing;
  private long served;
  private long gaveWay;
  private int waitingBodies;
  private @Nullable ResponseBuffer beyondTotal;

  /**
   * Creates the account of a daemon that holds nothing.
   *
   * @param limits the limits of the daemon
   */
  public CallerMemory(Settings.CallerBuffers limits) {
    this.limits = limits;
    this.connectionLimit = limits.accountBytes() - limits.totalBytes();
    this.servedLimit = (long) (connectionLimit * SERVED_SHARE);
    this.bodyLimit = (long) (limits.totalBytes() * BODY_SHARE);
    this.crowdedAt = (long) (limits.totalBytes() * CROWDED_SHARE);
    this.eventLimit = (long) (limits.totalBytes() * EVENT_SHARE);
  }

  /**
   * Counts a new connection of a caller.
   *
   * @param giveWay closes the connection; called by the thread that needs the room
   * @param nowNanos the monotonic time in nanoseconds
   * @return what the connection holds
   */
  public synchronized CallerHolding open(Runnable giveWay, long nowNanos) {
    CallerHolding holding = new CallerHolding(this, giveWay, nowNanos);
    holdings.add(holding);
    connections += CallerHolding.CONNECTION_BYTES;
    return holding;
  }

  void beginClosing(CallerHolding holding, long bytes) {
    holdings.remove(holding);
    closing += bytes;
  }

  void endClosing(long bytes) {
    closing -= bytes;
    connections -= bytes;
  }

  void addConnections(long bytes) {
    connections += bytes;
  }

  void addServed(long bytes) {
    served += bytes;
  }

  boolean isConnectionsOverLimit() {
    return connections - closing > connectionLimit;
  }

  /**
   * Tells whether more may be received from callers now. What closed connections have held is free
   * only when their thread has forgotten them; until then nothing more may take its place.
   *
   * @return false to read later
   */
  public synchronized boolean mayReceive() {
    return connections <= connectionLimit || closing == 0;
  }

  boolean isServedOverLimit() {
    return served > servedLimit;
  }

  /**
   * Closes connections without a whole request until the rest is within the limit, or none is left.
   *
   * @param nowNanos the monotonic time in nanoseconds
   */
  public void makeRoom(long nowNanos) {
    CallerHolding first = firstBeyondLimit(nowNanos);
    while (first != null) {
      if (first.closeUnlessServed()) {
        countGivenWay();
      }
      first = firstBeyondLimit(nowNanos);
    }
  }

  private synchronized @Nullable CallerHolding firstBeyondLimit(long nowNanos) {
    return isConnectionsOverLimit() ? firstToGiveWay(holdings, nowNanos, 0) : null;
  }

  /**
   * Chooses the connection that gives way to others.
   *
   * @param candidates the connections to choose from
   * @param nowNanos the monotonic time in nanoseconds
   * @param minAgeNanos how long a connection must have had no whole request
   * @return what the connection holds; null when none may give way
   */
  public synchronized @Nullable CallerHolding firstToGiveWay(
      Collection<CallerHolding> candidates, long nowNanos, long minAgeNanos) {
    CallerHolding first = null;
    for (CallerHolding each : candidates) {
      boolean before =
          each.mayGiveWay(nowNanos, minAgeNanos)
              && (first == null
                  || each.unusedByteNanos(nowNanos) > first.unusedByteNanos(nowNanos));
      first = before ? each : first;
    }
    return first;
  }

  private synchronized void countGivenWay() {
    gaveWay++;
  }

  /**
   * Returns how many connections were closed because all together held too much.
   *
   * @return their number since the start
   */
  public synchronized long gaveWayCount() {
    return gaveWay;
  }

  /**
   * Returns the bytes held now for connections of callers and the heads of their requests.
   *
   * @return bytes
   */
  public synchronized long connectionBytes() {
    return connections;
  }

  /**
   * Returns the limits.
   *
   * @return the limits of the daemon
   */
  public Settings.CallerBuffers limits() {
    return limits;
  }

  /**
   * Returns the bytes of the second part: unread responses, collected responses, incomplete events
   * and request bodies.
   *
   * @return bytes
   */
  public synchronized long held() {
    return responses + events + bodies;
  }

  /**
   * Returns what the total leaves to one more buffer. It shrinks as buffers fill up, so that the
   * largest buffers reach it first.
   *
   * @return bytes, at least 0
   */
  synchronized long room() {
    return Math.max(0, limits.totalBytes() - held());
  }

  /**
   * Returns how large one incomplete event may be. It shrinks as events grow, so that the largest
   * ones reach it first.
   *
   * @return bytes, at least 0
   */
  synchronized long eventRoom() {
    return Math.max(0, eventLimit - events);
  }

  /** Tells whether complete responses that nobody reads are given up. */
  synchronized boolean isCrowded() {
    return held() > crowdedAt;
  }

  /**
   * Lets one collected response at a time grow beyond the total: responses that can be delivered
   * only when they are complete would otherwise wait for each other's room.
   *
   * @return whether the response may grow
   */
  synchronized boolean claimBeyondTotal(ResponseBuffer response) {
    if (beyondTotal == null) {
      beyondTotal = response;
    }
    return beyondTotal == response;
  }

  synchronized void unclaimBeyondTotal(ResponseBuffer response) {
    if (beyondTotal == response) {
      beyondTotal = null;
    }
  }

  synchronized void addWaitingBodies(int count) {
    waitingBodies += count;
  }

  synchronized boolean hasWaitingBodies() {
    return waitingBodies > 0;
  }

  synchronized void addResponse(long bytes) {
    responses += bytes;
  }

  synchronized void addEvent(long bytes) {
    events += bytes;
  }

  synchronized void addBody(long bytes) {
    bodies += bytes;
  }

  synchronized void addReserved(long bytes) {
    reserved += bytes;
  }

  /**
   * Tells whether the rest of a request body may be read. A body larger than all bodies may be is
   * admitted when it is the only one.
   */
  synchronized boolean admitsBody(long bytes) {
    boolean alone = bodies + reserved == 0;
    return alone || held() + reserved + bytes <= bodyLimit;
  }
}
