package org.fawnvale.serving.core.pace;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Which pace daemons attribute to a head by the pauses of its streams and by peers' reports. */
class HeadPacesTest {

  private static final long MILLI = 1_000_000L;
  private static final double PASS_MILLIS = 45;

  private final HeadPaces paces = new HeadPaces();
  private long now;

  private static Node head(long epoch) {
    return new Node(
        NodeIncarnation.only("h"),
        "engines",
        new Endpoint("10.0.0.1", 1),
        "here",
        10,
        false,
        "domain",
        "large",
        List.of(),
        new Membership("g" + epoch, epoch, 0, MemberState.OPEN));
  }

  /** Passes of a head with several streams, each of which gets its event at the same time. */
  private void passes(Node head, int count, double pace, int streams) {
    for (int pass = 0; pass < count; pass++) {
      long pause = (long) (pace * PASS_MILLIS * MILLI);
      now += pause;
      for (int stream = 0; stream < streams; stream++) {
        paces.recordEvent(head, pause, PASS_MILLIS, now + stream * MILLI / 10);
      }
    }
    paces.update(Map.of(), now);
  }

  private double pace() {
    return paces.of("h");
  }

  /** Guards against a pace that depends on the number of streams, or saturates. */
  @ParameterizedTest
  @CsvSource({"1,1", "2,1", "5,1", "12,1", "1,9", "2,9", "5,9", "12,9"})
  void theObservedPaceIsTheFactorOfThePauses(double factor, int streams) {
    paces.setHeads(List.of(head(1)), now);
    passes(head(1), 20, factor, streams);
    assertThat(pace()).isEqualTo(factor);
  }

  /** Guards against news that comes too late to place requests elsewhere. */
  @ParameterizedTest
  @ValueSource(doubles = {3, 5, 12})
  void aHeadThatTurnsSlowIsKnownWithinOneAndAHalfSeconds(double factor) {
    paces.setHeads(List.of(head(1)), now);
    passes(head(1), 20, 1, 3);
    long begin = now;
    while (!paces.isSlow("h")) {
      passes(head(1), 1, factor, 3);
    }
    assertThat((now - begin) / MILLI).isBetween(200L, 1_700L);
    begin = now;
    while (paces.isSlow("h")) {
      passes(head(1), 1, 1, 3);
    }
    assertThat((now - begin) / MILLI).isLessThanOrEqualTo(600);
  }

  /** Guards against a busy head of normal pace that is avoided since it prefills prompts. */
  @Test
  void passesThatPrefillDoNotMakeAHeadSlow() {
    paces.setHeads(List.of(head(1)), now);
    passes(head(1), 12, 1, 5);
    for (int round = 0; round < 20; round++) {
      passes(head(1), 1, 4, 5);
      assertThat(paces.isSlow("h")).isFalse();
      passes(head(1), 1, 1.4, 5);
      passes(head(1), 1, 7, 5);
      assertThat(paces.isSlow("h")).isFalse();
      passes(head(1), 2, 1.4, 5);
    }
  }

  /** Guards against a stalled head whose last pace makes it look merely slow for ever. */
  @Test
  void thePaceIsGoneTwoSecondsAfterTheLastEvent() {
    paces.setHeads(List.of(head(1)), now);
    passes(head(1), 5, 12, 1);
    paces.update(Map.of(), now + 1_999 * MILLI);
    assertThat(pace()).isEqualTo(12);
    paces.update(Map.of(), now + 2_001 * MILLI);
    assertThat(pace()).isEqualTo(1);
    assertThat(paces.reported()).isEmpty();
  }

  /** Guards against a mended group that is avoided because its head led a slow group before. */
  @Test
  void aNewGroupOfTheSameHeadStartsWithNormalPace() {
    paces.setHeads(List.of(head(1)), now);
    passes(head(1), 5, 5, 1);
    long begin = now;
    paces.setHeads(List.of(head(2)), begin);
    passes(head(1), 3, 5, 1);
    paces.update(Map.of("h", 5.0), begin + 700 * MILLI);
    assertThat(pace()).isEqualTo(1);
    paces.update(Map.of("h", 5.0), begin + 2_000 * MILLI);
    assertThat(pace()).isEqualTo(5);
  }

  /** Guards against a head that only peers know to be slow, and one that no longer serves. */
  @Test
  void theSlowerOfOwnAndPeersObservationsCounts() {
    paces.setHeads(List.of(head(1)), now);
    passes(head(1), 12, 1.6, 1);
    assertThat(paces.reported()).containsOnlyKeys("h");
    paces.update(Map.of("h", 3.0, "gone", 9.0), now);
    assertThat(pace()).isEqualTo(3);
    assertThat(paces.of("gone")).isEqualTo(1);
    passes(head(1), 12, 1.4, 1);
    assertThat(paces.reported()).isEmpty();
  }

  /**
   * Lets a head pause, after which its streams go on one pass after the other, and tells whether it
   * counted as slow at any moment of the second after it.
   */
  private boolean isSlowAfterPause(long pauseMillis, int streams, double passMillis) {
    long pass = (long) (passMillis * MILLI);
    long[] last = new long[streams];
    Arrays.fill(last, now);
    now += pauseMillis * MILLI;
    boolean slow = false;
    for (int index = 0; index * passMillis < 1_000; index++) {
      now += pass;
      for (int stream = Math.min(streams, index + 1) - 1; stream >= 0; stream--) {
        paces.recordEvent(head(1), now - last[stream], passMillis, now);
        last[stream] = now;
        paces.update(Map.of(), now);
        slow |= paces.isSlow("h");
      }
    }
    return slow;
  }

  private void normalPasses(int streams, double passMillis) {
    for (int pass = 0; pass < 20; pass++) {
      now += (long) (passMillis * MILLI);
      for (int stream = 0; stream < streams; stream++) {
        paces.recordEvent(head(1), (long) (passMillis * MILLI), passMillis, now);
      }
    }
    paces.update(Map.of(), now);
  }

  /** Guards against a sound head that is avoided, and its streams moved, after it paused. */
  @ParameterizedTest
  @CsvSource({
    "700,1,45",
    "1200,1,45",
    "1200,3,45",
    "1200,6,45",
    "1200,12,45",
    "1900,6,45",
    "1200,3,90",
    "1200,6,150",
    "2500,6,20"
  })
  void aPauseIsNoPace(long pauseMillis, int streams, double passMillis) {
    paces.setHeads(List.of(head(1)), now);
    normalPasses(streams, passMillis);
    assertThat(isSlowAfterPause(pauseMillis, streams, passMillis)).isFalse();
    assertThat(isSlowAfterPause(pauseMillis, streams, passMillis)).isFalse();
  }

  /** Guards against a head that is avoided after two pauses with a few passes between. */
  @ParameterizedTest
  @ValueSource(longs = {60, 150, 300, 500})
  void twoPausesInARowAreNoPace(long betweenMillis) {
    paces.setHeads(List.of(head(1)), now);
    normalPasses(4, PASS_MILLIS);
    for (int round = 0; round < 2; round++) {
      passes(head(1), 1, 1_200 / PASS_MILLIS, 4);
      assertThat(paces.isSlow("h")).isFalse();
      for (long millis = 0; millis < betweenMillis; millis += (long) PASS_MILLIS) {
        passes(head(1), 1, 1, 4);
        assertThat(paces.isSlow("h")).isFalse();
      }
    }
  }
}
