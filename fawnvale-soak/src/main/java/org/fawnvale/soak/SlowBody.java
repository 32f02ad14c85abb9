package org.fawnvale.soak;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.SequenceInputStream;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;

/** A request body without a stated length, which is sent in chunks. */
final class SlowBody {

  private SlowBody() {}

  /**
   * Returns a publisher of a body in two halves.
   *
   * @param pauseMillis the pause between them, in milliseconds
   */
  static HttpRequest.BodyPublisher publisher(String body, long pauseMillis) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    int half = bytes.length / 2;
    return HttpRequest.BodyPublishers.ofInputStream(
        () ->
            new SequenceInputStream(
                new ByteArrayInputStream(bytes, 0, half),
                new PausedInput(
                    new ByteArrayInputStream(bytes, half, bytes.length - half), pauseMillis)));
  }

  /** Waits before its first byte. */
  private static final class PausedInput extends InputStream {
    private final InputStream rest;
    private long pauseMillis;

    PausedInput(InputStream rest, long pauseMillis) {
      this.rest = rest;
      this.pauseMillis = pauseMillis;
    }

    @Override
    public int read() throws IOException {
      awaitPause();
      return rest.read();
    }

    @Override
    public int read(byte[] target, int offset, int length) throws IOException {
      awaitPause();
      return rest.read(target, offset, length);
    }

    private void awaitPause() {
      long millis = pauseMillis;
      pauseMillis = 0;
      Callers.pause(millis);
    }
  }
}
