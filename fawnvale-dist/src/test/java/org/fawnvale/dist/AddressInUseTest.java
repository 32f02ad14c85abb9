package org.fawnvale.dist;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a daemon that can't start and whose process stays all the same. */
class AddressInUseTest {

  private static final Path JAR =
      Path.of(System.getProperty("fawnvale.root"), "target/fawnvale.jar");
  private static final String JAVA =
      Path.of(System.getProperty("java.home"), "bin", "java").toString();
  private static final int PATIENCE_SECONDS = 60;

  /** The last of the ports that a daemon opens, after those for callers and the other peers. */
  private static final int FORWARD_PORT_OFFSET = 3;

  @TempDir private Path folder;

  @Test
  void processOfADaemonWhosePortIsTakenExitsWithAnError() throws Exception {
    int peerPort = FreePorts.inARow(FORWARD_PORT_OFFSET + 1);
    InetAddress loopback = InetAddress.getByName("127.0.0.1");
    try (ServerSocket taken = new ServerSocket(peerPort + FORWARD_PORT_OFFSET, 1, loopback)) {
      assertThat(taken.isBound()).isTrue();
      Process daemon = start(peerPort);
      try {
        assertThat(daemon.waitFor(PATIENCE_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(daemon.exitValue()).isNotZero();
      } finally {
        daemon.destroyForcibly();
      }
    }
  }

  private Process start(int peerPort) throws IOException {
    Path settings = folder.resolve("edge.json");
    Files.writeString(
        settings,
        """
        {"name": "edge-1", "address": "127.0.0.1", "dataCentre": "a",
         "listen": {"frontend": "127.0.0.1:%d", "ready": "127.0.0.1:%d", "metrics": "127.0.0.1:%d"},
         "peers": {"port": %d, "seeds": []}, "store": {"address": "127.0.0.1:1"},
         "bounds": {"stallMillis": 4000, "graceSeconds": 8, "retryRatio": 0.2, "retrySlack": 136,
                    "retryWindowSeconds": 10, "loadWindowSeconds": 5, "leavingMillis": 2000}}
        """
            .formatted(FreePorts.one(), FreePorts.one(), FreePorts.one(), peerPort));
    ProcessBuilder builder =
        new ProcessBuilder(JAVA, "-jar", JAR.toString(), "edge")
            .redirectErrorStream(true)
            .redirectOutput(folder.resolve("edge.log").toFile());
    builder.environment().put("FAWNVALE_SETTINGS", settings.toString());
    return builder.start();
  }
}
