package org.fawnvale.dist;

import java.io.IOException;
import java.net.ServerSocket;

/** Finds ports of this machine that nobody listens at. */
final class FreePorts {

  private FreePorts() {}

  static int one() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  /** Returns the first of some free ports in a row. */
  static int inARow(int count) throws IOException {
    int first = one();
    while (!areFree(first, count)) {
      first = one();
    }
    return first;
  }

  private static boolean areFree(int first, int count) {
    for (int port = first; port < first + count; port++) {
      try {
        new ServerSocket(port).close();
      } catch (IOException | IllegalArgumentException e) {
        return false;
      }
    }
    return true;
  }
}
