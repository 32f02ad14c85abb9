package org.fawnvale.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The checks of sound workers that fall silent find what breaks them. */
class SilenceChecksTest {

  private static final long MILLI = 1_000_000L;
  private static final String GROUP = "d-1~g1";
  private static final long SILENCE_MILLIS = 1_000;
  private static final long SILENCE_AT = 10_000;
  private static final long SILENCE_END = SILENCE_AT + SILENCE_MILLIS;

  private final List<Event> events = new ArrayList<>();

  private Verdict judge(String check) {
    return Checks.all(500, 4_000).get(check).judge(new RunHistory(events));
  }

  private void fallSilent() {
    events.clear();
    events.add(new Event.Silent(SILENCE_AT * MILLI, "g1", SILENCE_MILLIS));
  }

  private void attempt(long sentMillis, long answeredMillis, int status) {
    events.add(new Event.Sent(sentMillis * MILLI, "a-1", 1, RequestKind.STREAM));
    Answer answer = new Answer(status, "", "", "");
    events.add(new Event.Answered(answeredMillis * MILLI, "a-1", answer));
  }

  private void attemptInSilence(int status) {
    fallSilent();
    attempt(SILENCE_AT + 100, SILENCE_END + 100, status);
  }

  @Test
  void answerBrokenOffInASilenceIsABreach() {
    for (int status : new int[] {Answer.NONE, 502, 504}) {
      attemptInSilence(status);
      assertThat(judge("whole-in-silence").breaches()).hasSize(1);
    }
    for (int status : new int[] {200, 429, 503}) {
      attemptInSilence(status);
      assertThat(judge("whole-in-silence").breaches()).isEmpty();
      assertThat(judge("whole-in-silence").tempted()).isEqualTo(1);
    }
  }

  @Test
  void answerBrokenOffAfterItsDeadlineIsNoBreach() {
    fallSilent();
    attempt(SILENCE_AT - 4_700, SILENCE_AT + 50, 504);
    assertThat(judge("whole-in-silence").breaches()).hasSize(1);
    fallSilent();
    attempt(SILENCE_AT - 4_900, SILENCE_AT + 100, 504);
    assertThat(judge("whole-in-silence").breaches()).isEmpty();
  }

  @Test
  void streamLostAtItsDeadlineThoughItsWorkerHadTimeToAnswerIsABreach() {
    long began = SILENCE_AT - 100;
    fallSilent();
    attempt(began, began + 5_000, Answer.NONE);
    events.add(new Event.Began(began * MILLI, "a-1", "g1"));
    assertThat(judge("whole-in-silence").breaches()).hasSize(1);
    events.add(new Event.Silent((SILENCE_END + 100) * MILLI, "g1", 3_100));
    assertThat(judge("whole-in-silence").breaches()).isEmpty();
    events.add(new Event.Silent((SILENCE_END + 100) * MILLI, "g3", 9_000));
    assertThat(judge("whole-in-silence").breaches()).isEmpty();
  }

  @Test
  void attemptsOutsideASilenceAreNotJudged() {
    fallSilent();
    attempt(SILENCE_AT - 300, SILENCE_AT - 1, Answer.NONE);
    assertThat(judge("whole-in-silence").tempted()).isZero();
    fallSilent();
    attempt(SILENCE_END + 499, SILENCE_END + 600, Answer.NONE);
    assertThat(judge("whole-in-silence").breaches()).hasSize(1);
    fallSilent();
    attempt(SILENCE_END + 501, SILENCE_END + 600, Answer.NONE);
    assertThat(judge("whole-in-silence").tempted()).isZero();
  }

  @Test
  void attemptsThatOtherTroublesMayHaveCostAreNotJudged() {
    List<Event> troubles =
        List.of(
            new Event.Signalled(SILENCE_AT * MILLI, 1, "stop"),
            new Event.WorkersCut(SILENCE_AT * MILLI, 1, true),
            new Event.Impaired(SILENCE_AT * MILLI, "g7", 500));
    for (Event trouble : troubles) {
      attemptInSilence(Answer.NONE);
      events.add(trouble);
      assertThat(judge("whole-in-silence").tempted()).as(trouble.toString()).isZero();
    }
    List<Event> others =
        List.of(
            new Event.Signalled(SILENCE_AT * MILLI, 2, "stop"),
            new Event.WorkersCut(SILENCE_AT * MILLI, 2, true),
            new Event.Configured(SILENCE_AT * MILLI, 2),
            new Event.Impaired((SILENCE_AT - 3_000) * MILLI, "g7", 500));
    for (Event other : others) {
      attemptInSilence(Answer.NONE);
      events.add(other);
      assertThat(judge("whole-in-silence").breaches()).as(other.toString()).hasSize(1);
    }
  }

  @Test
  void attemptThatAPlannedStopCutsOffAfterItBeganIsABreach() {
    attemptInSilence(Answer.NONE);
    events.add(new Event.Signalled((SILENCE_AT + 200) * MILLI, 1, "stop"));
    assertThat(judge("whole-in-silence").tempted()).isZero();
    events.add(new Event.Began((SILENCE_AT + 110) * MILLI, "a-1", "g1"));
    assertThat(judge("whole-in-silence").breaches()).hasSize(1);
    events.add(new Event.Signalled((SILENCE_AT + 300) * MILLI, 1, "freeze"));
    assertThat(judge("whole-in-silence").tempted()).isZero();
  }

  @Test
  void attemptAtADaemonThatIsNotStartedAgainIsNotJudgedUnlessAWorkerBeganIt() {
    long longBefore = (SILENCE_AT - 5_000) * MILLI;
    attemptInSilence(Answer.NONE);
    events.add(0, new Event.Signalled(longBefore, 1, "stop"));
    assertThat(judge("whole-in-silence").tempted()).isZero();
    events.add(new Event.Began((SILENCE_AT + 110) * MILLI, "a-1", "g1"));
    assertThat(judge("whole-in-silence").breaches()).hasSize(1);
    for (String what : List.of("start", "thaw")) {
      attemptInSilence(Answer.NONE);
      events.add(0, new Event.Signalled(longBefore, 1, "stop"));
      events.add(1, new Event.Signalled(longBefore + MILLI, 1, what));
      assertThat(judge("whole-in-silence").breaches()).as(what).hasSize(1);
    }
  }

  @Test
  void forwardedAttemptIsNotJudgedBesideASignalToAnyDaemon() {
    attemptInSilence(502);
    events.add(new Event.Forwarded(SILENCE_END * MILLI, "a-1"));
    assertThat(judge("whole-in-silence").breaches()).hasSize(1);
    events.add(new Event.Signalled(SILENCE_AT * MILLI, 2, "kill"));
    assertThat(judge("whole-in-silence").tempted()).isZero();
  }

  @Test
  void attemptThatBeginsTwiceInASilenceIsABreach() {
    attemptInSilence(200);
    events.add(new Event.Began((SILENCE_AT + 110) * MILLI, "a-1", "g1"));
    assertThat(judge("once-in-silence").breaches()).isEmpty();
    assertThat(judge("once-in-silence").tempted()).isEqualTo(1);
    events.add(new Event.Began(SILENCE_END * MILLI, "a-1", "g3"));
    assertThat(judge("once-in-silence").breaches()).hasSize(1);
    events.add(new Event.Signalled(SILENCE_AT * MILLI, 1, "kill"));
    assertThat(judge("once-in-silence").breaches()).isEmpty();
  }

  private void dissolve(String reason, long decidedMillis, long endedMillis, boolean whole) {
    fallSilent();
    events.add(new Event.GroupOpened(1_000 * MILLI, GROUP, 1));
    events.add(new Event.Dissolved(decidedMillis * MILLI, GROUP, 1, reason));
    events.add(new Event.GroupEnded(endedMillis * MILLI, GROUP, 1, whole));
  }

  @Test
  void soundGroupDissolvedInASilenceIsABreach() {
    for (String reason : List.of("its head stands still", "a member is missing or broken")) {
      dissolve(reason, SILENCE_AT + 400, SILENCE_END + 10, true);
      assertThat(judge("groups-kept-in-silence").breaches()).hasSize(1);
      assertThat(judge("groups-kept-in-silence").tempted()).isEqualTo(1);
      dissolve(reason, SILENCE_END + 999, SILENCE_END + 1_500, true);
      assertThat(judge("groups-kept-in-silence").breaches()).hasSize(1);
      dissolve(reason, SILENCE_END + 1_001, SILENCE_END + 1_500, true);
      assertThat(judge("groups-kept-in-silence").breaches()).isEmpty();
    }
  }

  @Test
  void groupDissolvedForAnotherReasonOrALostMemberIsNoBreach() {
    dissolve("its nodes go to another model", SILENCE_AT + 400, SILENCE_END + 10, true);
    assertThat(judge("groups-kept-in-silence").breaches()).isEmpty();
    dissolve("its head stands still", SILENCE_AT + 400, SILENCE_END + 10, false);
    events.add(new Event.MemberLost((SILENCE_AT + 100) * MILLI, "g2", GROUP, 1));
    assertThat(judge("groups-kept-in-silence").breaches()).isEmpty();
    dissolve("its head stands still", SILENCE_AT + 400, SILENCE_END + 10, false);
    events.add(new Event.MemberLost((SILENCE_AT + 100) * MILLI, "g2", "d-2~g3", 2));
    assertThat(judge("groups-kept-in-silence").breaches()).hasSize(1);
  }

  @Test
  void groupDissolvedBesideOtherTroublesIsNotJudged() {
    long shortlyBefore = (SILENCE_AT - 200) * MILLI;
    List<Event> troubles =
        List.of(
            new Event.Signalled(shortlyBefore, 2, "thaw"),
            new Event.WorkersCut(shortlyBefore, 2, true),
            new Event.StoreTrouble(shortlyBefore, true),
            new Event.Impaired(shortlyBefore, "g7", 500));
    for (Event trouble : troubles) {
      dissolve("its head stands still", SILENCE_AT + 400, SILENCE_END + 10, true);
      events.add(trouble);
      assertThat(judge("groups-kept-in-silence").breaches()).as(trouble.toString()).isEmpty();
    }
    dissolve("its head stands still", SILENCE_AT + 400, SILENCE_END + 10, true);
    events.add(new Event.Signalled(shortlyBefore, 2, "stop"));
    events.add(new Event.Configured(shortlyBefore, 2));
    assertThat(judge("groups-kept-in-silence").breaches()).hasSize(1);
  }

  @Test
  void groupWhoseHeadNeverGetsTheOrderIsABreach() {
    fallSilent();
    events.add(new Event.GroupOpened(1_000 * MILLI, GROUP, 1));
    events.add(new Event.Dissolved((SILENCE_AT + 400) * MILLI, GROUP, 1, "its head stands still"));
    assertThat(judge("groups-kept-in-silence").breaches()).hasSize(1);
  }

  @Test
  void timesUntilLostMembersAreFoundAreReported() {
    for (int group = 1; group <= 4; group++) {
      events.add(new Event.MemberLost(1_000 * MILLI, "g" + group, GROUP, group));
      events.add(new Event.MemberLost(1_050 * MILLI, "h" + group, GROUP, group));
    }
    for (int group = 1; group <= 3; group++) {
      long at = (1_000 + 100L * group) * MILLI;
      events.add(new Event.Dissolved(at, GROUP, group, "a member is missing or broken"));
    }
    DeathReport report = DeathReport.of(new RunHistory(events));
    assertThat(report.lost()).isEqualTo(4);
    assertThat(report.found()).isEqualTo(3);
    assertThat(report.medianMillis()).isEqualTo(200);
    assertThat(report.ninetiethMillis()).isEqualTo(300);
    assertThat(report.largestMillis()).isEqualTo(300);
    assertThat(report.plus(report).lost()).isEqualTo(8);
  }

  private void holdBesideAFullWorker(int status) {
    events.clear();
    events.add(new Event.StreamsHeld(SILENCE_AT * MILLI, "g1", SILENCE_MILLIS));
    events.add(new Event.Full(SILENCE_AT * MILLI, "g2", SILENCE_MILLIS));
    events.add(new Event.Impaired(SILENCE_AT * MILLI, "g2", SILENCE_MILLIS));
    attempt(SILENCE_AT - 100, SILENCE_AT + 400, status);
    events.add(new Event.Began((SILENCE_AT - 90) * MILLI, "a-1", "g1"));
  }

  @Test
  void streamCutWhileItStandsStillBesideFullWorkersIsABreach() {
    holdBesideAFullWorker(Answer.NONE);
    assertThat(judge("whole-when-held").breaches()).hasSize(1);
    holdBesideAFullWorker(200);
    assertThat(judge("whole-when-held").breaches()).isEmpty();
    assertThat(judge("whole-when-held").tempted()).isEqualTo(1);
  }

  @Test
  void streamCutBesideAWorkerThatFailsIsExcused() {
    holdBesideAFullWorker(Answer.NONE);
    events.add(new Event.Impaired(SILENCE_AT * MILLI, "g3", SILENCE_MILLIS));
    assertThat(judge("whole-when-held").tempted()).isZero();
  }
}
