package org.fawnvale.serving.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against upstreams that pause and are taken for failed, and failed ones that are not. */
class SilenceCheckTest {

  private static final long MILLI = 1_000_000L;

  private final SilenceCheck check = new SilenceCheck(0);

  private SilenceCheck.Finding findingAt(long millis) {
    return check.finding(millis * MILLI);
  }

  @Test
  void refusedConnectionIsFoundAtOnce() {
    check.disconnected();
    assertThat(findingAt(0)).isEqualTo(SilenceCheck.Finding.DISCONNECTED);
  }

  @Test
  void connectionThatDoesNotOpenIsFoundInTimeForTheStall() {
    assertThat(findingAt(74)).isEqualTo(SilenceCheck.Finding.PENDING);
    assertThat(findingAt(75)).isEqualTo(SilenceCheck.Finding.UNREACHABLE);
  }

  @Test
  void processThatAcceptsAConnectionAndDoesNotAnswerPauses() {
    check.connected(MILLI);
    assertThat(findingAt(75)).isEqualTo(SilenceCheck.Finding.PENDING);
    assertThat(findingAt(77)).isEqualTo(SilenceCheck.Finding.PAUSES);
    assertThat(findingAt(1_500)).isEqualTo(SilenceCheck.Finding.PAUSES);
  }

  @Test
  void processThatAnswersAtOnceDoesNotPause() {
    check.connected(MILLI);
    check.answered(3 * MILLI);
    assertThat(findingAt(50)).isEqualTo(SilenceCheck.Finding.ANSWERS);
  }

  @Test
  void lateAnswerShowsThatAPauseHasEnded() {
    check.connected(MILLI);
    check.answered(900 * MILLI);
    assertThat(findingAt(900)).isEqualTo(SilenceCheck.Finding.RETURNED);
  }

  @Test
  void connectionThatBreaksShowsNothingAndTheUpstreamIsAskedAgain() {
    check.connected(MILLI);
    check.broken();
    assertThat(findingAt(400)).isEqualTo(SilenceCheck.Finding.PENDING);
    assertThat(check.isOutdated(false, 2 * MILLI)).isTrue();
  }

  @Test
  void delayOfTheDaemonItselfDoesNotCount() {
    check.prolong(500 * MILLI);
    assertThat(findingAt(550)).isEqualTo(SilenceCheck.Finding.PENDING);
    check.connected(550 * MILLI);
    check.prolong(300 * MILLI);
    assertThat(findingAt(880)).isEqualTo(SilenceCheck.Finding.PENDING);
  }

  @Test
  void answerTellsNothingLater() {
    check.connected(MILLI);
    check.answered(2 * MILLI);
    assertThat(check.isOutdated(false, 42 * MILLI)).isFalse();
    assertThat(check.isOutdated(false, 43 * MILLI)).isTrue();
    assertThat(check.isOutdated(true, 252 * MILLI)).isFalse();
    assertThat(check.isOutdated(true, 253 * MILLI)).isTrue();
  }

  @Test
  void upstreamThatPausesIsAskedAgain() {
    check.connected(MILLI);
    assertThat(check.isOutdated(false, 1_000 * MILLI)).isFalse();
    assertThat(check.isOutdated(false, 1_001 * MILLI)).isTrue();
  }

  private SilenceCheck memberOfAHeadThatAnswers() {
    check.connected(MILLI);
    check.answered(2 * MILLI);
    return check.addMember(2 * MILLI);
  }

  @Test
  void headThatAnswersAndWaitsForAMemberThatPausesPausesItself() {
    memberOfAHeadThatAnswers().connected(3 * MILLI);
    assertThat(findingAt(50)).isEqualTo(SilenceCheck.Finding.PENDING);
    assertThat(findingAt(80)).isEqualTo(SilenceCheck.Finding.PAUSES);
    assertThat(check.isOutdated(false, 900 * MILLI)).isFalse();
  }

  @Test
  void headThatAnswersBesideAMemberThatIsLostHasStalled() {
    memberOfAHeadThatAnswers().connected(3 * MILLI);
    check.addMember(2 * MILLI).disconnected();
    assertThat(findingAt(80)).isEqualTo(SilenceCheck.Finding.ANSWERS);
  }

  @Test
  void headThatAnswersIsNotAskedAgainBeforeTheFindingOfItsMemberIsKnown() {
    SilenceCheck member = memberOfAHeadThatAnswers();
    assertThat(check.isOutdated(false, 70 * MILLI)).isFalse();
    assertThat(findingAt(80)).isEqualTo(SilenceCheck.Finding.MEMBER_UNREACHABLE);
    assertThat(check.isOutdated(false, 500 * MILLI)).isFalse();
    assertThat(check.isOutdated(false, 1_001 * MILLI)).isTrue();
    member.broken();
    member.connected(3 * MILLI);
    assertThat(check.isOutdated(false, 70 * MILLI)).isTrue();
  }

  @Test
  void memberThatAnswersLateShowsThatThePauseOfItsGroupHasEnded() {
    SilenceCheck member = memberOfAHeadThatAnswers();
    member.connected(3 * MILLI);
    member.answered(900 * MILLI);
    assertThat(findingAt(900)).isEqualTo(SilenceCheck.Finding.RETURNED);
  }
}
