package org.fawnvale.standins;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/**
 * A port that answers new connections with nothing at all, as that of a machine without power. The
 * queue of connections to accept is kept full, so that the operating system drops further ones.
 */
final class DarkListener implements AutoCloseable {

  private static final System.Logger LOG = System.getLogger("stand-in");
  private static final int CONNECT_MILLIS = 50;
  private static final int MAX_FILLERS = 16;

  private final ServerSocket listener;
  private final List<Socket> fillers = new ArrayList<>();

  private DarkListener(ServerSocket listener) {
    this.listener = listener;
  }

  /** Takes over a port whose former listener is closed; its connections may still be open. */
  static DarkListener start(InetAddress address, int port) throws IOException {
    ServerSocket socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new InetSocketAddress(address, port), 1);
    DarkListener dark = new DarkListener(socket);
    dark.fillQueue();
    return dark;
  }

  private void fillQueue() throws IOException {
    boolean full = false;
    while (!full && fillers.size() < MAX_FILLERS) {
      Socket filler = new Socket();
      fillers.add(filler);
      try {
        filler.connect(listener.getLocalSocketAddress(), CONNECT_MILLIS);
      } catch (SocketTimeoutException e) {
        full = true;
      }
    }
  }

  @Override
  public void close() {
    fillers.forEach(DarkListener::closeQuietly);
    closeQuietly(listener);
  }

  private static void closeQuietly(Closeable socket) {
    try {
      socket.close();
    } catch (IOException e) {
      LOG.log(System.Logger.Level.DEBUG, "A socket could not be closed", e);
    }
  }
}
