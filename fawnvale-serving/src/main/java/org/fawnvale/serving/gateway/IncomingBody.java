package org.fawnvale.serving.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.serving.core.flow.RequestBody;
import org.jspecify.annotations.Nullable;

/** The body of a caller's request, read from its connection as far as there is room for it. */
final class IncomingBody {

  private static final Logger LOG = LogManager.getLogger("gateway");

  private final RequestBody account;
  private @Nullable ByteArrayOutputStream content = new ByteArrayOutputStream();
  private @Nullable CapacityChannel suspended;
  private long maxLength;

  IncomingBody(RequestBody account) {
    this.account = account;
  }

  /**
   * Sets the most bytes that the body may have.
   *
   * @param statedLength length that the head states; negative if it states none
   * @param limit limit of the configuration
   */
  void expect(long statedLength, int limit) {
    maxLength = statedLength < 0 ? limit : Math.min(statedLength, limit);
  }

  /**
   * Appends bytes.
   *
   * @return false if the body is larger than the limit
   */
  boolean add(ByteBuffer data, int limit) {
    ByteArrayOutputStream received = content;
    int length = data.remaining();
    if (received == null || received.size() + length > limit) {
      return false;
    }
    byte[] part = new byte[length];
    data.get(part);
    received.writeBytes(part);
    account.received(length, System.nanoTime());
    return true;
  }

  /**
   * Reads on if there is room, or else suspends the input until {@link #tryResume}.
   *
   * @return whether the input is read on
   */
  boolean readOn(CapacityChannel channel, long nowNanos) {
    boolean admitted = account.tryAdmit(maxLength, nowNanos);
    suspended = admitted ? null : channel;
    if (admitted) {
      update(channel);
    }
    return admitted;
  }

  /** Reads on if the input is suspended and there is room now. */
  void tryResume(long nowNanos) {
    CapacityChannel channel = suspended;
    if (channel != null) {
      readOn(channel, nowNanos);
    }
  }

  boolean hasWaitedTooLong(long nowNanos) {
    return suspended != null && account.hasWaitedTooLong(nowNanos);
  }

  /** Returns whether the caller has stopped sending while others wait for its room. */
  boolean isStalled(long nowNanos) {
    return account.isStalled(nowNanos);
  }

  /** Returns whether the rest of the body waits for room or has room reserved. */
  boolean isIncomplete() {
    return suspended != null || account.isReserved();
  }

  /** Returns the complete body and keeps it no longer; it counts as held until it is released. */
  byte[] take() {
    ByteArrayOutputStream received = content;
    content = null;
    account.complete();
    return received == null ? new byte[0] : received.toByteArray();
  }

  /** Drops the body. What still arrives of it is read and discarded. */
  void release() {
    content = null;
    account.release();
    CapacityChannel channel = suspended;
    suspended = null;
    if (channel != null) {
      update(channel);
    }
  }

  private static void update(CapacityChannel channel) {
    try {
      channel.update(Integer.MAX_VALUE);
    } catch (IOException e) {
      LOG.debug("A caller's connection failed: {}.", e.toString());
    }
  }
}
