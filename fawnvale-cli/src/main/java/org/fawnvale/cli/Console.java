package org.fawnvale.cli;

import java.io.PrintStream;
import java.util.List;
import org.fawnvale.core.result.Problem;

/**
 * The output streams of a command.
 *
 * @param out receives results
 * @param err receives problems
 */
public record Console(PrintStream out, PrintStream err) {

  /**
   * Returns a console on the standard output and error of the process.
   *
   * @return the console
   */
  public static Console ofProcess() {
    return new Console(System.out, System.err);
  }

  /** Prints each problem as one line on the error stream. */
  public void print(List<Problem> problems) {
    for (Problem problem : problems) {
      err.println("fawnvale: " + problem.describe());
    }
  }

  /** Prints a line on the result stream. */
  public void line(String line) {
    out.println(line);
  }
}
