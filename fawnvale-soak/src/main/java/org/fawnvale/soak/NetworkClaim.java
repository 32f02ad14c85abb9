package org.fawnvale.soak;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Keeps two soaks from using the same loopback addresses: the daemons of one would answer the
 * callers of the other.
 */
final class NetworkClaim {

  /** An address that no daemon has; see {@code EdgeDaemon.Place}. */
  private static final int CLAIM_ADDRESS = 254;

  private static final int CLAIM_PORT = 20_999;

  private NetworkClaim() {}

  /** What runs on the addresses of a network. */
  @FunctionalInterface
  interface Task {

    /**
     * Runs.
     *
     * @return whether no check failed
     */
    boolean run() throws IOException, InterruptedException;
  }

  /**
   * Runs a task while no other soak can use the addresses of a network.
   *
   * @param network the third byte of the addresses
   * @return what the task returns
   * @throws IOException if another soak uses them, or the task fails
   * @throws InterruptedException if the task is interrupted
   */
  static boolean during(int network, Task task) throws IOException, InterruptedException {
    byte[] address = {127, 0, (byte) network, (byte) CLAIM_ADDRESS};
    try (ServerSocket claim = new ServerSocket()) {
      claim.bind(new InetSocketAddress(InetAddress.getByAddress(address), CLAIM_PORT));
      return task.run();
    } catch (BindException e) {
      throw new IOException(
          "Another soak uses network " + network + "; give this one another with --network.", e);
    }
  }
}
