import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Passes connections on to a port. Those that are open can go silent for good. */
final class Relay implements AutoCloseable {

  private final ServerSocket server;
  private final int target;
  private final List<Pair> pairs = new ArrayList<>();

  private static final class Pair {
    private volatile boolean silent;
  }

  Relay(int target) throws IOException {
    this.target = target;
    this.server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    Worker.daemonThread("relay", this::accept);
  }

  int port() {
    return server.getLocalPort();
  }

  /** Lets all open connections go silent, without a reset; new ones work. */
  synchronized void silenceOpen() {
    pairs.forEach(pair -> pair.silent = true);
    pairs.clear();
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket from = server.accept();
        Socket to = new Socket("127.0.0.1", target);
        from.setTcpNoDelay(true);
        to.setTcpNoDelay(true);
        Pair pair = new Pair();
        synchronized (this) {
          pairs.add(pair);
        }
        Worker.daemonThread("up", () -> copy(from, to, pair));
        Worker.daemonThread("down", () -> copy(to, from, pair));
      } catch (IOException e) {
        if (server.isClosed()) {
          return;
        }
      }
    }
  }

  private static void copy(Socket from, Socket to, Pair pair) {
    byte[] buffer = new byte[64 << 10];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        if (!pair.silent) {
          out.write(buffer, 0, count);
        }
      }
      if (!pair.silent) {
        to.close();
      }
    } catch (IOException e) {
      if (!pair.silent) {
        closeQuietly(from);
        closeQuietly(to);
      }
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed then.
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
