package org.fawnvale.cli;

import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * The log of an entry daemon: a background thread writes JSON lines to standard output from a
 * bounded queue. Publishing never blocks: if the queue is full, the line is dropped and counted.
 * Warnings and errors have room of their own and overtake other lines that wait.
 *
 * <p>The Log4j API is bridged to the JDK's logging, which starts faster than Log4j's own core.
 */
final class LogLines extends Handler {

  /** System property that selects the implementation behind the Log4j API. */
  static final String PROVIDER_KEY = "log4j.provider";

  /** The Log4j provider that forwards to {@code java.util.logging}. */
  static final String PROVIDER = "org.apache.logging.log4j.tojul.JULProvider";

  /** System property that selects the JDK's log manager. */
  private static final String MANAGER_KEY = "java.util.logging.manager";

  /** Capacity of the queue for lines below {@code WARNING}. */
  private static final int ORDINARY_LINES = 2_048;

  /** Further capacity of the queue for warnings and errors, in lines. */
  private static final int URGENT_LINES = 1_024;

  /**
   * Most lines below {@code WARNING} in one write: about 40 kB, which a pipe holds, so that a
   * warning waits for few of them while the reader is slow.
   */
  private static final int ORDINARY_LINES_PER_WRITE = 256;

  /**
   * Minimum time between two writes, in milliseconds. Batching saves a thread wake-up and a system
   * call per line.
   */
  private static final long BATCH_MILLIS = 100;

  /** How long {@link #close} waits for the remaining lines to be written, in milliseconds. */
  private static final long CLOSE_TIMEOUT_MILLIS = 500;

  private final LogQueue queue;
  private final PrintStream out;
  private final Thread writer;

  /**
   * Creates a log.
   *
   * @param out receives the lines
   * @param ordinaryLines the most lines below {@code WARNING} that wait
   * @param urgentLines the most warnings and errors that wait
   */
  LogLines(PrintStream out, int ordinaryLines, int urgentLines) {
    super();
    this.out = out;
    this.queue = new LogQueue(ordinaryLines, urgentLines);
    this.writer = new Thread(this::write, "log");
    writer.setDaemon(true);
  }

  /**
   * Installs this log for all loggers of the process and starts it. Must be called before the first
   * logger is created.
   *
   * @return the log, which the caller closes at shutdown
   */
  static LogLines install() {
    System.setProperty(PROVIDER_KEY, PROVIDER);
    System.setProperty(MANAGER_KEY, PersistentLogManager.class.getName());
    LogManager manager = LogManager.getLogManager();
    manager.reset();
    LogLines lines = new LogLines(System.out, ORDINARY_LINES, URGENT_LINES);
    lines.start();
    Logger root = Logger.getLogger("");
    root.addHandler(lines);
    root.setLevel(Level.INFO);
    if (manager instanceof PersistentLogManager persistent) {
      persistent.persist();
    }
    return lines;
  }

  /** Starts the writer thread. */
  void start() {
    writer.start();
  }

  @Override
  public void publish(LogRecord line) {
    queue.add(line);
  }

  private void write() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        queue.awaitLine();
        flush();
        TimeUnit.MILLISECONDS.sleep(BATCH_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    flush();
  }

  /** Writes lines with a single call, and tells how many were dropped meanwhile. */
  private void writeBatch(List<LogRecord> lines) {
    StringBuilder text = new StringBuilder();
    lines.forEach(line -> LogLineFormat.append(text, line));
    LogQueue.Dropped dropped = queue.takeDropped();
    if (dropped.lines() > 0) {
      LogLineFormat.append(text, dropNotice(dropped));
    }
    out.print(text);
    out.flush();
  }

  private static LogRecord dropNotice(LogQueue.Dropped dropped) {
    LogRecord notice =
        new LogRecord(
            Level.WARNING,
            "urgent=%d since_start=%d lines=%d outcome=dropped"
                .formatted(dropped.urgent(), dropped.inAll(), dropped.lines()));
    notice.setLoggerName("log");
    return notice;
  }

  @Override
  public void flush() {
    List<LogRecord> lines = queue.take(ORDINARY_LINES_PER_WRITE);
    while (!lines.isEmpty()) {
      writeBatch(lines);
      lines = queue.take(ORDINARY_LINES_PER_WRITE);
    }
  }

  @Override
  public void close() {
    writer.interrupt();
    try {
      writer.join(TimeUnit.MILLISECONDS.toMillis(CLOSE_TIMEOUT_MILLIS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
