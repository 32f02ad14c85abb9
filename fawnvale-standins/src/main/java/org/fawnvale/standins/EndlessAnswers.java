package org.fawnvale.standins;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.ThreadLocalRandom;

/** Responses that never end, until the caller closes the connection. */
final class EndlessAnswers {

  private static final int OK = 200;
  private static final int BLOCK_BYTES = 8 << 10;

  private EndlessAnswers() {}

  /** Returns a plain body, or an event, with or without chunks. */
  static Reply next() {
    ThreadLocalRandom random = ThreadLocalRandom.current();
    String type = random.nextBoolean() ? "text/event-stream" : "application/json";
    return new Reply(
        OK,
        java.util.Map.of(),
        type,
        null,
        EndlessAnswers::write,
        random.nextBoolean(),
        Delivery.ONCE);
  }

  private static void write(OutputStream out) throws java.io.IOException {
    out.write("data: ".getBytes(StandardCharsets.US_ASCII));
    byte[] block = new byte[BLOCK_BYTES];
    Arrays.fill(block, (byte) 'x');
    while (!Thread.currentThread().isInterrupted()) {
      out.write(block);
      out.flush();
    }
  }
}
