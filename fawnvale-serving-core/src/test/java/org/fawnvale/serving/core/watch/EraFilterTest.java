package org.fawnvale.serving.core.watch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** What answers of other histories of the store are good for. */
class EraFilterTest {

  private static final long SECOND = 1_000_000_000L;
  private static final StorePosition SHOWN = new StorePosition(new StoreEra(4), 120);

  private final EraFilter rule = new EraFilter();

  private EraFilter.Action changes(long era, long atNanos) {
    return rule.evaluate(new StoreEra(era), SHOWN, SHOWN, atNanos);
  }

  private EraFilter.Action list(long era, long atNanos) {
    return rule.evaluate(new StoreEra(era), SHOWN, StorePosition.NONE, atNanos);
  }

  @Test
  void answersOfTheSameHistoryAreTaken() {
    assertThat(changes(4, 0)).isEqualTo(EraFilter.Action.APPLY);
    assertThat(list(4, 0)).isEqualTo(EraFilter.Action.APPLY);
  }

  @Test
  void theFirstAnswerIsTakenWhateverItsHistory() {
    assertThat(rule.evaluate(new StoreEra(9), StorePosition.NONE, StorePosition.NONE, 0))
        .isEqualTo(EraFilter.Action.APPLY);
  }

  @Test
  void changesOfALaterHistoryLeadToAListWhichIsTaken() {
    assertThat(changes(5, 0)).isEqualTo(EraFilter.Action.RELIST);
    assertThat(list(5, 0)).isEqualTo(EraFilter.Action.APPLY);
    assertThat(list(7, 0)).isEqualTo(EraFilter.Action.APPLY);
  }

  /** The copy of another daemon came in the meantime, and the call was made before. */
  @Test
  void changesSinceAPlaceOfAnEarlierHistoryLeadToAListThoughTheCopyShowsTheLaterOne() {
    StorePosition asked = new StorePosition(new StoreEra(3), 130);
    assertThat(rule.evaluate(new StoreEra(4), SHOWN, asked, 0)).isEqualTo(EraFilter.Action.RELIST);
  }

  @Test
  void anAnswerOfAnEarlierHistoryChangesNothing() {
    assertThat(list(3, 0)).isEqualTo(EraFilter.Action.DISCARD);
    assertThat(changes(3, SECOND)).isEqualTo(EraFilter.Action.DISCARD);
    assertThat(changes(0, 2 * SECOND)).isEqualTo(EraFilter.Action.DISCARD);
  }

  @Test
  void aStoreThatTellsNothingElseHasBeenSetUpAnew() {
    assertThat(list(3, 0)).isEqualTo(EraFilter.Action.DISCARD);
    assertThat(list(3, 4 * SECOND)).isEqualTo(EraFilter.Action.DISCARD);
    assertThat(changes(3, 5 * SECOND)).isEqualTo(EraFilter.Action.RELIST);
    assertThat(list(3, 5 * SECOND)).isEqualTo(EraFilter.Action.APPLY);
  }

  @Test
  void oneAnswerOfTheKnownHistoryShowsThatTheOthersWereLate() {
    assertThat(list(3, 0)).isEqualTo(EraFilter.Action.DISCARD);
    assertThat(changes(4, 4 * SECOND)).isEqualTo(EraFilter.Action.APPLY);
    assertThat(list(3, 6 * SECOND)).isEqualTo(EraFilter.Action.DISCARD);
  }
}
