package org.fawnvale.serving.http;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ByteChannel;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.util.concurrent.locks.Lock;
import java.util.function.BooleanSupplier;
import javax.net.ssl.SSLContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.net.NamedEndpoint;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.reactor.ssl.SSLBufferMode;
import org.apache.hc.core5.reactor.ssl.SSLSessionInitializer;
import org.apache.hc.core5.reactor.ssl.SSLSessionVerifier;
import org.apache.hc.core5.reactor.ssl.TlsDetails;
import org.apache.hc.core5.util.Timeout;

/**
 * A session that reads nothing while its input is suspended. The library suspends the event for
 * input, but reads on during the current event for as long as bytes arrive: 12 MB of a fast
 * response were read beyond a window of 4 kB.
 */
final class SuspendableSession implements ProtocolIOSession {

  private final ProtocolIOSession session;
  private final InputLimit inputLimit;
  private final BooleanSupplier full;

  /**
   * Wraps a session.
   *
   * @param inputLimit bounds its input
   */
  SuspendableSession(ProtocolIOSession session, InputLimit inputLimit) {
    this(session, inputLimit, () -> false);
  }

  /**
   * Wraps a session.
   *
   * @param inputLimit bounds its input
   * @param full tells whether nothing may be read for now
   */
  SuspendableSession(ProtocolIOSession session, InputLimit inputLimit, BooleanSupplier full) {
    this.session = session;
    this.inputLimit = inputLimit;
    this.full = full;
  }

  @Override
  public int read(ByteBuffer target) throws IOException {
    if (isSuspended() || !inputLimit.hasTurn() || full.getAsBoolean()) {
      return 0;
    }
    int limit = target.limit();
    target.limit(target.position() + Math.min(target.remaining(), inputLimit.turnLeft()));
    int bytes = session.read(target);
    target.limit(limit);
    inputLimit.received(bytes);
    return bytes;
  }

  private boolean isSuspended() {
    try {
      return session.isOpen() && (session.getEventMask() & SelectionKey.OP_READ) == 0;
    } catch (CancelledKeyException e) {
      // Another thread has just closed the session; reading reports that.
      return false;
    }
  }

  @Override
  public int write(ByteBuffer source) throws IOException {
    return session.write(source);
  }

  @Override
  public boolean isOpen() {
    return session.isOpen();
  }

  @Override
  public String getId() {
    return session.getId();
  }

  @Override
  public IOEventHandler getHandler() {
    return session.getHandler();
  }

  @Override
  public void upgrade(IOEventHandler handler) {
    session.upgrade(handler);
  }

  @Override
  public Lock getLock() {
    return session.getLock();
  }

  @Override
  public void enqueue(Command command, Command.Priority priority) {
    session.enqueue(command, priority);
  }

  @Override
  public boolean hasCommands() {
    return session.hasCommands();
  }

  @Override
  public Command poll() {
    return session.poll();
  }

  @Override
  public ByteChannel channel() {
    return session.channel();
  }

  @Override
  public SocketAddress getRemoteAddress() {
    return session.getRemoteAddress();
  }

  @Override
  public SocketAddress getLocalAddress() {
    return session.getLocalAddress();
  }

  @Override
  public int getEventMask() {
    return session.getEventMask();
  }

  @Override
  public void setEventMask(int mask) {
    session.setEventMask(mask);
  }

  @Override
  public void setEvent(int event) {
    session.setEvent(event);
  }

  @Override
  public void clearEvent(int event) {
    session.clearEvent(event);
  }

  @Override
  public void close() {
    session.close();
  }

  @Override
  public void close(CloseMode mode) {
    session.close(mode);
  }

  @Override
  public Status getStatus() {
    return session.getStatus();
  }

  @Override
  public Timeout getSocketTimeout() {
    return session.getSocketTimeout();
  }

  @Override
  public void setSocketTimeout(Timeout timeout) {
    session.setSocketTimeout(timeout);
  }

  @Override
  public long getLastReadTime() {
    return session.getLastReadTime();
  }

  @Override
  public long getLastWriteTime() {
    return session.getLastWriteTime();
  }

  @Override
  public long getLastEventTime() {
    return session.getLastEventTime();
  }

  @Override
  public void updateReadTime() {
    session.updateReadTime();
  }

  @Override
  public void updateWriteTime() {
    session.updateWriteTime();
  }

  @Override
  public NamedEndpoint getInitialEndpoint() {
    return session.getInitialEndpoint();
  }

  @Override
  public void startTls(
      SSLContext context,
      NamedEndpoint endpoint,
      SSLBufferMode bufferMode,
      SSLSessionInitializer initializer,
      SSLSessionVerifier verifier,
      Timeout handshakeTimeout) {
    session.startTls(context, endpoint, bufferMode, initializer, verifier, handshakeTimeout);
  }

  @Override
  public TlsDetails getTlsDetails() {
    return session.getTlsDetails();
  }
}
