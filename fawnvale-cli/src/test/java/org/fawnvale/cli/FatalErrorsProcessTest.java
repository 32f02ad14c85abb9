package org.fawnvale.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.RepeatedTest;

/** Guards against a process without memory that loses its threads one by one and never ends. */
class FatalErrorsProcessTest {

  private static final long WAIT_SECONDS = 60;

  private Process process;

  @BeforeEach
  void start() throws IOException {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    String classes = System.getProperty("java.class.path");
    process =
        new ProcessBuilder(
                java,
                "-Xmx48m",
                "-XX:+UseSerialGC",
                "-cp",
                classes,
                ExhaustedProcess.class.getName())
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
  }

  @AfterEach
  void stop() {
    process.destroyForcibly();
  }

  @RepeatedTest(3)
  void processWithoutMemoryEnds() throws InterruptedException {
    assertThat(process.waitFor(WAIT_SECONDS, TimeUnit.SECONDS))
        .as("the process has ended")
        .isTrue();
    assertThat(process.exitValue()).isEqualTo(ExitCode.FAILED.code());
  }
}
