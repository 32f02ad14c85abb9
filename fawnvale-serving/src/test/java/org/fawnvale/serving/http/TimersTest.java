package org.fawnvale.serving.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** Timers ignore tasks that are scheduled after the stop, and keep no error to themselves. */
class TimersTest {

  @Test
  void tasksScheduledAfterTheStopAreIgnored() {
    Timers timers = new Timers(new Object());
    AtomicBoolean ran = new AtomicBoolean();
    timers.stop();
    assertThatCode(() -> timers.after(0, () -> ran.set(true))).doesNotThrowAnyException();
    assertThatCode(() -> timers.every(1, () -> ran.set(true))).doesNotThrowAnyException();
    assertThat(ran).isFalse();
  }

  /** Guards against a daemon that runs on after an error in the thread of its timers. */
  @Test
  void errorInATaskReachesTheHandlerOfUncaughtExceptions() throws Exception {
    CompletableFuture<Throwable> handled = new CompletableFuture<>();
    Error error = new OutOfMemoryError("for the test");
    Timers timers = new Timers(new Object());
    timers.after(
        0,
        () -> {
          Thread.currentThread()
              .setUncaughtExceptionHandler((thread, cause) -> handled.complete(cause));
          throw error;
        });
    assertThat(handled.get(10, TimeUnit.SECONDS)).isSameAs(error);
    timers.stop();
  }
}
