package org.fawnvale.cli;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** A process that stops as an entry daemon does: it logs on after SIGTERM and then halts. */
final class StoppingProcess {

  static final String STARTED = "outcome=started";
  static final int LINES_AFTER_SIGNAL = 20;
  private static final int PAUSE_MILLIS = 20;

  /** How often the log is closed: each time it waits for half a second at most. */
  private static final int CLOSES = 40;

  private StoppingProcess() {}

  public static void main(String[] arguments) throws InterruptedException {
    LogLines lines = LogLines.install();
    Logger log = LogManager.getLogger("daemon");
    CountDownLatch stopRequested = new CountDownLatch(1);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stopAndBlock(stopRequested)));
    log.info(STARTED);
    stopRequested.await();
    for (int number = 1; number <= LINES_AFTER_SIGNAL; number++) {
      log.info("after={}", number);
      TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
    }
    for (int count = 0; count < CLOSES; count++) {
      lines.close();
    }
    Runtime.getRuntime().halt(0);
  }

  private static void stopAndBlock(CountDownLatch stopRequested) {
    stopRequested.countDown();
    try {
      new CountDownLatch(1).await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
