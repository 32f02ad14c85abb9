package org.fawnvale.dist;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against a slower daemon start: limits how many classes the built jar loads until it
 * listens, and how many of them come from outside the class-data-sharing archive.
 */
class StartTest {

  private static final int MAXIMUM_CLASSES = 2_300;
  private static final int MAXIMUM_OUTSIDE_ARCHIVE = 30;

  /** Log4j's API loads each provider before it selects the configured one. */
  private static final int MAXIMUM_LOG4J_CORE_CLASSES = 12;

  private static final String FROM_ARCHIVE = "source: shared objects file";

  /** A daemon listens at the port for peers and at the three after it. */
  private static final int PEER_PORTS = 4;

  private static final Path ROOT = Path.of(System.getProperty("fawnvale.root"));
  private static final Path JAR = ROOT.resolve("target/fawnvale.jar");
  private static final String JAVA =
      Path.of(System.getProperty("java.home"), "bin", "java").toString();

  @TempDir private Path folder;
  private List<String> loaded;

  @BeforeEach
  void start() throws IOException, InterruptedException {
    Path archive = folder.resolve("classes.jsa");
    List<String> dump =
        List.of(
            JAVA,
            "-Xshare:dump",
            "-XX:+UseSerialGC",
            "-XX:SharedClassListFile=" + ROOT.resolve("deploy/classes.lst"),
            "-XX:SharedArchiveFile=" + archive,
            "-cp",
            JAR.toString());
    Path dumped = folder.resolve("dump.log");
    assertThat(run(dump, dumped, Map.of()).waitFor()).as(dumped.toString()).isZero();
    Path classes = folder.resolve("classes.log");
    Process daemon =
        run(
            List.of(
                JAVA,
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:SharedArchiveFile=" + archive,
                "-Xlog:class+load:file=" + classes,
                "-jar",
                JAR.toString(),
                "edge"),
            null,
            Map.of("FAWNVALE_SETTINGS", settings().toString()));
    try (BufferedReader lines = daemon.inputReader()) {
      String line = lines.readLine();
      while (line != null && !line.contains("outcome=started")) {
        line = lines.readLine();
      }
      assertThat(line).as("the daemon has not started").isNotNull();
    } finally {
      daemon.destroyForcibly().waitFor();
    }
    loaded = Files.readAllLines(classes);
  }

  private static Process run(List<String> command, Path log, Map<String, String> variables)
      throws IOException {
    ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
    builder.environment().putAll(variables);
    if (log != null) {
      builder.redirectOutput(log.toFile());
    }
    return builder.start();
  }

  private Path settings() throws IOException {
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
            .formatted(
                FreePorts.one(), FreePorts.one(), FreePorts.one(), FreePorts.inARow(PEER_PORTS)));
    return file;
  }

  @Test
  void startupLoadsFewClassesAndMostOfThemFromTheArchive() {
    assertThat(loaded.size()).isLessThan(MAXIMUM_CLASSES);
    assertThat(count("org.apache.logging.log4j.core."))
        .isLessThanOrEqualTo(MAXIMUM_LOG4J_CORE_CLASSES);
    assertThat(loaded.size() - count(FROM_ARCHIVE)).isLessThan(MAXIMUM_OUTSIDE_ARCHIVE);
  }

  private long count(String text) {
    return loaded.stream().filter(line -> line.contains(text)).count();
  }
}
