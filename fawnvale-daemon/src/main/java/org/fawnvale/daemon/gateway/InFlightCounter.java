package org.fawnvale.daemon.gateway;

import java.util.concurrent.TimeUnit;

/** Counts the requests in flight so that a planned stop can wait until all of them have ended. */
public final class InFlightCounter {

  private int count;
  private boolean closed;

  /**
   * Counts a new request, unless the counter is closed.
   *
   * @return false when the counter is closed and the request must be refused
   */
  public synchronized boolean tryEnter() {
    if (closed) {
      return false;
    }
    count++;
    return true;
  }

  /** Decrements the count after a request has ended. */
  public synchronized void exit() {
    count--;
    notifyAll();
  }

  /**
   * Closes the counter to new requests and waits until those in flight have ended.
   *
   * @param timeoutMillis how long to wait, milliseconds
   * @return true when all requests have ended; false after the timeout or an interrupt
   */
  public synchronized boolean closeAndAwait(long timeoutMillis) {
    closed = true;
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    try {
      while (count > 0) {
        long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
        if (left <= 0) {
          return false;
        }
        wait(left);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
    return true;
  }

  /** Returns the number of requests in flight. */
  public synchronized int count() {
    return count;
  }
}
