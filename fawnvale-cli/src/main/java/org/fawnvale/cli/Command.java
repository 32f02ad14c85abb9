package org.fawnvale.cli;

import net.sourceforge.argparse4j.inf.Namespace;

/** The implementation of one subcommand. */
@FunctionalInterface
interface Command {

  /** Runs the subcommand with its parsed options. */
  ExitCode run(Namespace options, Console console);
}
