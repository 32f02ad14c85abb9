package org.fawnvale.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * The log of an entry daemon: JSON lines on standard output, through a bounded queue. Lines that
 * find it full are dropped and counted rather than waited for.
 *
 * <p>Log4j's lines are handed to the JDK's logging. With Log4j's own core a program took 0.78 s of
 * processor time to write its first line, with this 0.39 s (medians of three, whole process, user
 * and system, class archive); on the smallest entry nodes a second of it takes three.
 */
final class LogLines extends Handler {

  /** Chooses the library that the API of Log4j hands its lines to. */
  static final String PROVIDER_KEY = "log4j.provider";

  /** The JDK's own logging. */
  static final String PROVIDER = "org.apache.logging.log4j.tojul.JULProvider";

  /** Lines that may wait: two seconds of a daemon that answers 300 requests a second. */
  private static final int QUEUED_LINES = 2_048;

  /**
   * The least time between two writes, in milliseconds. A daemon that answers eight requests a
   * second logs 24 lines; written one by one each wakes a thread and makes a system call.
   */
  private static final long BATCH_MILLIS = 100;

  /** How long a stop waits for the last lines, in milliseconds. */
  private static final long LAST_LINES_MILLIS = 500;

  private final BlockingQueue<LogRecord> queue;
  private final AtomicLong dropped = new AtomicLong();
  private final PrintStream out;
  private final Thread writer;

  /**
   * Creates a log.
   *
   * @param out where the lines go
   * @param queuedLines how many lines may wait
   */
  LogLines(PrintStream out, int queuedLines) {
    super();
    this.out = out;
    this.queue = new ArrayBlockingQueue<>(queuedLines);
    this.writer = new Thread(this::write, "log");
    writer.setDaemon(true);
  }

  /**
   * Sends all lines of the process here. It must come before the first logger is made.
   *
   * @return the log, to be closed at the end
   */
  static LogLines begin() {
    System.setProperty(PROVIDER_KEY, PROVIDER);
    LogManager.getLogManager().reset();
    LogLines lines = new LogLines(System.out, QUEUED_LINES);
    lines.start();
    Logger root = Logger.getLogger("");
    root.addHandler(lines);
    root.setLevel(Level.INFO);
    return lines;
  }

  /** Starts to write. */
  void start() {
    writer.start();
  }

  @Override
  public void publish(LogRecord line) {
    if (!queue.offer(line)) {
      dropped.incrementAndGet();
    }
  }

  private void write() {
    try {
      while (!Thread.currentThread().isInterrupted()) {
        writeBatch(queue.take());
        TimeUnit.MILLISECONDS.sleep(BATCH_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    flush();
  }

  /** Writes the lines that wait with one call. */
  private void writeBatch(LogRecord first) {
    List<LogRecord> lines = new ArrayList<>();
    lines.add(first);
    queue.drainTo(lines);
    StringBuilder text = new StringBuilder();
    lines.forEach(line -> LogLineFormat.append(text, line));
    long lost = dropped.getAndSet(0);
    if (lost > 0) {
      LogRecord note = new LogRecord(Level.WARNING, "lines=" + lost + " outcome=dropped");
      note.setLoggerName("log");
      LogLineFormat.append(text, note);
    }
    out.print(text);
    out.flush();
  }

  @Override
  public void flush() {
    LogRecord next = queue.poll();
    while (next != null) {
      writeBatch(next);
      next = queue.poll();
    }
  }

  @Override
  public void close() {
    writer.interrupt();
    try {
      writer.join(TimeUnit.MILLISECONDS.toMillis(LAST_LINES_MILLIS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
