package org.fawnvale.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.fawnvale.serving.core.model.Settings;
import org.fawnvale.serving.daemon.EarlyListener;
import org.fawnvale.serving.daemon.SettingsReader;
import org.jspecify.annotations.Nullable;

/** Runs an entry daemon on the users' platform until it receives SIGTERM. */
final class EdgeCommand {

  /** The name of the subcommand. */
  static final String NAME = "edge";

  private static final String SETTINGS_VARIABLE = "FAWNVALE_SETTINGS";

  private EdgeCommand() {}

  static void addTo(Subparsers subparsers, Map<String, Command> commands) {
    Subparser edge =
        subparsers
            .addParser(NAME)
            .help("run an entry daemon on the users' platform")
            .description(
                "Runs an entry daemon. SIGTERM stops it: readiness turns false, requests in "
                    + "progress finish, and it exits with 0. SIGHUP rereads the settings.")
            .epilog("Example: FAWNVALE_SETTINGS=edge-1.json fawnvale edge");
    edge.addArgument("--settings")
        .metavar("FILE")
        .help(
            "the settings file; if absent, the variable " + SETTINGS_VARIABLE + " gives its path");
    edge.setDefault("command", NAME);
    commands.put(NAME, EdgeCommand::run);
  }

  private static ExitCode run(Namespace options, Console console) {
    return run(options.getString("settings"), console);
  }

  /**
   * Runs the daemon. The port for callers is opened before logging, metrics and all other parts are
   * initialized.
   *
   * @param named the settings file; null to use the environment variable
   * @param console receives error messages
   * @return the exit code
   */
  static ExitCode run(@Nullable String named, Console console) {
    String file = named == null ? System.getenv(SETTINGS_VARIABLE) : named;
    if (file == null) {
      console.err().println("fawnvale: no settings. Give --settings or " + SETTINGS_VARIABLE + ".");
      return ExitCode.BAD_USAGE;
    }
    System.setProperty(LogLines.PROVIDER_KEY, LogLines.PROVIDER);
    // The first connection formats a number, which loads 70 more classes in other locales.
    Locale.setDefault(Locale.US);
    try {
      Path path = Path.of(file);
      Settings settings = SettingsReader.read(path);
      EarlyListener callers = EarlyListener.open(settings.frontend(), settings.callerBuffers());
      // Must precede EdgeProcess, whose static initializer creates the first logger.
      LogLines lines = LogLines.install();
      return new EdgeProcess(path, lines).serve(settings, callers);
    } catch (SettingsReader.BadSettingsException e) {
      console.err().println("fawnvale: " + e.getMessage());
      return ExitCode.BAD_USAGE;
    } catch (IOException | IllegalStateException e) {
      console.err().println("fawnvale: " + e.getMessage());
      return ExitCode.REFUSED;
    }
  }
}
