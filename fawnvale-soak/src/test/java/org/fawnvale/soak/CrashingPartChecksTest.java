package org.fawnvale.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against breaches where all are refused alike, and against a check that finds none. */
class CrashingPartChecksTest {

  private static final long SECOND = 1_000_000_000L;
  private static final String CRASHING = "crashing_f00_middle_";
  private static final Answer SERVED = new Answer(200, "", "", "");
  private static final Answer REFUSED = new Answer(503, "", "", "");

  private final List<Event> events = new ArrayList<>();

  private void send(long at, String attempt, Answer answer) {
    events.add(new Event.Sent(at, attempt, 0, RequestKind.STREAM));
    events.add(new Event.Answered(at, attempt, answer));
  }

  /** Sound requests whose prompts begin with the part of the crashing ones, or with others. */
  private void sendSound(boolean sharesPart, int count, int served) {
    int sent = 0;
    for (int number = 0; sent < count; number++) {
      String body = "prompt" + number;
      if ("c0".equals(PromptParts.firstPartOf(body)) == sharesPart) {
        send(10 * SECOND + sent, body + "-0", sent < served ? SERVED : REFUSED);
        sent++;
      }
    }
  }

  @ParameterizedTest
  @CsvSource({
    "22, 0, 46, 23, 1",
    "48, 0, 79, 79, 1",
    "91, 1, 184, 20, 1",
    "46, 23, 46, 23, 0",
    "91, 1, 184, 7, 0",
    "19, 0, 46, 46, 0"
  })
  void sharesAreComparedWhereOthersAreServed(
      int same, int sameServed, int others, int othersServed, int breaches) {
    send(0, CRASHING + "0-0", REFUSED);
    events.add(new Event.Ended(SECOND, CRASHING + "0-0", "w"));
    sendSound(true, same, sameServed);
    sendSound(false, others, othersServed);
    send(20 * SECOND, CRASHING + "1-0", REFUSED);
    Verdict verdict = CrashingPartCheck.othersServed(new RunHistory(events));
    assertThat(verdict.breaches()).hasSize(breaches);
  }
}
