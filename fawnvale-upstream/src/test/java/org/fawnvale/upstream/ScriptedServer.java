package org.fawnvale.upstream;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A server that answers each request with the configured bytes. */
final class ScriptedServer implements AutoCloseable {

  private final ServerSocket socket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private byte[] answer = {};
  private boolean twice;
  private boolean closes;

  ScriptedServer() throws IOException {
    Thread thread = new Thread(this::acceptLoop, "scripted");
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  synchronized void script(byte[] nextAnswer, boolean sentTwice, boolean closesAfter) {
    answer = nextAnswer.clone();
    twice = sentTwice;
    closes = closesAfter;
  }

  private void acceptLoop() {
    while (!socket.isClosed()) {
      try {
        Socket connection = socket.accept();
        Thread thread = new Thread(() -> serve(connection), "scripted");
        thread.setDaemon(true);
        thread.start();
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      InputStream in = connection.getInputStream();
      OutputStream out = connection.getOutputStream();
      while (readRequest(in)) {
        if (!writeAnswer(out)) {
          return;
        }
      }
    } catch (IOException e) {
      // The client may close the connection after an invalid response.
    }
  }

  private synchronized boolean writeAnswer(OutputStream out) throws IOException {
    out.write(answer);
    if (twice) {
      out.write(answer);
    }
    out.flush();
    return !closes;
  }

  /** Reads to the end of a request whose body is the two bytes of an empty object. */
  private static boolean readRequest(InputStream in) throws IOException {
    int previous = 0;
    int next = in.read();
    while (next >= 0 && !(previous == '{' && next == '}')) {
      previous = next;
      next = in.read();
    }
    return next >= 0;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
