package org.fawnvale.daemon.gateway;

import java.util.concurrent.TimeUnit;

/** Counts requests under way, so that a planned stop waits for all of them. */
public final class InFlightCounter {

  private int count;
  private boolean closed;

  /**
   * Notes a request that begins.
   *
   * @return false when no new request may begin
   */
  public synchronized boolean tryEnter() {
    if (closed) {
      return false;
    }
    count++;
    return true;
  }

  /** Notes a request that has ended. */
  public synchronized void exit() {
    count--;
    notifyAll();
  }

  /**
   * Lets no new request begin and waits for those under way.
   *
   * @param timeoutMillis how long to wait, milliseconds
   * @return true when none is left
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

  /**
   * Requests under way.
   *
   * @return how many
   */
  public synchronized int count() {
    return count;
  }
}
