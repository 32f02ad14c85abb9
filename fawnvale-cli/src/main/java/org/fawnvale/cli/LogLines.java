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
 * The log of an entry daemon: a background thread writes JSON lines to standard output from a
 * bounded queue. Publishing never blocks: if the queue is full, the line is dropped and counted.
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

  /** Capacity of the queue, in lines. */
  private static final int QUEUE_CAPACITY = 2_048;

  /**
   * Minimum time between two writes, in milliseconds. Batching saves a thread wake-up and a system
   * call per line.
   */
  private static final long BATCH_MILLIS = 100;

  /** How long {@link #close} waits for the remaining lines to be written, in milliseconds. */
  private static final long CLOSE_TIMEOUT_MILLIS = 500;

  private final BlockingQueue<LogRecord> queue;
  private final AtomicLong dropped = new AtomicLong();
  private final PrintStream out;
  private final Thread writer;

  /**
   * Creates a log.
   *
   * @param out receives the lines
   * @param queuedLines the capacity of the queue
   */
  LogLines(PrintStream out, int queuedLines) {
    super();
    this.out = out;
    this.queue = new ArrayBlockingQueue<>(queuedLines);
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
    LogLines lines = new LogLines(System.out, QUEUE_CAPACITY);
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

  /** Writes the given line and all queued lines with a single call. */
  private void writeBatch(LogRecord first) {
    List<LogRecord> lines = new ArrayList<>();
    lines.add(first);
    queue.drainTo(lines);
    StringBuilder text = new StringBuilder();
    lines.forEach(line -> LogLineFormat.append(text, line));
    long lost = dropped.getAndSet(0);
    if (lost > 0) {
      LogRecord dropNotice = new LogRecord(Level.WARNING, "lines=" + lost + " outcome=dropped");
      dropNotice.setLoggerName("log");
      LogLineFormat.append(text, dropNotice);
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
      writer.join(TimeUnit.MILLISECONDS.toMillis(CLOSE_TIMEOUT_MILLIS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
