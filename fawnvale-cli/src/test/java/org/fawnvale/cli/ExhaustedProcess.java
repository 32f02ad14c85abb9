package org.fawnvale.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process whose heap is full to the last bytes when one of its threads ends by that error. */
final class ExhaustedProcess {

  private static final int LARGEST_BYTES = 1 << 20;
  private static final int SMALLEST_BYTES = 16;
  private static final int CAPACITY = 4_000_000;

  /** Kept, so that no byte becomes free. */
  private static final List<byte[]> HELD = new ArrayList<>(CAPACITY);

  private ExhaustedProcess() {}

  /** Runs until the process is ended from elsewhere, by its own handler of errors for example. */
  public static void main(String[] arguments) throws InterruptedException {
    LogLines lines = LogLines.install();
    FatalErrors.install(lines::close);
    new Thread(ExhaustedProcess::fill, "filler").start();
    TimeUnit.DAYS.sleep(1);
  }

  /** Fills the heap with ever smaller blocks, and ends by the error of the last one. */
  private static void fill() {
    int bytes = LARGEST_BYTES;
    while (bytes >= SMALLEST_BYTES) {
      bytes = add(bytes) ? bytes : bytes / 2;
    }
    throw new OutOfMemoryError("for the test");
  }

  private static boolean add(int bytes) {
    try {
      HELD.add(new byte[bytes]);
      return true;
    } catch (OutOfMemoryError e) {
      return false;
    }
  }
}
