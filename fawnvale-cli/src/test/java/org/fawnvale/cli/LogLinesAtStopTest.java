package org.fawnvale.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a log that ends with SIGTERM, while the daemon still serves for seconds. */
@Timeout(60)
class LogLinesAtStopTest {

  private Process process;

  @BeforeEach
  void start() throws IOException {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    String classes = System.getProperty("java.class.path");
    process =
        new ProcessBuilder(java, "-cp", classes, StoppingProcess.class.getName())
            .redirectErrorStream(true)
            .start();
  }

  @AfterEach
  void stop() {
    process.destroyForcibly();
  }

  @Test
  void linesAfterSigtermAreWritten() throws Exception {
    List<String> output = new ArrayList<>();
    try (BufferedReader in =
        new BufferedReader(
            new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8))) {
      String line = in.readLine();
      while (line != null) {
        output.add(line);
        if (line.contains(StoppingProcess.STARTED)) {
          process.toHandle().destroy();
        }
        line = in.readLine();
      }
    }
    assertThat(process.waitFor()).as(output.toString()).isZero();
    assertThat(output)
        .filteredOn(text -> text.contains("after="))
        .hasSize(StoppingProcess.LINES_AFTER_SIGNAL);
  }
}
