package org.fawnvale.serving.core.watch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * When an entry that goes is held to have lapsed.
 *
 * <p>The story: some daemons had lost the store, cut off from it or turned away, while it served
 * all others and the nodes. The entry of a node that leaves went. Daemons that had lost the store,
 * and those of their data centre, held on to it for 1.5 s as if it had lapsed, from the moment at
 * which they heard of it, a second later. Requests reached the node 2.0 to 2.3 s after its entry
 * had gone, where 2.0 s is the promise. The evidence: all daemons had logged that it left at 1.1 s
 * at the latest, and sent requests there until 2.5 s.
 */
class StoreOutagesTest {

  private static final long MILLI = 1_000_000L;
  private static final int STEP = 50;

  private final StoreOutages outages = new StoreOutages();
  private int now;

  private void pass(int millis, boolean here, boolean others) {
    int lastAnswer = now;
    for (int until = now + millis; now < until; now += STEP) {
      lastAnswer = here ? now : lastAnswer;
      outages.observe(here, others, lastAnswer * MILLI, now * MILLI);
    }
  }

  private boolean mayHaveLapsed() {
    return outages.mayHaveExpired(now * MILLI);
  }

  @Test
  void anEntryThatGoesWhileOthersHaveTheStoreHasGone() {
    pass(1_000, true, true);
    pass(4_000, false, true);
    assertThat(mayHaveLapsed()).isFalse();
    pass(100, true, true);
    assertThat(mayHaveLapsed()).isFalse();
  }

  @Test
  void oneOfADaemonWhoseNeighbourHasLostTheStoreHasGone() {
    pass(5_000, true, true);
    assertThat(mayHaveLapsed()).isFalse();
  }

  @Test
  void anEntryThatIsMissingRightAfterAnOutageOfAllMayHaveLapsed() {
    pass(1_000, true, true);
    pass(500, false, true);
    pass(3_500, false, false);
    assertThat(mayHaveLapsed()).isTrue();
    pass(200, true, true);
    assertThat(mayHaveLapsed()).isTrue();
  }

  @Test
  void othersThatFindTheStoreASecondEarlierDoNotMakeItTheirs() {
    pass(1_000, true, true);
    pass(300, false, true);
    pass(3_000, false, false);
    pass(800, false, true);
    pass(50, true, true);
    assertThat(mayHaveLapsed()).isTrue();
  }

  @Test
  void anEntryThatGoesLaterHasGone() {
    pass(1_000, true, true);
    pass(4_000, false, false);
    pass(2_100, true, true);
    assertThat(mayHaveLapsed()).isFalse();
  }

  @Test
  void noEntryLapsesInAShortOutage() {
    pass(1_000, true, true);
    pass(2_000, false, false);
    assertThat(mayHaveLapsed()).isFalse();
    pass(50, true, true);
    assertThat(mayHaveLapsed()).isFalse();
  }
}
