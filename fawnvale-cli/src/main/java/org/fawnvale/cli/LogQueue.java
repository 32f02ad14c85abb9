package org.fawnvale.cli;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Log lines that wait to be written. Lines of level {@code WARNING} and above are urgent: they have
 * room of their own and are taken before ordinary lines. A line that finds no room is dropped and
 * counted. Used by any thread; adding a line never waits for the reader of the log.
 */
final class LogQueue {

  /**
   * Most characters of all ordinary lines, up to two bytes each. Lines of requests have about 85.
   */
  private static final int ORDINARY_CHARACTERS = 1 << 20;

  /** Most characters of all urgent lines. */
  private static final int URGENT_CHARACTERS = 1 << 19;

  private final Lane ordinary;
  private final Lane urgent;
  private long droppedInAll;

  /**
   * Creates an empty queue.
   *
   * @param ordinaryLines the most ordinary lines that wait
   * @param urgentLines the most urgent lines that wait
   */
  LogQueue(int ordinaryLines, int urgentLines) {
    this.ordinary = new Lane(ordinaryLines, ORDINARY_CHARACTERS);
    this.urgent = new Lane(urgentLines, URGENT_CHARACTERS);
  }

  /**
   * Lines that were dropped.
   *
   * @param lines their number since the last batch
   * @param urgent how many of these were urgent
   * @param inAll their number since the start
   */
  record Dropped(long lines, long urgent, long inAll) {}

  /** Lines of one urgency, bounded in number and length. */
  private static final class Lane {

    /** What a stack trace counts for, in characters: it is not formatted yet. */
    private static final int TRACE_CHARACTERS = 4_096;

    private final Deque<LogRecord> lines = new ArrayDeque<>();
    private final int maxLines;
    private final int maxCharacters;
    private int characters;
    private long dropped;

    Lane(int maxLines, int maxCharacters) {
      this.maxLines = maxLines;
      this.maxCharacters = maxCharacters;
    }

    private static int charactersOf(LogRecord line) {
      int message = line.getMessage() == null ? 0 : line.getMessage().length();
      return line.getThrown() == null ? message : message + TRACE_CHARACTERS;
    }

    void add(LogRecord line) {
      int added = charactersOf(line);
      if (lines.size() == maxLines || added > maxCharacters - characters) {
        dropped++;
        return;
      }
      characters += added;
      lines.addLast(line);
    }

    boolean isEmpty() {
      return lines.isEmpty();
    }

    long firstSequenceNumber() {
      return lines.isEmpty() ? Long.MAX_VALUE : lines.getFirst().getSequenceNumber();
    }

    LogRecord removeFirst() {
      LogRecord line = lines.removeFirst();
      characters -= charactersOf(line);
      return line;
    }

    long takeDropped() {
      long count = dropped;
      dropped = 0;
      return count;
    }
  }

  /** Adds a line, or drops it if there is no room. */
  synchronized void add(LogRecord line) {
    boolean isUrgent = line.getLevel().intValue() >= Level.WARNING.intValue();
    Lane lane = isUrgent ? urgent : ordinary;
    lane.add(line);
    notifyAll();
  }

  /** Waits until there is a line. */
  synchronized void awaitLine() throws InterruptedException {
    while (isEmpty()) {
      wait();
    }
  }

  private boolean isEmpty() {
    return ordinary.isEmpty() && urgent.isEmpty();
  }

  /**
   * Removes all urgent lines and the oldest ordinary ones.
   *
   * @param mostOrdinary the most ordinary lines
   * @return the lines, oldest first; empty when none wait
   */
  synchronized List<LogRecord> take(int mostOrdinary) {
    List<LogRecord> batch = new ArrayList<>();
    int ordinaryLeft = mostOrdinary;
    while (!urgent.isEmpty() || ordinaryLeft > 0 && !ordinary.isEmpty()) {
      boolean isOrdinaryNext =
          ordinaryLeft > 0 && ordinary.firstSequenceNumber() < urgent.firstSequenceNumber();
      batch.add(isOrdinaryNext ? ordinary.removeFirst() : urgent.removeFirst());
      ordinaryLeft -= isOrdinaryNext ? 1 : 0;
    }
    return batch;
  }

  /** Returns how many lines were dropped since the last call. */
  synchronized Dropped takeDropped() {
    long urgentLines = urgent.takeDropped();
    long lines = urgentLines + ordinary.takeDropped();
    droppedInAll += lines;
    return new Dropped(lines, urgentLines, droppedInAll);
  }
}
