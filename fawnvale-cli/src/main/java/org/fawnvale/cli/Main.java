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
      "Exit codes: 0 done; 1 refused by the system; 2 bad usage, settings or bundle; "
          + "3 outcome unknown, since an answer was lost.";

  private static final String VERSION = "version";

  /** What most programs take for the same. */
  private static final String VERSION_OPTION = "--version";

  /** First words of the command line. */
  private static final List<String> WORDS =
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

  /** A daemon starts so; the parser would take 23 of 200 ms until it listens. */
  private static boolean isPlainEdge(String[] arguments) {
    return arguments.length == 1 && EdgeCommand.NAME.equals(arguments[0]);
  }

  /**
   * Runs the program.
   *
   * @param arguments the command line
   * @param console where it prints
   * @return the exit code
   */
  public static ExitCode run(String[] arguments, Console console) {
    return runWords(isVersionOption(arguments) ? new String[] {VERSION} : arguments, console);
  }

  private static boolean isVersionOption(String[] arguments) {
    return arguments.length == 1 && VERSION_OPTION.equals(arguments[0]);
  }

  private static ExitCode runWords(String[] arguments, Console console) {
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
   * Knows only the command that is named, when there is one: with all of them the start of a daemon
   * would load and build what it never uses.
   */
  private static ArgumentParser parser(String[] arguments, Map<String, Command> commands) {
    ArgumentParser parser =
        ArgumentParsers.newFor("fawnvale")
            // It would start another process to ask for the width.
            .terminalWidthDetection(false)
            .build()
            .description("Serving system for models whose replicas span several nodes.")
            .epilog(EXIT_CODES);
    Subparsers subparsers = parser.addSubparsers().title("commands").metavar("COMMAND");
    if (arguments.length > 0 && WORDS.contains(arguments[0])) {
      add(arguments[0], subparsers, commands);
    } else {
      WORDS.forEach(word -> add(word, subparsers, commands));
    }
    return parser;
  }

  private static void add(String word, Subparsers subparsers, Map<String, Command> commands) {
    switch (word) {
      case "serve" -> ServeCommand.addTo(subparsers, commands);
      case EdgeCommand.NAME -> EdgeCommand.addTo(subparsers, commands);
      case "bundle" -> BundleCommands.addTo(subparsers, commands);
      case "replay" -> ReplayCommand.addTo(subparsers, commands);
      case "explain" -> ExplainCommand.addTo(subparsers, commands);
      case "explain-day" -> ExplainCommand.addDayTo(subparsers, commands);
      case "settings" -> SettingsCommand.addTo(subparsers, commands);
      case VERSION -> VersionCommand.addTo(subparsers, commands);
      default -> throw new IllegalArgumentException(word + " is no command; add it here.");
    }
  }
}
