package org.fawnvale.serving.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against a silence that most upstreams share and that is laid to each of them alone. */
class HeardUpstreamsTest {

  private static final long MILLI = 1_000_000L;

  private final Map<String, UpstreamState> others = new HashMap<>();
  private final UpstreamState silent = streamingUntil(0);

  /** Returns the state of an upstream whose only stream had its last event then. */
  private static UpstreamState streamingUntil(long millis) {
    UpstreamState state = new UpstreamState();
    state.requestSent(millis * MILLI);
    state.responseStarted();
    state.recordProgress(millis * MILLI);
    return state;
  }

  private HeardUpstreams countedAt(long millis) {
    return HeardUpstreams.count(others, silent, millis * MILLI);
  }

  @Test
  void upstreamsThatFellSilentALittleLaterAreNotHeard() {
    others.put("a", streamingUntil(40));
    others.put("b", streamingUntil(70));
    assertThat(countedAt(150)).isEqualTo(new HeardUpstreams(0, 2));
    assertThat(countedAt(150).isSilenceShared()).isTrue();
    assertThat(HeardUpstreams.unheard(others, silent, 150 * MILLI)).isEqualTo(Set.of("a", "b"));
  }

  @Test
  void silenceBesideUpstreamsThatGoOnIsNotShared() {
    others.put("a", streamingUntil(140));
    others.put("b", streamingUntil(30));
    assertThat(countedAt(150)).isEqualTo(new HeardUpstreams(1, 2));
    assertThat(countedAt(150).isSilenceShared()).isFalse();
    assertThat(HeardUpstreams.unheard(others, silent, 150 * MILLI)).isEqualTo(Set.of("b"));
  }

  @Test
  void silenceIsSharedWhereOneOfTenGoesOn() {
    others.put("a", streamingUntil(140));
    for (int number = 0; number < 8; number++) {
      others.put("silent" + number, streamingUntil(10));
    }
    assertThat(countedAt(150).isSilenceShared()).isTrue();
  }

  @Test
  void silenceIsNotSharedWhereHalfOfTheUpstreamsHaveFailed() {
    for (int number = 0; number < 5; number++) {
      others.put("sound" + number, streamingUntil(140));
      others.put("failed" + number, streamingUntil(10));
    }
    assertThat(countedAt(150).isSilenceShared()).isFalse();
  }

  @Test
  void upstreamsWithoutStreamsTellNothing() {
    others.put("idle", new UpstreamState());
    assertThat(countedAt(150)).isEqualTo(new HeardUpstreams(0, 0));
    assertThat(countedAt(150).isSilenceShared()).isFalse();
  }
}
