package org.fawnvale.standins;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/**
 * Connections that fill the queue of a listener that accepts none, so that the operating system
 * drops further ones as if the machine had no power.
 */
final class QueueFillers implements AutoCloseable {

  private static final System.Logger LOG = System.getLogger("stand-in");
  private static final int CONNECT_MILLIS = 50;

  /** More than the queue of a listener holds. */
  private static final int MAX_FILLERS = 200;

  private final List<Socket> sockets = new ArrayList<>();

  /** Opens connections until one is not answered. */
  void fill(InetSocketAddress listener) throws IOException {
    boolean full = false;
    while (!full && sockets.size() < MAX_FILLERS) {
      Socket socket = new Socket();
      sockets.add(socket);
      try {
        socket.connect(listener, CONNECT_MILLIS);
      } catch (SocketTimeoutException e) {
        full = true;
      }
    }
  }

  @Override
  public void close() {
    for (Socket socket : sockets) {
      try {
        socket.close();
      } catch (IOException e) {
        LOG.log(System.Logger.Level.DEBUG, "A connection could not be closed", e);
      }
    }
  }
}
