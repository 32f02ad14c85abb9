package org.fawnvale.cli;

/** Exit codes of the program. */
public enum ExitCode {
  /** The command succeeded. */
  DONE(0),
  /** The daemon refused the request, or the command failed. */
  REFUSED(1),
  /** The arguments, the settings or the bundle are invalid. */
  BAD_USAGE(2),
  /** The response was lost: the change may or may not have taken effect. */
  UNKNOWN(3),
  /** A daemon ended by an internal error; the log names it. */
  FAILED(4);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /**
   * Returns the exit status of the process.
   *
   * @return the status, 0 to 4
   */
  public int code() {
    return code;
  }
}
