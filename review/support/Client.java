import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;

/** One connection of a client, which carries one request at a time. */
final class Client implements AutoCloseable {

  private final String host;
  private final int port;
  private Socket socket;
  private BufferedInputStream in;

  Client(String host, int port) {
    this.host = host;
    this.port = port;
  }

  /** Sends a request and returns the answer; throws when there is none within the timeout. */
  Http.Message send(String request, byte[] body, int timeoutMillis) throws IOException {
    try {
      if (socket == null) {
        socket = new Socket();
        socket.setTcpNoDelay(true);
        socket.connect(new InetSocketAddress(host, port), 1_000);
        in = new BufferedInputStream(socket.getInputStream());
      }
      socket.setSoTimeout(timeoutMillis);
      byte[] head = Http.bytes(request);
      byte[] all = java.util.Arrays.copyOf(head, head.length + body.length);
      System.arraycopy(body, 0, all, head.length, body.length);
      socket.getOutputStream().write(all);
      Http.Message answer = Http.read(in, false);
      if (answer == null) {
        throw new IOException("closed without an answer");
      }
      if (!answer.whole() || "close".equalsIgnoreCase(answer.header("connection"))) {
        close();
      }
      return answer;
    } catch (IOException e) {
      close();
      throw e instanceof SocketTimeoutException ? new IOException("no answer in time") : e;
    }
  }

  @Override
  public void close() {
    if (socket != null) {
      try {
        socket.close();
      } catch (IOException e) {
        // It is closed then.
      }
      socket = null;
    }
  }
}
