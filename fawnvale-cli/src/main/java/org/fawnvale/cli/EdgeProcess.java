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
   * @param lines the log, closed when the daemon has stopped or could not start
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
   * @throws IllegalStateException when an address is in use
   */
  ExitCode serve(Settings settings, EarlyListener callers) throws IOException {
    CountDownLatch stopRequested = new CountDownLatch(1);
    CountDownLatch startFailed = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> requestStopAndBlock(stopRequested, startFailed), "stop"));
    HangUp.handle(this::reload);
    FatalErrors.install(lines::close);
    ServingDaemon daemon = start(settings, callers, startFailed);
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

  private ServingDaemon start(Settings settings, EarlyListener callers, CountDownLatch startFailed)
      throws IOException {
    try {
      return ServingDaemon.start(settings, new UsersPlatform(), callers);
    } catch (IOException | IllegalStateException e) {
      lines.close();
      startFailed.countDown();
      throw e;
    }
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
   * the process. A daemon that could not start is not stopped: its process exits at once.
   */
  private static void requestStopAndBlock(
      CountDownLatch stopRequested, CountDownLatch startFailed) {
    stopRequested.countDown();
    try {
      startFailed.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
