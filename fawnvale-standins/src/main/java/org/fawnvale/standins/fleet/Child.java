package org.fawnvale.standins.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A child process that exits when its standard input is closed. */
public final class Child implements AutoCloseable {

  private static final long STOP_SECONDS = 20;

  private final String name;
  private final Process process;
  private final String greeting;

  private Child(String name, Process process, String greeting) {
    this.name = name;
    this.process = process;
    this.greeting = greeting;
  }

  /**
   * Starts a Java process and waits for its first line of output.
   *
   * @param name the name of the process and of its log file
   * @param logs the folder for the log files
   * @param arguments the arguments of the {@code java} command
   * @return the process
   * @throws IOException when the process ends without printing a line
   */
  public static Child start(String name, Path logs, List<String> arguments) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(arguments);
    Process process =
        new ProcessBuilder(command).redirectError(logs.resolve(name + ".log").toFile()).start();
    BufferedReader out =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    String line = out.readLine();
    if (line == null) {
      process.destroyForcibly();
      throw new IOException(name + " did not start; see " + logs.resolve(name + ".log"));
    }
    return new Child(name, process, line);
  }

  /**
   * Returns the name of the process.
   *
   * @return the name
   */
  public String name() {
    return name;
  }

  /**
   * Returns the first line of the process's standard output.
   *
   * @return the line
   */
  public String greeting() {
    return greeting;
  }

  /**
   * Returns the process identifier.
   *
   * @return the identifier
   */
  public long pid() {
    return process.pid();
  }

  /**
   * Returns whether the process is running.
   *
   * @return true while the process runs
   */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Kills the process with SIGKILL and waits for its exit. */
  public void kill() {
    process.destroyForcibly();
    await();
  }

  /** Sends SIGTERM to the process. */
  public void terminate() {
    process.destroy();
  }

  /**
   * Waits up to 20 seconds for the process to exit.
   *
   * @return the exit code, or -1 on a timeout or an interrupt
   */
  public int await() {
    try {
      return process.waitFor(STOP_SECONDS, TimeUnit.SECONDS) ? process.exitValue() : -1;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return -1;
    }
  }

  @Override
  public void close() {
    try {
      process.getOutputStream().close();
    } catch (IOException e) {
      process.destroy();
    }
    if (await() < 0) {
      process.destroyForcibly();
    }
  }
}
