package org.fawnvale.serving.core.peer;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** How often notes cross data centres. */
class NoteSpacingTest {

  @Test
  void aSmallFleetTellsEveryNoteToAll() {
    assertThat(NoteSpacing.across(9)).isEqualTo(1);
    assertThat(NoteSpacing.isDue(7, "10.0.0.1", 9)).isTrue();
  }

  @Test
  void aDaemonOfALargeFleetHasItsTurnOnceInEachRound() {
    int every = NoteSpacing.across(60);
    assertThat(every).isGreaterThan(1);
    int due = 0;
    for (int turn = 0; turn < every; turn++) {
      due += NoteSpacing.isDue(turn, "10.0.0.1", 60) ? 1 : 0;
    }
    assertThat(due).isEqualTo(1);
  }
}
