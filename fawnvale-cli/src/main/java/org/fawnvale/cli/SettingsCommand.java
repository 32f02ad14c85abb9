package org.fawnvale.cli;

import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.fawnvale.core.check.CheckedDocument;
import org.fawnvale.core.check.SettingsCheck;
import org.fawnvale.core.result.Problem;
import org.fawnvale.core.settings.DaemonSettings;

/** The {@code settings check} subcommand: validates settings files. */
final class SettingsCommand {

  private SettingsCommand() {}

  static void addTo(Subparsers subparsers, Map<String, Command> commands) {
    Subparser settings = subparsers.addParser("settings").help("check a daemon's settings");
    Subparser check =
        settings
            .addSubparsers()
            .metavar("ACTION")
            .addParser("check")
            .help("validate a settings file and list every error")
            .epilog("Example: fawnvale settings check entry-1.json");
    check.addArgument("file").help("the settings file");
    check.setDefault("command", "settings check");
    commands.put(
        "settings check",
        (options, console) -> {
          CheckedDocument<DaemonSettings> checked = read(options.getString("file"));
          if (checked.value() == null) {
            console.print(checked.problems());
            return ExitCode.BAD_USAGE;
          }
          console.line("The settings of " + checked.value().name() + " are valid.");
          return ExitCode.DONE;
        });
  }

  static CheckedDocument<DaemonSettings> read(String file) {
    return Files.read(file)
        .fold(
            SettingsCheck::check,
            (Problem problem) -> new CheckedDocument<DaemonSettings>(null, List.of(problem)));
  }
}
