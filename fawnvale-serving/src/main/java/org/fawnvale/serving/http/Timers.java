package org.fawnvale.serving.http;

import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Runs delayed and periodic tasks on one thread. Each task runs with the daemon's lock held, under
 * which all state of the daemon is read and written; the callbacks of connections hold it too. An
 * error in a task goes to the thread's handler of uncaught exceptions.
 */
public final class Timers {

  private static final Logger LOG = LogManager.getLogger("timers");

  private final ScheduledThreadPoolExecutor executor;
  private final Object lock;

  /**
   * Creates timers.
   *
   * @param lock the daemon's lock; held while a task runs
   */
  public Timers(Object lock) {
    this.lock = lock;
    this.executor = new ScheduledThreadPoolExecutor(1, task -> new Thread(task, "timers"));
    executor.setRemoveOnCancelPolicy(true);
    executor.setRejectedExecutionHandler(new ThreadPoolExecutor.DiscardPolicy());
  }

  /**
   * Returns the daemon's lock.
   *
   * @return the object to synchronize on
   */
  public Object lock() {
    return lock;
  }

  /**
   * Runs a task once.
   *
   * @param delayMillis the delay in milliseconds; a negative one counts as 0
   * @return a handle that can cancel the task
   */
  public ScheduledFuture<?> after(long delayMillis, Runnable task) {
    return executor.schedule(() -> run(task), Math.max(0, delayMillis), TimeUnit.MILLISECONDS);
  }

  /**
   * Runs a task periodically.
   *
   * @param periodMillis the delay before the first run and between two runs, in milliseconds
   */
  public void every(long periodMillis, Runnable task) {
    executor.scheduleWithFixedDelay(
        () -> run(task), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
  }

  /**
   * Stops the thread, discards all waiting tasks, and silently ignores tasks that are scheduled
   * later: connections that close while the daemon stops may still schedule some.
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
    } catch (Error e) {
      // The executor would keep the error to itself, and end a periodic task without a word.
      Thread thread = Thread.currentThread();
      thread.getUncaughtExceptionHandler().uncaughtException(thread, e);
      throw e;
    }
  }
}
