package org.fawnvale.cli;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.fawnvale.serving.core.model.Settings;
import org.fawnvale.serving.daemon.EarlyListener;
import org.fawnvale.serving.daemon.SettingsReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a process that can't start and loses the lines that tell why. */
@Timeout(60)
class EdgeProcessTest {

  private static final String LINE = "logged before the start failed";

  @TempDir private Path folder;

  /** Takes no line until the log is closed, which interrupts its writer. */
  private static final class ReaderUntilClosed extends OutputStream {
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();
    private final CountDownLatch closed = new CountDownLatch(1);

    @Override
    public void write(int value) {
      write(new byte[] {(byte) value}, 0, 1);
    }

    @Override
    public synchronized void write(byte[] bytes, int offset, int length) {
      try {
        closed.await();
      } catch (InterruptedException e) {
        closed.countDown();
        Thread.currentThread().interrupt();
      }
      received.write(bytes, offset, length);
    }

    @Override
    public String toString() {
      return received.toString(StandardCharsets.UTF_8);
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket socket = new ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  private Path settings(int readyPort) throws IOException {
    Path file = folder.resolve("edge.json");
    Files.writeString(
        file,
        """
        {"name": "edge-1", "address": "127.0.0.1", "dataCentre": "a",
         "listen": {"frontend": "127.0.0.1:%d", "ready": "127.0.0.1:%d", "metrics": "127.0.0.1:%d"},
         "peers": {"port": %d, "seeds": []}, "store": {"address": "127.0.0.1:1"},
         "bounds": {"stallMillis": 4000, "graceSeconds": 8, "retryRatio": 0.2, "retrySlack": 136,
                    "retryWindowSeconds": 10, "loadWindowSeconds": 5, "leavingMillis": 2000}}
        """
            .formatted(freePort(), readyPort, freePort(), freePort()));
    return file;
  }

  @Test
  void linesBeforeAFailedStartAreWritten() throws Exception {
    ReaderUntilClosed out = new ReaderUntilClosed();
    LogLines lines = new LogLines(new PrintStream(out, true, StandardCharsets.UTF_8), 100, 100);
    lines.start();
    try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      Path file = settings(taken.getLocalPort());
      Settings settings = SettingsReader.read(file);
      EarlyListener callers = EarlyListener.open(settings.frontend());
      lines.publish(new LogRecord(Level.INFO, LINE));
      assertThatThrownBy(() -> new EdgeProcess(file, lines).serve(settings, callers))
          .isInstanceOf(IllegalStateException.class);
    }
    while (!out.toString().contains(LINE)) {
      Thread.sleep(1);
    }
  }
}
