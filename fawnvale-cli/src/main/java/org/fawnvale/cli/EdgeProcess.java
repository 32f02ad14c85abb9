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

/** The process of an entry daemon, from its settings to its planned stop. */
final class EdgeProcess {

  private static final Logger LOG = LogManager.getLogger("daemon");

  private final Path file;
  private final LogLines lines;

  /**
   * Creates a process that has not begun.
   *
   * @param file the settings file
   * @param lines the log, closed at the end
   */
  EdgeProcess(Path file, LogLines lines) {
    this.file = file;
    this.lines = lines;
  }

  /**
   * Serves until SIGTERM.
   *
   * @param settings what the file says
   * @param callers listens for callers already
   * @return the exit code
   * @throws IOException when an address can't be bound
   */
  ExitCode serve(Settings settings, EarlyListener callers) throws IOException {
    CountDownLatch told = new CountDownLatch(1);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> tellAndWait(told), "stop"));
    HangUp.handle(this::reload);
    ServingDaemon daemon = ServingDaemon.start(settings, new UsersPlatform(), callers);
    try {
      told.await();
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

  /** Waits for ever: the main thread halts the process once everything has stopped. */
  private static void tellAndWait(CountDownLatch told) {
    told.countDown();
    try {
      new CountDownLatch(1).await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
