package org.fawnvale.daemon.http;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** The connections whose answers have not left yet, so that a stop cuts none of them short. */
final class PendingResponses {

  private final Set<Object> connections = new HashSet<>();

  /** Notes that a request has come on a connection. */
  synchronized void begin(Object connection) {
    connections.add(connection);
  }

  /** Notes that the answer has left, or that the connection is closed. */
  synchronized void end(Object connection) {
    connections.remove(connection);
    notifyAll();
  }

  /**
   * Waits until the answers that are under way now have left; later ones are not waited for.
   *
   * @param timeoutMillis how long to wait, in milliseconds
   */
  synchronized void awaitPending(long timeoutMillis) {
    Set<Object> remaining = new HashSet<>(connections);
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    try {
      while (!remaining.isEmpty()) {
        long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
        if (left <= 0) {
          return;
        }
        wait(left);
        remaining.retainAll(connections);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
