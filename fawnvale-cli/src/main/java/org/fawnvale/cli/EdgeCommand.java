package org.fawnvale.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.adapter.UsersPlatform;
import org.fawnvale.serving.core.model.Settings;
import org.fawnvale.serving.daemon.ServingDaemon;
import org.fawnvale.serving.daemon.SettingsReader;

/** Runs an entry daemon on the users' platform until it is told to stop. */
final class EdgeCommand {

  private static final Logger LOG = LogManager.getLogger("daemon");
  private static final String SETTINGS_VARIABLE = "FAWNVALE_SETTINGS";

  private EdgeCommand() {}

  static void addTo(Subparsers subparsers, Map<String, Command> commands) {
    Subparser edge =
        subparsers
            .addParser("edge")
            .help("run an entry daemon on the users' platform")
            .description(
                "Runs an entry daemon. SIGTERM stops it: readiness turns false, requests under "
                    + "way end, and it exits with 0. SIGHUP reads the settings again.")
            .epilog("Example: FAWNVALE_SETTINGS=edge-1.json fawnvale edge");
    edge.addArgument("--settings")
        .metavar("FILE")
        .help("the settings file; without it the variable " + SETTINGS_VARIABLE + " names it");
    edge.setDefault("command", "edge");
    commands.put("edge", EdgeCommand::run);
  }

  private static ExitCode run(Namespace options, Console console) {
    String named = options.getString("settings");
    String file = named == null ? System.getenv(SETTINGS_VARIABLE) : named;
    if (file == null) {
      console.err().println("fawnvale: no settings. Give --settings or " + SETTINGS_VARIABLE + ".");
      return ExitCode.BAD_USAGE;
    }
    Logs.configureLines();
    try {
      Settings settings = SettingsReader.read(Path.of(file));
      return serve(settings, Path.of(file));
    } catch (SettingsReader.BadSettingsException e) {
      console.err().println("fawnvale: " + e.getMessage());
      return ExitCode.BAD_USAGE;
    } catch (IOException | IllegalStateException e) {
      console.err().println("fawnvale: " + e.getMessage());
      return ExitCode.REFUSED;
    }
  }

  private static ExitCode serve(Settings settings, Path file) throws IOException {
    CountDownLatch told = new CountDownLatch(1);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> tellAndWait(told), "stop"));
    HangUp.handle(() -> reload(file));
    ServingDaemon daemon = ServingDaemon.start(settings, new UsersPlatform());
    try {
      told.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    daemon.stop();
    LogManager.shutdown();
    Runtime.getRuntime().halt(0);
    return ExitCode.DONE;
  }

  private static void reload(Path file) {
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
