package org.fawnvale.dist;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Ports of this test process alone, below the ephemeral range, where an outgoing connection cannot
 * take them. A port that is only looked for and free may be taken by another test process before a
 * daemon binds it.
 */
final class PortRange {

  /** The first ports stand for the ranges: who listens at one has its range. */
  private static final int FIRST_PORT = 21_000;

  private static final int RANGES = 5;
  private static final int PORTS_A_RANGE = 2_200;

  /** Held while the process lives. */
  private final ServerSocket claim;

  private final int first;
  private int used;

  private PortRange(ServerSocket claim) {
    this.claim = claim;
    this.first = FIRST_PORT + RANGES + (claim.getLocalPort() - FIRST_PORT) * PORTS_A_RANGE;
  }

  /** Returns a range that no other process on this machine has. */
  static PortRange claim() {
    try {
      return new PortRange(listenAtOneOf(FIRST_PORT, RANGES));
    } catch (IOException e) {
      throw new UncheckedIOException("no range of ports is free; end other test runs", e);
    }
  }

  private static ServerSocket listenAtOneOf(int first, int count) throws IOException {
    BindException last = new BindException("no port was tried");
    for (int port = first; port < first + count; port++) {
      try {
        return new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
      } catch (BindException e) {
        last = e;
      }
    }
    throw last;
  }

  /**
   * Returns the first of some free ports in a row. The range begins again at its end.
   *
   * @param address the local address at which the ports are free
   * @param count how many ports from the first on the caller may use
   */
  synchronized int next(String address, int count) throws IOException {
    if (claim.isClosed()) {
      throw new IOException("the range of ports is no longer claimed");
    }
    for (int tried = 0; tried < PORTS_A_RANGE; tried += count) {
      int port = first + used;
      used = used + 2 * count > PORTS_A_RANGE ? 0 : used + count;
      if (areFree(port, count, address)) {
        return port;
      }
    }
    throw new BindException("no port of the range is free; end what other runs have left");
  }

  private static boolean areFree(int first, int count, String address) throws IOException {
    for (int port = first; port < first + count; port++) {
      try {
        new ServerSocket(port, 1, InetAddress.getByName(address)).close();
      } catch (BindException e) {
        return false;
      }
    }
    return true;
  }
}
