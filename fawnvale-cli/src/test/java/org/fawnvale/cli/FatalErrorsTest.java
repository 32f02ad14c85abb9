package org.fawnvale.cli;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a daemon that runs on without its dispatch thread and answers nothing. */
class FatalErrorsTest {

  private final List<String> calls = new ArrayList<>();

  @Test
  void errorInAnyThreadEndsTheProcessAfterItsLineIsWritten() throws InterruptedException {
    Thread thread =
        new Thread(
            () -> {
              throw new OutOfMemoryError("for the test");
            });
    thread.setUncaughtExceptionHandler(
        new FatalErrors(() -> calls.add("log"), status -> calls.add("halt " + status)));
    thread.start();
    thread.join();
    assertThat(calls).containsExactly("log", "halt 4");
  }

  @Test
  void processEndsThoughItsLogCanNotBeWritten() {
    FatalErrors errors =
        new FatalErrors(
            () -> {
              throw new OutOfMemoryError("for the test");
            },
            status -> calls.add("halt " + status));
    assertThatThrownBy(
            () -> errors.uncaughtException(Thread.currentThread(), new IllegalStateException()))
        .isInstanceOf(OutOfMemoryError.class);
    assertThat(calls).containsExactly("halt 4");
  }
}
