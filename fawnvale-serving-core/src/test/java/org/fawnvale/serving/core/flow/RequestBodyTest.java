package org.fawnvale.serving.core.flow;

import static org.assertj.core.api.Assertions.assertThat;

import org.fawnvale.serving.core.model.Settings;
import org.junit.jupiter.api.Test;

/** Guards against half-read bodies that fill the total and wait for each other. */
class RequestBodyTest {

  private static final long MILLI = 1_000_000L;

  private final CallerMemory memory =
      new CallerMemory(new Settings.CallerBuffers(100, 1_000, 1_000));
  private final RequestBody first = new RequestBody(memory);
  private final RequestBody second = new RequestBody(memory);

  @Test
  void admittedBodyKeepsItsRoomUntilItIsReleased() {
    first.received(10, 0);
    second.received(10, 0);
    assertThat(first.tryAdmit(500, 0)).isTrue();
    assertThat(second.tryAdmit(500, 0)).isFalse();
    first.received(490, 0);
    first.complete();
    assertThat(second.tryAdmit(500, 0)).isFalse();
    first.release();
    assertThat(second.tryAdmit(500, 0)).isTrue();
  }

  @Test
  void bodyThatEndsEarlyGivesBackTheRestOfItsRoom() {
    assertThat(first.tryAdmit(700, 0)).isTrue();
    first.received(10, 0);
    first.complete();
    assertThat(second.tryAdmit(700, 0)).isTrue();
  }

  @Test
  void onlyBodyIsAdmittedWhateverItsLength() {
    assertThat(first.tryAdmit(5_000, 0)).isTrue();
    assertThat(second.tryAdmit(1, 0)).isFalse();
  }

  @Test
  void waitingBodyIsRefusedInTime() {
    first.tryAdmit(700, 0);
    assertThat(second.hasWaitedTooLong(60_000 * MILLI)).isFalse();
    second.tryAdmit(100, 0);
    second.tryAdmit(100, 900 * MILLI);
    assertThat(second.hasWaitedTooLong(999 * MILLI)).isFalse();
    assertThat(second.hasWaitedTooLong(1_000 * MILLI)).isTrue();
  }

  @Test
  void bodyThatDoesNotArriveGivesUpItsRoomOnlyWhenOthersWait() {
    first.tryAdmit(700, 0);
    first.received(10, 0);
    assertThat(first.isStalled(60_000 * MILLI)).isFalse();
    second.tryAdmit(100, 0);
    assertThat(first.isStalled(999 * MILLI)).isFalse();
    assertThat(first.isStalled(1_000 * MILLI)).isTrue();
    second.release();
    assertThat(first.isStalled(1_000 * MILLI)).isFalse();
  }

  @Test
  void nothingStaysCountedAfterTheRelease() {
    first.received(10, 0);
    first.tryAdmit(500, 0);
    first.release();
    first.received(20, 0);
    first.release();
    assertThat(memory.held()).isZero();
    assertThat(second.tryAdmit(750, 0)).isTrue();
  }
}
