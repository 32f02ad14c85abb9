package org.fawnvale.serving.core.flow;

import org.fawnvale.serving.core.model.Settings;
import org.jspecify.annotations.Nullable;

/**
 * The bytes that a daemon holds for all its callers, and how many more it may hold. Request bodies
 * are admitted whole before they are read, so that two half-read bodies never wait for each other's
 * room. Not thread-safe.
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

  private final Settings.CallerBuffers limits;
  private final long bodyLimit;
  private final long crowdedAt;
  private final long eventLimit;
  private long responses;
  private long events;
  private long bodies;
  private long reserved;
  private int waitingBodies;
  private @Nullable ResponseBuffer beyondTotal;

  /**
   * Creates the account of a daemon that holds nothing.
   *
   * @param limits the limits of the daemon
   */
  public CallerMemory(Settings.CallerBuffers limits) {
    this.limits = limits;
    this.bodyLimit = (long) (limits.totalBytes() * BODY_SHARE);
    this.crowdedAt = (long) (limits.totalBytes() * CROWDED_SHARE);
    this.eventLimit = (long) (limits.totalBytes() * EVENT_SHARE);
  }

  Settings.CallerBuffers limits() {
    return limits;
  }

  /**
   * Returns the bytes held now: unread responses, collected responses, incomplete events and
   * request bodies.
   *
   * @return bytes
   */
  public long held() {
    return responses + events + bodies;
  }

  /**
   * Returns what the total leaves to one more buffer. It shrinks as buffers fill up, so that the
   * largest buffers reach it first.
   *
   * @return bytes, at least 0
   */
  long room() {
    return Math.max(0, limits.totalBytes() - held());
  }

  /**
   * Returns how large one incomplete event may be. It shrinks as events grow, so that the largest
   * ones reach it first.
   *
   * @return bytes, at least 0
   */
  long eventRoom() {
    return Math.max(0, eventLimit - events);
  }

  /** Tells whether complete responses that nobody reads are given up. */
  boolean isCrowded() {
    return held() > crowdedAt;
  }

  /**
   * Lets one collected response at a time grow beyond the total: responses that can be delivered
   * only when they are complete would otherwise wait for each other's room.
   *
   * @return whether the response may grow
   */
  boolean claimBeyondTotal(ResponseBuffer response) {
    if (beyondTotal == null) {
      beyondTotal = response;
    }
    return beyondTotal == response;
  }

  void unclaimBeyondTotal(ResponseBuffer response) {
    if (beyondTotal == response) {
      beyondTotal = null;
    }
  }

  void addWaitingBodies(int count) {
    waitingBodies += count;
  }

  boolean hasWaitingBodies() {
    return waitingBodies > 0;
  }

  void addResponse(long bytes) {
    responses += bytes;
  }

  void addEvent(long bytes) {
    events += bytes;
  }

  void addBody(long bytes) {
    bodies += bytes;
  }

  void addReserved(long bytes) {
    reserved += bytes;
  }

  /**
   * Tells whether the rest of a request body may be read. A body larger than all bodies may be is
   * admitted when it is the only one.
   */
  boolean admitsBody(long bytes) {
    boolean alone = bodies + reserved == 0;
    return alone || held() + reserved + bytes <= bodyLimit;
  }
}
