package org.fawnvale.dist;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.fawnvale.soak.Soak;
import org.junit.jupiter.api.Test;

/**
 * A short soak test of the built jar: daemons run as processes under overlapping faults. Seeds that
 * exposed a defect are kept here as regression tests.
 */
class SoakTest {

  private static final String TARGET =
      Path.of(System.getProperty("fawnvale.root", ".."), "target").toString();

  /**
   * Tolerance for a daemon that reads a response later than half a second for lack of processor
   * time. Retry-After pauses in the run last 1.5 to 6 s.
   */
  private static final String SLACK_MILLIS = "1500";

  private static final String SILENCE_SEED = "911";

  private static String runSoak(int expectedExit, String... arguments) throws Exception {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
    int exit = Soak.run(out, arguments);
    String report = bytes.toString(StandardCharsets.UTF_8);
    assertThat(exit).as(report).isEqualTo(expectedExit);
    return report;
  }

  /** Runs the short soak in which every second fault is one of the given kinds. */
  private static void runSoakWithFrequent(String faults) throws Exception {
    runSoakWithFrequent(faults, "1");
  }

  private static void runSoakWithFrequent(String faults, String seed) throws Exception {
    runSoak(
        0,
        "--target",
        TARGET,
        "--seed",
        seed,
        "--seconds",
        "15",
        "--often",
        faults,
        "--slack-ms",
        SLACK_MILLIS);
  }

  @Test
  void invariantsHoldUnderOverlappingFaults() throws Exception {
    runSoak(0, "--target", TARGET, "--seed", "1", "--seconds", "15", "--slack-ms", SLACK_MILLIS);
  }

  /** The store is repeatedly restored while daemons stop and configurations change. */
  @Test
  void invariantsHoldWhileTheStoreIsRepeatedlyRestored() throws Exception {
    runSoakWithFrequent("store-goes-back,routes-added,leaves-quietly");
  }

  /** Workers repeatedly name limits while daemons stop and freeze. */
  @Test
  void invariantsHoldWhileWorkersNameLimits() throws Exception {
    runSoakWithFrequent("limit-of-one,limits-of-all,limit-that-changes,limit-garbled");
  }

  /** Data centres are repeatedly evacuated while the store goes back and daemons stop. */
  @Test
  void invariantsHoldWhileDataCentresAreEvacuated() throws Exception {
    runSoakWithFrequent("evacuation");
  }

  /** Daemons are cut off from all workers while they stop, freeze and the store goes down. */
  @Test
  void callersOfDaemonsCutOffFromAllUpstreamsAreServed() throws Exception {
    runSoakWithFrequent("cut-from-workers", "2");
  }

  /** Prompt parts crash workers while daemons stop, freeze and the store goes down. */
  @Test
  void promptPartsThatCrashWorkersAreStoppedAndSoundRequestsServed() throws Exception {
    runSoakWithFrequent("crashing-parts", "3");
  }

  /** Workers break off streams that have neither a length nor chunks. */
  @Test
  void answersThatEndWithTheirConnectionAreNeverTakenForWholeWhenBrokenOff() throws Exception {
    runSoakWithFrequent("answers-unframed");
  }

  /** All workers, most, or one after the other stand still for about a second, and go on. */
  @Test
  void soundUpstreamsThatFallSilentTogetherLoseNoAnswer() throws Exception {
    runSoak(
        0,
        "--target",
        TARGET,
        "--seed",
        SILENCE_SEED,
        "--seconds",
        "15",
        "--only",
        "silence",
        "--slack-ms",
        SLACK_MILLIS);
  }

  /** All workers of a service fail most requests while daemons are killed, stop and freeze. */
  @Test
  void retriesOfAllLivesOfAllDaemonsStayWithinRatioAndSlack() throws Exception {
    runSoakOnly("retries,daemon-stop,daemon-freeze,store-down");
  }

  /** Workers send bodies and events that never end. */
  @Test
  void daemonsOutliveAnswersThatNeverEnd() throws Exception {
    runSoakOnly("answers-endless,daemon-stop,store-down");
  }

  /** Crowds of clients misbehave while daemons stop, workers are full and the store is down. */
  @Test
  void daemonsOutliveCallersThatMisbehave() throws Exception {
    runSoakOnly("misbehaving-callers,daemon-stop,turned-away,store-down");
  }

  /** Workers send answers and rejections a second time, where the next answer is due. */
  @Test
  void answersThatComeTwiceCountForNoOtherRequest() throws Exception {
    runSoakOnly("answers-twice,daemon-stop,daemon-freeze,leaves-in-answers");
  }

  /** Workers cut answers of all kinds by the end of their connection. */
  @Test
  void answersThatTheEndOfTheirConnectionCutsAreNeverTakenForWhole() throws Exception {
    runSoakOnly("answers-cut,answers-unframed,daemon-stop,rest-of-all");
  }

  /** Workers spoil heads, sizes and promises, and entries are no JSON, beside restarts and load. */
  @Test
  void spoiltAnswersAndEntriesAreNeverBelieved() throws Exception {
    runSoakOnly("answers-spoilt,entries-spoilt,daemon-stop,rest-of-all");
  }

  /** Streams stand still at workers that answer calls, beside others that are full. */
  @Test
  void streamsThatStandStillBesideFullWorkersAreNotCut() throws Exception {
    runSoakOnly("streams-held");
  }

  /** Daemons restart in series while workers break off and stand still, and routes change. */
  @Test
  void invariantsHoldWhileDaemonsRestartInSeries() throws Exception {
    runSoakOnly("restarts-in-series,daemon-kill");
  }

  private static void runSoakOnly(String faults) throws Exception {
    runSoak(
        0,
        "--target",
        TARGET,
        "--seed",
        "1",
        "--seconds",
        "12",
        "--only",
        faults,
        "--slack-ms",
        SLACK_MILLIS);
  }

  @Test
  void invalidArgumentsAreRejected() throws Exception {
    runSoak(2, "--target", TARGET, "--daemons", "1");
    runSoak(2, "--target", TARGET, "--seed", "many");
    runSoak(2, "--target", TARGET, "--often", "rain");
    runSoak(2, "--target", TARGET, "--only", "rain");
    runSoak(2, "--target", TARGET + "/none");
  }
}
