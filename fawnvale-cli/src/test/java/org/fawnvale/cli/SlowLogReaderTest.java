package org.fawnvale.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against warnings, such as the ends of failed requests, that are lost because the reader of
 * the log is slow.
 */
@Timeout(60)
class SlowLogReaderTest {

  private static final int ORDINARY_LINES = 1_000;
  private static final int URGENT_LINES = 50;

  private final StoppedReader reader = new StoppedReader();
  private final LogLines log =
      new LogLines(
          new PrintStream(reader, true, StandardCharsets.UTF_8), ORDINARY_LINES, URGENT_LINES);

  /** A reader that reads nothing until it is told to. */
  private static final class StoppedReader extends OutputStream {
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();
    private final CountDownLatch firstWrite = new CountDownLatch(1);
    private final CountDownLatch mayRead = new CountDownLatch(1);

    @Override
    public void write(int value) {
      write(new byte[] {(byte) value}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) {
      firstWrite.countDown();
      awaitUninterruptibly(mayRead);
      synchronized (received) {
        received.write(bytes, offset, length);
      }
    }

    /** As a write to a pipe, which an interrupt does not end. */
    private static void awaitUninterruptibly(CountDownLatch latch) {
      boolean interrupted = false;
      while (latch.getCount() > 0) {
        try {
          latch.await();
        } catch (InterruptedException e) {
          interrupted = true;
        }
      }
      if (interrupted) {
        Thread.currentThread().interrupt();
      }
    }

    List<String> lines() {
      synchronized (received) {
        return received.toString(StandardCharsets.UTF_8).lines().toList();
      }
    }
  }

  private void publish(Level level, String message) {
    LogRecord line = new LogRecord(level, message);
    line.setLoggerName("gateway");
    log.publish(line);
  }

  private void stopReader() throws InterruptedException {
    log.start();
    publish(Level.INFO, "before");
    reader.firstWrite.await();
  }

  private List<String> readAll() throws InterruptedException {
    reader.mayRead.countDown();
    while (reader.lines().size() < 2) {
      Thread.onSpinWait();
    }
    publish(Level.INFO, "last");
    while (reader.lines().stream().noneMatch(line -> line.contains("last"))) {
      Thread.onSpinWait();
    }
    log.close();
    return reader.lines();
  }

  private static int indexOf(List<String> lines, String text) {
    for (int index = 0; index < lines.size(); index++) {
      if (lines.get(index).contains(text)) {
        return index;
      }
    }
    return -1;
  }

  @Test
  void warningsAmongMoreLinesThanTheQueueHoldsAreWritten() throws Exception {
    stopReader();
    for (int number = 0; number < 3 * ORDINARY_LINES; number++) {
      publish(Level.INFO, "ordinary=" + number);
    }
    for (int number = 0; number < URGENT_LINES; number++) {
      publish(Level.WARNING, "failed=" + number + " end");
    }
    List<String> lines = readAll();
    for (int number = 0; number < URGENT_LINES; number++) {
      assertThat(indexOf(lines, "failed=" + number + " end")).isPositive();
    }
    assertThat(lines).filteredOn(line -> line.contains("ordinary=")).hasSize(ORDINARY_LINES);
  }

  @Test
  void warningsAreWrittenBeforeABacklogOfOtherLines() throws Exception {
    stopReader();
    for (int number = 0; number < ORDINARY_LINES; number++) {
      publish(Level.INFO, "ordinary=" + number + " end");
    }
    publish(Level.WARNING, "failed");
    List<String> lines = readAll();
    assertThat(indexOf(lines, "failed"))
        .isPositive()
        .isLessThan(indexOf(lines, "ordinary=" + (ORDINARY_LINES - 1) + " end"));
  }

  @Test
  void droppedLinesAreCountedByUrgency() throws Exception {
    stopReader();
    for (int number = 0; number < ORDINARY_LINES + 7; number++) {
      publish(Level.INFO, "ordinary=" + number);
    }
    for (int number = 0; number < URGENT_LINES + 2; number++) {
      publish(Level.WARNING, "failed=" + number);
    }
    assertThat(readAll())
        .anyMatch(line -> line.contains("urgent=2 since_start=9 lines=9 outcome=dropped"));
  }

  @Test
  void linesThatWaitAreBoundedInLength() throws Exception {
    stopReader();
    String halfOfTheRoom = "x".repeat(1 << 19);
    for (int number = 0; number < 10; number++) {
      publish(Level.INFO, "ordinary=" + number + halfOfTheRoom);
    }
    assertThat(readAll()).filteredOn(line -> line.contains("ordinary=")).hasSize(1);
  }

  @Test
  void closeDoesNotWaitForAReaderThatReadsNothing() throws Exception {
    stopReader();
    publish(Level.WARNING, "failed");
    log.close();
    assertThat(reader.lines()).isEmpty();
    reader.mayRead.countDown();
  }
}
