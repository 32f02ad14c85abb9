package org.fawnvale.serving.http;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Delayed and repeated tasks. Each runs while holding the lock that all state of the daemon is read
 * and written under, as do the callbacks of connections.
 */
public final class Timers {

  private static final Logger LOG = LogManager.getLogger("timers");

  private final ScheduledThreadPoolExecutor executor;
  private final Object lock;

  /**
   * Creates timers.
   *
   * @param lock held by every task
   */
  public Timers(Object lock) {
    this.lock = lock;
    this.executor = new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "timers"));
    executor.setRemoveOnCancelPolicy(true);
    executor.setRejectedExecutionHandler(new ThreadPoolExecutor.DiscardPolicy());
  }

  /**
   * The lock.
   *
   * @return the object to synchronize on
   */
  public Object lock() {
    return lock;
  }

  /**
   * Runs a task once.
   *
   * @param delayMillis the delay, in milliseconds
   * @param task the task
   * @return its handle
   */
  public ScheduledFuture<?> after(long delayMillis, Runnable task) {
    return executor.schedule(() -> run(task), Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
  }

  /**
   * Runs a task again and again.
   *
   * @param periodMillis the pause between two runs, in milliseconds
   * @param task the task
   */
  public void every(long periodMillis, Runnable task) {
    executor.scheduleWithFixedDelay(
        () -> run(task), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
  }

  /**
   * Drops all tasks, and those that come later: connections that end with the daemon ask for more,
   * which was logged as the failure of their handlers.
   */
  public void stop() {
    executor.shutdownNow();
  }

  private void run(Runnable task) {
    try {
      synchronized (lock) {
        task.run();
      }
    } catch (RuntimeException e) {
      LOG.error("A timed task failed.", e);
    }
  }
}
