package org.fawnvale.daemon.http;

import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Tracks the connections with unfinished responses, so that a stop can wait until they are sent.
 */
final class PendingResponses {

  private final Set<Object> connections = new HashSet<>();

  /** Records that a request was received on a connection. */
  synchronized void begin(Object connection) {
    connections.add(connection);
  }

  /** Records that the response was sent completely or that the connection was closed. */
  synchronized void end(Object connection) {
    connections.remove(connection);
    notifyAll();
  }

  /**
   * Waits until the responses that are pending at the time of the call have been sent.
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
