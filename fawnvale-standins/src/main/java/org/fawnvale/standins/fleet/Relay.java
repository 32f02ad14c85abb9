package org.fawnvale.standins.fleet;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Forwards TCP connections to a loopback port and can simulate a network partition. */
final class Relay implements AutoCloseable {

  private static final int BUFFER_BYTES = 8192;

  private final ServerSocket server;
  private final int target;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile boolean cut;

  private Relay(ServerSocket server, int target) {
    this.server = server;
    this.target = target;
  }

  static Relay start(int target) throws IOException {
    Relay relay = new Relay(new ServerSocket(0, 256, InetAddress.getLoopbackAddress()), target);
    run(relay::acceptLoop);
    return relay;
  }

  int port() {
    return server.getLocalPort();
  }

  /**
   * Closes all connections. Until {@link #heal}, new connections are accepted but no bytes are
   * forwarded.
   */
  void cut() {
    cut = true;
    closeAll();
  }

  void heal() {
    cut = false;
    closeAll();
  }

  private void closeAll() {
    open.forEach(Relay::closeQuietly);
    open.clear();
  }

  private void acceptLoop() {
    while (!server.isClosed()) {
      try {
        forward(server.accept());
      } catch (IOException e) {
        closeAll();
      }
    }
  }

  private void forward(Socket client) throws IOException {
    open.add(client);
    if (cut) {
      return;
    }
    Socket upstream = new Socket(InetAddress.getLoopbackAddress(), target);
    open.add(upstream);
    run(() -> copy(client, upstream));
    run(() -> copy(upstream, client));
  }

  private void copy(Socket from, Socket to) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try (from;
        to) {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int length = in.read(buffer); length >= 0; length = in.read(buffer)) {
        out.write(buffer, 0, length);
      }
    } catch (IOException e) {
      // Both sockets are closed by now; the other direction ends too.
    }
    open.remove(from);
    open.remove(to);
  }

  private static void run(Runnable task) {
    Thread thread = new Thread(task, "relay");
    thread.setDaemon(true);
    thread.start();
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // Nothing to do: the socket is no longer used.
    }
  }

  @Override
  public void close() {
    closeQuietly(server);
    cut();
  }

  private static void closeQuietly(ServerSocket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // Nothing to do: the socket is no longer used.
    }
  }
}
