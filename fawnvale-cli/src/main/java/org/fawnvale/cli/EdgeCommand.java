package org.fawnvale.cli;

import java.nio.file.Path;
import java.util.Map;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Runs an entry daemon on the users' platform until it is told to stop. */
final class EdgeCommand {

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
    // The first logger of the process is made with the class that comes next.
    LogLines lines = LogLines.begin();
    return new EdgeProcess(Path.of(file), lines).run(console);
  }
}
