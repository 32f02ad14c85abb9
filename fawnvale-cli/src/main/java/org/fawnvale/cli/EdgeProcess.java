package org.fawnvale.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.adapter.UsersPlatform;
import org.fawnvale.serving.core.model.Settings;
import org.fawnvale.serving.daemon.EarlyListener;
import org.fawnvale.serving.daemon.ServingDaemon;
import org.fawnvale.serving.daemon.SettingsReader;

/** Runs an entry daemon as a process until its orderly shutdown. */
final class EdgeProcess {

  private static final Logger LOG = LogManager.getLogger("daemon");

  private final Path file;
  private final LogLines lines;

  /**
   * Creates a process without starting the daemon.
   *
   * @param file the settings file, which SIGHUP rereads
   * @param lines the log, closed when the daemon has stopped
   */
  EdgeProcess(Path file, LogLines lines) {
    this.file = file;
    this.lines = lines;
  }

  /**
   * Serves until SIGTERM, then halts the process with status 0.
   *
   * @param settings the settings read from the file
   * @param callers the port for callers, already open
   * @return {@link ExitCode#DONE}, although the process is halted before this method returns
   * @throws IOException when an address cannot be bound
   */
  ExitCode serve(Settings settings, EarlyListener callers) throws IOException {
    CountDownLatch stopRequested = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> requestStopAndBlock(stopRequested), "stop"));
    HangUp.handle(this::reload);
    ServingDaemon daemon = ServingDaemon.start(settings, new UsersPlatform(), callers);
    try {
      stopRequested.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    daemon.stop();
    lines.close();
    Runtime.getRuntime().halt(0);
    return ExitCode.DONE;
  }

  private void reload() {
    try {
      Settings settings = SettingsReader.read(file);
      LOG.info("name={} outcome=settings_read_again", settings.name());
    } catch (SettingsReader.BadSettingsException e) {
      LOG.error("outcome=settings_kept cause={}", e.getMessage());
    }
  }

  /**
   * Requests the stop and blocks the shutdown hook. The main thread then stops the daemon and halts
   * the process.
   */
  private static void requestStopAndBlock(CountDownLatch stopRequested) {
    stopRequested.countDown();
    try {
      new CountDownLatch(1).await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
