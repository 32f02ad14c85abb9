package org.fawnvale.serving.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;

/** Timers ignore tasks that are scheduled after the stop, without an exception. */
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
}
