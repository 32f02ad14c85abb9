package org.fawnvale.serving.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.junit.jupiter.api.Test;

/**
 * Guards against harmless requests that are quarantined because they ran beside a faulty request,
 * or on heads that were lost for other reasons: 13 heads, 60 requests per second of 1.5 s each, a
 * head lost every three seconds, and a caller that repeats the faulty request every half second.
 */
class QuarantineFalsePositiveTest {

  private static final int RUNS = 1_000;
  private static final int STEP_MILLIS = 10;
  private static final int LENGTH_MILLIS = 20_000;
  private static final int HEADS = 13;
  private static final int RUN_MILLIS = 1_500;
  private static final int ARRIVAL_MILLIS = 1_000 / 60;
  private static final int LOSS_MILLIS = 3_000;
  private static final int FAULTY_INTERVAL_MILLIS = 500;
  private static final int FAULTY_RUN_MILLIS = 70;
  private static final int DOWN_MILLIS = 4_400;

  /** Two nodes for each of two attempts of a caller. */
  private static final int MAX_TRIES = 4;

  /** Harmless requests that may be rejected in all runs together. */
  private static final int MAX_REJECTED = 50;

  private static final long MILLI = 1_000_000L;
  private static final Fingerprint FAULTY = new Fingerprint(0);

  private int harmless;
  private int harmlessRejected;
  private int headsEndedByFaulty;

  private static final class Running {
    final Fingerprint fingerprint;
    int head;
    int startedMillis;
    int tries = 1;

    Running(Fingerprint fingerprint, int head, int startedMillis) {
      this.fingerprint = fingerprint;
      this.head = head;
      this.startedMillis = startedMillis;
    }
  }

  /**
   * One run. {@code maxFailures} may be lower than the limit of {@link Quarantine}, so the test
   * itself counts the failures.
   */
  private final class Simulation {
    final Random random;
    final int maxFailures;
    final Quarantine quarantine = new Quarantine();
    final List<Running> running = new ArrayList<>();
    final int[] downUntil = new int[HEADS];
    int incarnations;
    long requests;

    Simulation(long seed, int maxFailures) {
      this.random = new Random(seed);
      this.maxFailures = maxFailures;
    }

    void run(boolean withFaulty) {
      for (int now = 0; now < LENGTH_MILLIS; now += STEP_MILLIS) {
        int time = now;
        if (now % ARRIVAL_MILLIS < STEP_MILLIS) {
          requests++;
          harmless++;
          start(new Fingerprint(requests), now);
        }
        if (withFaulty && now % FAULTY_INTERVAL_MILLIS == 0) {
          start(FAULTY, now);
        }
        if (random.nextInt(LOSS_MILLIS / STEP_MILLIS) == 0) {
          end(random.nextInt(HEADS), now);
        }
        endHeadsOfFaulty(now);
        running.removeIf(request -> isCompleted(request, time));
      }
    }

    private boolean isCompleted(Running request, int now) {
      boolean done = now - request.startedMillis >= RUN_MILLIS;
      if (done) {
        quarantine.recordResponse(request.fingerprint, now * MILLI);
      }
      return done;
    }

    private void endHeadsOfFaulty(int now) {
      for (Running request : List.copyOf(running)) {
        boolean ends =
            request.fingerprint.equals(FAULTY) && now - request.startedMillis >= FAULTY_RUN_MILLIS;
        if (ends && running.contains(request)) {
          headsEndedByFaulty++;
          end(request.head, now);
        }
      }
    }

    private boolean isQuarantined(Fingerprint fingerprint) {
      return quarantine.failureCount(fingerprint) >= maxFailures;
    }

    private void start(Fingerprint fingerprint, int now) {
      int head = freeHead(now);
      if (head >= 0 && !isQuarantined(fingerprint)) {
        running.add(new Running(fingerprint, head, now));
      }
    }

    private int freeHead(int now) {
      int head = random.nextInt(HEADS);
      return downUntil[head] <= now ? head : -1;
    }

    private void end(int head, int now) {
      incarnations++;
      downUntil[head] = now + DOWN_MILLIS;
      NodeIncarnation incarnation = NodeIncarnation.only("n" + incarnations);
      for (Running request : List.copyOf(running)) {
        if (request.head == head) {
          quarantine.recordFailure(request.fingerprint, incarnation, now * MILLI);
          retryElsewhere(request, now);
        }
      }
    }

    private void retryElsewhere(Running request, int now) {
      int nextHead = freeHead(now);
      boolean quarantined = isQuarantined(request.fingerprint);
      boolean retries = nextHead >= 0 && !quarantined && request.tries < MAX_TRIES;
      if (quarantined && request.tries < MAX_TRIES && !request.fingerprint.equals(FAULTY)) {
        harmlessRejected++;
      }
      request.tries++;
      request.head = nextHead;
      request.startedMillis = now;
      if (!retries) {
        running.remove(request);
      }
    }
  }

  private void run(int maxFailures, boolean withFaulty) {
    for (int round = 0; round < RUNS; round++) {
      new Simulation(20_261_203L + round, maxFailures).run(withFaulty);
    }
  }

  @Test
  void harmlessRequestsAreSeldomRejectedWhenHeadsAreLost() {
    run(Quarantine.MAX_FAILURES, false);
    assertThat(harmless).isEqualTo(1_250_000);
    assertThat(harmlessRejected).isLessThanOrEqualTo(MAX_REJECTED);
  }

  @Test
  void faultyRequestEndsThreeHeadsAndHarmlessOnesAreSeldomRejected() {
    run(Quarantine.MAX_FAILURES, true);
    assertThat(headsEndedByFaulty).isLessThanOrEqualTo(Quarantine.MAX_FAILURES * RUNS);
    assertThat(harmlessRejected).isLessThanOrEqualTo(MAX_REJECTED);
  }

  @Test
  void limitOfTwoFailuresWouldRejectManyHarmlessRequests() {
    run(Quarantine.MAX_FAILURES - 1, true);
    assertThat(harmlessRejected).isGreaterThan(20 * MAX_REJECTED);
  }
}
