package org.fawnvale.serving.gateway;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A caller that sends bytes as they are. */
final class RawCaller {

  private static final int READ_MILLIS = 10_000;

  private RawCaller() {}

  /**
   * Sends requests on one connection and reads until the daemon closes it.
   *
   * @param requests the bytes to send, one character each
   * @return what has come, one character for each byte; nothing if the connection was reset
   */
  static String send(int port, String requests) throws IOException {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.setSoTimeout(READ_MILLIS);
      socket.getOutputStream().write(requests.getBytes(StandardCharsets.ISO_8859_1));
      return read(socket);
    }
  }

  private static String read(Socket socket) {
    StringBuilder read = new StringBuilder();
    try {
      for (int next = socket.getInputStream().read();
          next >= 0;
          next = socket.getInputStream().read()) {
        read.append((char) next);
      }
    } catch (IOException e) {
      read.append(" -> ").append(e.getMessage());
    }
    return read.toString();
  }
}
