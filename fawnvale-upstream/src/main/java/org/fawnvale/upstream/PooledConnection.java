package org.fawnvale.upstream;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;
import org.fawnvale.http.ClientConnection;

/** A connection to an upstream that returns to its pool only after a complete response. */
final class PooledConnection {

  private static final long CHECK_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Heads far above those of sound answers, which have some ten lines of some hundred bytes. */
  private static final Http1Config BOUNDED_HEADS =
      Http1Config.custom()
          .setMaxLineLength(16 << 10)
          .setMaxHeaderCount(256)
          .setMaxEmptyLineCount(8)
          .build();

  private final String address;
  private final ConnectionPool pool;
  private final ClientConnection connection;
  private long idleSinceNanos;
  private boolean usedOnce;
  private boolean reusable;
  private boolean released;

  private PooledConnection(String address, ConnectionPool pool, ClientConnection connection) {
    this.address = address;
    this.pool = pool;
    this.connection = connection;
  }

  static PooledConnection connect(String address, ConnectionPool pool, int timeoutMillis)
      throws IOException {
    Socket socket = new Socket();
    try {
      socket.setTcpNoDelay(true);
      socket.connect(parse(address), timeoutMillis);
      ClientConnection connection = new ClientConnection(BOUNDED_HEADS);
      connection.bind(socket);
      return new PooledConnection(address, pool, connection);
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  private static InetSocketAddress parse(String address) throws IOException {
    int colon = address.lastIndexOf(':');
    try {
      String host = address.substring(0, colon);
      int port = Integer.parseInt(address.substring(colon + 1));
      return new InetSocketAddress(host, port);
    } catch (IllegalArgumentException | IndexOutOfBoundsException e) {
      throw new IOException("The address " + address + " is not of the form IP:port.", e);
    }
  }

  PooledConnection forNextExchange() {
    return new PooledConnection(address, pool, connection);
  }

  ClientConnection http() {
    return connection;
  }

  String address() {
    return address;
  }

  /** Checks whether the peer has closed; skips this costly check after a short idle time. */
  boolean isAlive() {
    if (!connection.isOpen()) {
      return false;
    }
    if (System.nanoTime() - idleSinceNanos < CHECK_AFTER_NANOS) {
      return true;
    }
    try {
      return !connection.isStale();
    } catch (IOException e) {
      return false;
    }
  }

  void setReadTimeout(int millis) {
    connection.setSocketTimeout(Timeout.ofMilliseconds(millis));
  }

  /**
   * Keeps the connection from being used again. Its answers don't name their requests: one that is
   * sent twice would be taken for the answer to the next request.
   */
  void useOnce() {
    usedOnce = true;
  }

  void markReusable() {
    reusable = !usedOnce;
  }

  void discard() {
    reusable = false;
    connection.close(CloseMode.IMMEDIATE);
  }

  void release() {
    if (released) {
      return;
    }
    released = true;
    idleSinceNanos = System.nanoTime();
    if (!reusable || !pool.offer(this)) {
      connection.close(CloseMode.IMMEDIATE);
    }
  }
}
