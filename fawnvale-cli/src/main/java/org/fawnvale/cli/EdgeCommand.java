package org.fawnvale.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Map;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.fawnvale.serving.core.model.Settings;
import org.fawnvale.serving.daemon.EarlyListener;
import org.fawnvale.serving.daemon.SettingsReader;
import org.jspecify.annotations.Nullable;

/** Runs an entry daemon on the users' platform until it is told to stop. */
final class EdgeCommand {

  /** The word that names the command. */
  static final String NAME = "edge";

  private static final String SETTINGS_VARIABLE = "FAWNVALE_SETTINGS";

  private EdgeCommand() {}

  static void addTo(Subparsers subparsers, Map<String, Command> commands) {
    Subparser edge =
        subparsers
            .addParser(NAME)
            .help("run an entry daemon on the users' platform")
            .description(
                "Runs an entry daemon. SIGTERM stops it: readiness turns false, requests under "
                    + "way end, and it exits with 0. SIGHUP reads the settings again.")
            .epilog("Example: FAWNVALE_SETTINGS=edge-1.json fawnvale edge");
    edge.addArgument("--settings")
        .metavar("FILE")
        .help("the settings file; without it the variable " + SETTINGS_VARIABLE + " names it");
    edge.setDefault("command", NAME);
    commands.put(NAME, EdgeCommand::run);
  }

  private static ExitCode run(Namespace options, Console console) {
    return run(options.getString("settings"), console);
  }

  /**
   * Runs the daemon. It listens for callers first; log, metrics and everything else come after.
   *
   * @param named the settings file; null when the variable names it
   * @param console told of bad usage
   * @return the exit code
   */
  static ExitCode run(@Nullable String named, Console console) {
    String file = named == null ? System.getenv(SETTINGS_VARIABLE) : named;
    if (file == null) {
      console.err().println("fawnvale: no settings. Give --settings or " + SETTINGS_VARIABLE + ".");
      return ExitCode.BAD_USAGE;
    }
    System.setProperty(LogLines.PROVIDER_KEY, LogLines.PROVIDER);
    try {
      Path path = Path.of(file);
      Settings settings = SettingsReader.read(path);
      EarlyListener callers = EarlyListener.open(settings.frontend());
      // The first logger of the process is made with the class that comes next.
      LogLines lines = LogLines.begin();
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
