package org.fawnvale.cli;

import java.util.Map;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Prints the program's version. */
final class VersionCommand {

  private VersionCommand() {}

  static void addTo(Subparsers subparsers, Map<String, Command> commands) {
    subparsers.addParser("version").help("print the version").setDefault("command", "version");
    commands.put(
        "version",
        (options, console) -> {
          String version = VersionCommand.class.getPackage().getImplementationVersion();
          console.line("fawnvale " + (version == null ? "of an unpacked build" : version));
          return ExitCode.DONE;
        });
  }
}
