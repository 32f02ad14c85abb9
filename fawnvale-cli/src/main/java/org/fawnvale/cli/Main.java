package org.fawnvale.cli;

import java.io.PrintWriter;
import java.util.LinkedHashMap;
import java.util.List;
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
      "Exit codes: 0 success; 1 refused or failed; 2 invalid usage, settings or bundle; "
          + "3 outcome unknown because a response was lost.";

  private static final String VERSION = "version";

  /** Accepted as an alias of the {@code version} command. */
  private static final String VERSION_OPTION = "--version";

  /** Names of the top-level commands. */
  private static final List<String> COMMAND_NAMES =
      List.of(
          "serve",
          EdgeCommand.NAME,
          "bundle",
          "replay",
          "explain",
          "explain-day",
          "settings",
          VERSION);

  private Main() {}

  /**
   * Runs the program and exits.
   *
   * @param arguments the command line
   */
  public static void main(String[] arguments) {
    Console console = Console.ofProcess();
    ExitCode code =
        isPlainEdge(arguments) ? EdgeCommand.run(null, console) : run(arguments, console);
    System.exit(code.code());
  }

  /** Bypasses the argument parser for a plain {@code edge}, to shorten the start of a daemon. */
  private static boolean isPlainEdge(String[] arguments) {
    return arguments.length == 1 && EdgeCommand.NAME.equals(arguments[0]);
  }

  /**
   * Runs the program.
   *
   * @param arguments the command line
   * @param console receives the output
   * @return the exit code
   */
  public static ExitCode run(String[] arguments, Console console) {
    return parseAndRun(isVersionOption(arguments) ? new String[] {VERSION} : arguments, console);
  }

  private static boolean isVersionOption(String[] arguments) {
    return arguments.length == 1 && VERSION_OPTION.equals(arguments[0]);
  }

  private static ExitCode parseAndRun(String[] arguments, Console console) {
    Map<String, Command> commands = new LinkedHashMap<>();
    ArgumentParser parser = parser(arguments, commands);
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

  /**
   * Creates a parser. If the first argument names a command, only that command is registered, so
   * that a daemon does not load the classes of the others.
   */
  private static ArgumentParser parser(String[] arguments, Map<String, Command> commands) {
    ArgumentParser parser =
        ArgumentParsers.newFor("fawnvale")
            // Detecting the width would start a subprocess.
            .terminalWidthDetection(false)
            .build()
            .description("Serving system for models whose replicas span several nodes.")
            .epilog(EXIT_CODES);
    Subparsers subparsers = parser.addSubparsers().title("commands").metavar("COMMAND");
    if (arguments.length > 0 && COMMAND_NAMES.contains(arguments[0])) {
      add(arguments[0], subparsers, commands);
    } else {
      COMMAND_NAMES.forEach(name -> add(name, subparsers, commands));
    }
    return parser;
  }

  private static void add(String name, Subparsers subparsers, Map<String, Command> commands) {
    switch (name) {
      case "serve" -> ServeCommand.addTo(subparsers, commands);
      case EdgeCommand.NAME -> EdgeCommand.addTo(subparsers, commands);
      case "bundle" -> BundleCommands.addTo(subparsers, commands);
      case "replay" -> ReplayCommand.addTo(subparsers, commands);
      case "explain" -> ExplainCommand.addTo(subparsers, commands);
      case "explain-day" -> ExplainCommand.addDayTo(subparsers, commands);
      case "settings" -> SettingsCommand.addTo(subparsers, commands);
      case VERSION -> VersionCommand.addTo(subparsers, commands);
      default -> throw new IllegalArgumentException(name + " is not handled by Main.add.");
    }
  }
}
