package org.fawnvale.cli;

import java.util.concurrent.atomic.AtomicReference;
import java.util.function.IntConsumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Ends the process when one of its threads ends by an error. A daemon without its dispatch thread
 * would run on and answer nothing, and nobody would start it again.
 */
final class FatalErrors implements Thread.UncaughtExceptionHandler {

  private static final Logger LOG = LogManager.getLogger("daemon");

  /**
   * Memory that is given back when a thread ends, in bytes. Without it a process whose heap is full
   * can neither write the line nor load what halts it, and runs on without its threads.
   */
  private static final int RESERVE_BYTES = 1 << 20;

  private final Runnable closeLog;
  private final IntConsumer halt;

  private final int status = ExitCode.FAILED.code();
  private final AtomicReference<byte[]> reserve = new AtomicReference<>(new byte[RESERVE_BYTES]);

  /**
   * Creates a handler.
   *
   * @param closeLog writes the lines of the log that wait
   * @param halt ends the process with a status, without its shutdown hooks: these wait for threads
   *     that may be gone
   */
  FatalErrors(Runnable closeLog, IntConsumer halt) {
    this.closeLog = closeLog;
    this.halt = halt;
  }

  /**
   * Installs a handler for all threads of the process.
   *
   * @param closeLog writes the lines of the log that wait
   */
  static void install(Runnable closeLog) {
    Thread.setDefaultUncaughtExceptionHandler(
        new FatalErrors(closeLog, status -> Runtime.getRuntime().halt(status)));
  }

  /** Also halts when memory is too short for the line. */
  @Override
  public void uncaughtException(Thread thread, Throwable error) {
    reserve.set(null);
    try {
      LOG.error("thread={} outcome=process_ends cause={}", thread.getName(), error, error);
      closeLog.run();
    } finally {
      halt();
    }
  }

  /** Halts, again and again if other threads take the memory that this needs. */
  private void halt() {
    boolean halted = false;
    while (!halted) {
      try {
        halt.accept(status);
        halted = true;
      } catch (OutOfMemoryError e) {
        Thread.onSpinWait();
      }
    }
  }
}
