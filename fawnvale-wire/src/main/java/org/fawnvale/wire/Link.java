package org.fawnvale.wire;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.LongAdder;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * An authenticated TCP connection between two daemons.
 *
 * <p>Sending never blocks: messages wait in a bounded queue. If the queue is full, the peer is
 * considered frozen or unreachable, and the link is closed.
 */
public final class Link implements AutoCloseable {

  private static final Logger LOG = LogManager.getLogger("wire");
  private static final int QUEUE_LENGTH = 4096;
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final byte[] STOP = new byte[0];

  private final Socket socket;
  private final FrameCodec codec;
  private final DataInputStream in;
  private final DataOutputStream out;
  private final Identity peer;
  private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(QUEUE_LENGTH);
  private final AtomicBoolean closed = new AtomicBoolean();
  private final LongAdder sentBytes = new LongAdder();
  private final CountedInput received;

  private Link(
      Socket socket,
      FrameCodec codec,
      CountedInput received,
      DataInputStream in,
      DataOutputStream out,
      Identity peer) {
    this.socket = socket;
    this.received = received;
    this.codec = codec;
    this.in = in;
    this.out = out;
    this.peer = peer;
  }

  /**
   * Connects to a daemon and performs the handshake.
   *
   * @param address address that the daemon listens on
   * @param self identity of this daemon
   * @param key secret key shared by all peers
   * @param codec the frame codec
   * @param timeoutMillis timeout of connecting and of each read of the handshake, milliseconds
   * @return the link, not yet started
   * @throws IOException if the peer cannot be reached or fails to authenticate
   */
  public static Link dial(
      InetSocketAddress address, Identity self, byte[] key, FrameCodec codec, int timeoutMillis)
      throws IOException {
    Socket socket = new Socket();
    try {
      socket.connect(address, timeoutMillis);
      return open(socket, self, key, codec, timeoutMillis);
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  /**
   * Performs the handshake on a connection.
   *
   * @param socket the connection
   * @param self identity of this daemon
   * @param key secret key shared by all peers
   * @param codec the frame codec
   * @param timeoutMillis timeout of each read of the handshake, milliseconds
   * @return the link, not yet started
   * @throws IOException if the peer fails to authenticate
   */
  public static Link open(
      Socket socket, Identity self, byte[] key, FrameCodec codec, int timeoutMillis)
      throws IOException {
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(timeoutMillis);
    CountedInput received = new CountedInput(socket.getInputStream());
    DataInputStream in = new DataInputStream(new BufferedInputStream(received, BUFFER_BYTES));
    DataOutputStream out =
        new DataOutputStream(new BufferedOutputStream(socket.getOutputStream(), BUFFER_BYTES));
    Identity peer = new Handshake(self, key, codec).perform(in, out);
    socket.setSoTimeout(0);
    return new Link(socket, codec, received, in, out, peer);
  }

  /**
   * Starts reading and writing.
   *
   * @param executor runs one reader task and one writer task until the link closes
   * @param handler called by the reader task for each message
   * @param onClose called once by the reader task after the link has closed
   */
  public void start(Executor executor, MessageHandler handler, Runnable onClose) {
    executor.execute(this::writeLoop);
    executor.execute(
        () -> {
          readLoop(handler);
          close();
          onClose.run();
        });
  }

  /**
   * Queues a message for sending; closes the link if the queue is full.
   *
   * @return false if the link is closed, the message is too large, or the queue is full
   */
  public boolean send(Message message) {
    if (closed.get()) {
      return false;
    }
    try {
      if (queue.offer(codec.encode(message))) {
        return true;
      }
      LOG.warn("The queue to {} is full; the link is closed.", peer.daemon());
      close();
    } catch (FrameException e) {
      LOG.warn("A message to {} was not sent: {}", peer.daemon(), e.getMessage());
    }
    return false;
  }

  /**
   * Returns the peer's identity.
   *
   * @return the identity authenticated by the handshake
   */
  public Identity peer() {
    return peer;
  }

  /**
   * Returns the number of bytes sent, including the frames' length fields.
   *
   * @return bytes since the link was opened
   */
  public long sentBytes() {
    return sentBytes.sum();
  }

  /**
   * Returns the number of bytes received.
   *
   * @return bytes since the link was opened
   */
  public long receivedBytes() {
    return received.bytes();
  }

  /**
   * Returns whether the link is closed.
   *
   * @return true once the link has been closed by either side or by a failure
   */
  public boolean isClosed() {
    return closed.get();
  }

  @Override
  public void close() {
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    queue.clear();
    queue.offer(STOP);
    try {
      socket.close();
    } catch (IOException e) {
      LOG.debug("A link did not close cleanly.", e);
    }
  }

  private void writeLoop() {
    try {
      while (!closed.get()) {
        byte[] payload = queue.take();
        if (payload == STOP) {
          return;
        }
        codec.write(payload, out);
        sentBytes.add((long) payload.length + FrameCodec.HEADER_BYTES);
        if (queue.isEmpty()) {
          out.flush();
        }
      }
    } catch (IOException e) {
      LOG.debug("Writing to {} ended: {}", peer.daemon(), e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      close();
    }
  }

  private void readLoop(MessageHandler handler) {
    try {
      Message message = codec.read(in);
      while (message != null && !closed.get()) {
        handler.handle(this, message);
        message = codec.read(in);
      }
    } catch (IOException e) {
      LOG.debug("Reading from {} ended: {}", peer.daemon(), e.getMessage());
    } catch (RuntimeException e) {
      LOG.error("A message from {} could not be handled; its link is closed.", peer.daemon(), e);
    }
  }
}
