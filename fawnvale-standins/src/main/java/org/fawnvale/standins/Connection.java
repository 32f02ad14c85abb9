package org.fawnvale.standins;

import java.net.Socket;

/**
 * A TCP connection between two processes of this machine. The caller's port alone doesn't tell
 * whose connection it is: another process may use the same one for another worker.
 *
 * @param callerPort the port at the caller's end
 * @param workerPort the port that the worker listens at
 */
record Connection(int callerPort, int workerPort) {

  /** Returns the connection of a socket that a server has accepted. */
  static Connection of(Socket accepted) {
    return new Connection(accepted.getPort(), accepted.getLocalPort());
  }
}
