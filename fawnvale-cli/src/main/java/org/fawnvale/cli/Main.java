package org.fawnvale.cli;

import java.io.PrintWriter;
import java.util.LinkedHashMap;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Entry point of the program. */
public final class Main {

  private static final String EXIT_CODES =
      "Exit codes: 0 done; 1 refused by the system; 2 bad usage, settings or bundle; "
          + "3 outcome unknown, since an answer was lost.";

  private Main() {}

  /**
   * Runs the program and exits.
   *
   * @param arguments the command line
   */
  public static void main(String[] arguments) {
    System.exit(run(arguments, Console.ofProcess()).code());
  }

  /**
   * Runs the program.
   *
   * @param arguments the command line
   * @param console where it prints
   * @return the exit code
   */
  public static ExitCode run(String[] arguments, Console console) {
    Map<String, Command> commands = new LinkedHashMap<>();
    ArgumentParser parser = parser(commands);
    try {
      Namespace options = parser.parseArgs(arguments);
      return commands.get(options.getString("command")).run(options, console);
    } catch (HelpScreenException e) {
      return ExitCode.DONE;
    } catch (ArgumentParserException e) {
      PrintWriter writer = new PrintWriter(console.err(), true);
      e.getParser().handleError(e, writer);
      writer.flush();
      return ExitCode.BAD_USAGE;
    }
  }

  private static ArgumentParser parser(Map<String, Command> commands) {
    ArgumentParser parser =
        ArgumentParsers.newFor("fawnvale")
            .build()
            .description("Serving system for models whose replicas span several nodes.")
            .epilog(EXIT_CODES);
    Subparsers subparsers = parser.addSubparsers().title("commands").metavar("COMMAND");
    ServeCommand.addTo(subparsers, commands);
    EdgeCommand.addTo(subparsers, commands);
    BundleCommands.addTo(subparsers, commands);
    ReplayCommand.addTo(subparsers, commands);
    ExplainCommand.addTo(subparsers, commands);
    SettingsCommand.addTo(subparsers, commands);
    VersionCommand.addTo(subparsers, commands);
    return parser;
  }
}
