package org.fawnvale.soak;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawnvale.standins.UsersConfiguration;

/** The checks of a run, by name. */
final class Checks {

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final int MAX_REQUESTS_IN_PAUSE = 2;
  private static final int MAX_CRASHES = 3;

  /** How long the report of the third crash may take to reach all daemons. */
  private static final long PROPAGATION_NANOS = 3_000_000_000L;

  private Checks() {}

  /**
   * Returns all checks by name.
   *
   * @param slackMillis how long a daemon may take to process a response with Retry-After
   * @param leavingMillis how long requests may reach a worker after it reports that it is leaving,
   *     and how long daemons may take to apply a configuration that the store accepted
   */
  static Map<String, Check> all(long slackMillis, long leavingMillis) {
    Map<String, Check> checks = new LinkedHashMap<>();
    checks.put("rest", history -> retryAfterPause(history, slackMillis * NANOS_PER_MILLI));
    checks.put("leaving", history -> leaving(history, leavingMillis * NANOS_PER_MILLI));
    checks.put("limit", LimitCheck::respected);
    checks.put("cold", ColdCheck::respected);
    checks.put("unsafe-once", Checks::unsafeOnce);
    checks.put("refused-is-true", Checks::refusedNeverRuns);
    checks.put("own-answer", Checks::matchingAnswer);
    checks.put("whole-stream", Checks::completeStream);
    checks.put("attempts", Checks::attempts);
    checks.put("ends", Checks::crashingRequests);
    checks.put(
        "in-force", history -> StoreChecks.applied(history, leavingMillis * NANOS_PER_MILLI));
    checks.put("never-back", StoreChecks::neverRolledBack);
    checks.put(
        "leaving-listed",
        history -> StoreChecks.leavingListed(history, leavingMillis * NANOS_PER_MILLI));
    checks.put("evacuated", EvacuationCheck::respected);
    checks.put("others-served", SilentReaders::othersAreServed);
    checks.put("cut-off-served", WorkerCutCheck::othersServe);
    checks.put("uneven-served", UnevenConnections::served);
    checks.put("part-stopped", CrashingPartCheck::stopped);
    checks.put("part-others-served", CrashingPartCheck::othersServed);
    checks.put("whole-in-silence", SilenceCheck::answersAreWhole);
    checks.put("once-in-silence", SilenceCheck::attemptsBeginOnce);
    checks.put("groups-kept-in-silence", KeptGroupsCheck::groupsAreKept);
    checks.put("whole-when-held", HeldStreamsFault::answersAreWhole);
    checks.put("retries-in-budget", RetryCheck::withinBudget);
    checks.put("daemons-run-on", EndlessAnswersFault::daemonsRunOn);
    checks.put("answers-delivered", RepeatedAnswersFault::answersAreDelivered);
    checks.put("whole-answer", CutAnswersFault::plainBodiesAreWhole);
    return checks;
  }

  /** A daemon sends a worker at most two requests during the Retry-After pause it received. */
  private static Verdict retryAfterPause(RunHistory history, long slackNanos) {
    Verdict.Builder verdict = new Verdict.Builder();
    Map<String, Event.Sent> sent = history.sentByOwnDaemon();
    List<Event.Arrived> arrivals = history.all(Event.Arrived.class);
    for (Event.Asked asked : history.all(Event.Asked.class)) {
      Integer daemon = RunHistory.daemonOf(sent, asked.attempt());
      long pauseEnd = asked.atNanos() + asked.restMillis() * NANOS_PER_MILLI;
      long until = Math.min(pauseEnd, history.nextRestartNanos(asked.worker(), asked.atNanos()));
      if (asked.restMillis() == 0 || daemon == null) {
        continue;
      }
      verdict.countCase();
      long count =
          arrivals.stream()
              .filter(event -> event.worker().equals(asked.worker()))
              .filter(event -> daemon.equals(RunHistory.daemonOf(sent, event.attempt())))
              .filter(event -> event.atNanos() > asked.atNanos() + slackNanos)
              .filter(event -> event.atNanos() < until)
              .count();
      if (count > MAX_REQUESTS_IN_PAUSE
          && !history.wasSignalled(daemon, asked.atNanos(), until)
          && !history.wasCutFromWorkers(daemon, asked.atNanos(), until)) {
        verdict.addBreach(
            asked.worker()
                + " asked daemon "
                + daemon
                + " for rest and got "
                + count
                + " requests");
      }
    }
    return verdict.build();
  }

  /** After the bound, a daemon sends no new request to a worker that reported it is leaving. */
  private static Verdict leaving(RunHistory history, long boundNanos) {
    Verdict.Builder verdict = new Verdict.Builder();
    Map<String, Event.Sent> sent = history.sentByOwnDaemon();
    Map<String, Long> reported = new HashMap<>();
    for (Event event : history.events()) {
      if (event instanceof Event.Asked asked && asked.leaving()) {
        Integer daemon = RunHistory.daemonOf(sent, asked.attempt());
        reported.putIfAbsent(asked.worker() + " " + daemon, asked.atNanos());
      } else if (event instanceof Event.Arrived arrived) {
        Event.Sent request = sent.get(arrived.attempt());
        Long since =
            request == null ? null : reported.get(arrived.worker() + " " + request.daemon());
        if (request == null || since == null) {
          continue;
        }
        verdict.countCase();
        boolean late = request.atNanos() - since > boundNanos;
        if (late && !history.wasSignalled(request.daemon(), since, arrived.atNanos())) {
          verdict.addBreach(arrived.attempt() + " reached " + arrived.worker() + ", which leaves");
        }
      }
    }
    return verdict.build();
  }

  private static Verdict unsafeOnce(RunHistory history) {
    Verdict.Builder verdict = new Verdict.Builder();
    Map<String, List<String>> began = history.beganAt();
    for (Event.Sent sent : history.all(Event.Sent.class)) {
      List<String> workers = began.getOrDefault(sent.attempt(), List.of());
      if (!sent.kind().isRepeatable() && !workers.isEmpty()) {
        verdict.countCase();
        if (workers.size() > 1) {
          verdict.addBreach(sent.attempt() + " is unsafe and began at " + workers);
        }
      }
    }
    return verdict.build();
  }

  /** An unsafe request that a daemon refused as "not run" never runs, before or afterwards. */
  private static Verdict refusedNeverRuns(RunHistory history) {
    Verdict.Builder verdict = new Verdict.Builder();
    Map<String, Event.Sent> sent = history.sent();
    Map<String, List<String>> began = history.beganAt();
    for (Event.Answered answered : history.all(Event.Answered.class)) {
      Event.Sent request = sent.get(answered.attempt());
      boolean unsafe = request != null && !request.kind().isRepeatable();
      if (unsafe && answered.answer().saysNotRun()) {
        verdict.countCase();
        if (began.containsKey(answered.attempt())) {
          verdict.addBreach(answered.attempt() + " was refused and ran");
        }
      }
    }
    return verdict.build();
  }

  /** A successful response has the id of its request and the signature of a worker that ran it. */
  private static Verdict matchingAnswer(RunHistory history) {
    Verdict.Builder verdict = new Verdict.Builder();
    Map<String, List<String>> began = history.beganAt();
    for (Event.Answered answered : history.all(Event.Answered.class)) {
      Answer answer = answered.answer();
      if (!answer.isSuccess()) {
        continue;
      }
      verdict.countCase();
      List<String> workers = began.getOrDefault(answered.attempt(), List.of());
      boolean matches =
          answer.attempt().equals(answered.attempt()) && workers.contains(answer.signature());
      if (!matches) {
        verdict.addBreach(answered.attempt() + " got the answer " + answer);
      }
    }
    return verdict.build();
  }

  /** A stream that ends normally contains each event once and in order. */
  private static Verdict completeStream(RunHistory history) {
    StringBuilder whole = new StringBuilder();
    for (int event = 1; event <= UsersConfiguration.EVENTS; event++) {
      whole.append("id: ").append(event).append("\ndata: ").append(event).append("\n\n");
    }
    Verdict.Builder verdict = new Verdict.Builder();
    Map<String, Event.Sent> sent = history.sent();
    for (Event.Answered answered : history.all(Event.Answered.class)) {
      Event.Sent request = sent.get(answered.attempt());
      boolean stream = request != null && request.kind() == RequestKind.STREAM;
      if (stream && answered.answer().isSuccess()) {
        verdict.countCase();
        if (!whole.toString().equals(answered.answer().body())) {
          verdict.addBreach(answered.attempt() + " got the stream " + answered.answer().body());
        }
      }
    }
    return verdict.build();
  }

  /** A request runs on at most as many workers as allowed, not counting workers that crashed. */
  private static Verdict attempts(RunHistory history) {
    Verdict.Builder verdict = new Verdict.Builder();
    Set<String> crashes = new HashSet<>();
    history.all(Event.Ended.class).forEach(end -> crashes.add(end.attempt() + " " + end.worker()));
    history
        .beganAt()
        .forEach(
            (attempt, workers) -> {
              long count =
                  workers.stream()
                      .distinct()
                      .filter(worker -> !crashes.contains(attempt + " " + worker))
                      .count();
              if (workers.size() > 1) {
                verdict.countCase();
              }
              if (count > UsersConfiguration.MOST_ATTEMPTS) {
                verdict.addBreach(attempt + " ran at " + workers);
              }
            });
    return verdict.build();
  }

  /**
   * After a request has crashed three workers and the daemons had time to learn of it, requests
   * with the same body reach workers at most three more times.
   */
  private static Verdict crashingRequests(RunHistory history) {
    Verdict.Builder verdict = new Verdict.Builder();
    Map<String, Long> known = knownAfterThreeCrashes(history);
    Map<String, Integer> sends = new HashMap<>();
    Map<String, Event.Sent> sent = history.sent();
    for (Event.Sent request : sent.values()) {
      if (isSentAfterPropagation(request, known)) {
        verdict.countCase();
      }
    }
    for (Event.Arrived arrived : history.all(Event.Arrived.class)) {
      Event.Sent request = sent.get(arrived.attempt());
      if (request != null && isSentAfterPropagation(request, known)) {
        sends.merge(Callers.bodyOf(arrived.attempt()), 1, Integer::sum);
      }
    }
    sends.forEach(
        (body, count) -> {
          if (count > MAX_CRASHES) {
            verdict.addBreach(body + " was sent " + count + " times after it had ended three");
          }
        });
    return verdict.build();
  }

  /** Returns when all daemons must know each request that crashed three workers, by body. */
  private static Map<String, Long> knownAfterThreeCrashes(RunHistory history) {
    Map<String, Integer> crashes = new HashMap<>();
    Map<String, Long> known = new HashMap<>();
    for (Event.Ended end : history.all(Event.Ended.class)) {
      String body = Callers.bodyOf(end.attempt());
      if (crashes.merge(body, 1, Integer::sum) == MAX_CRASHES) {
        known.put(body, end.atNanos() + PROPAGATION_NANOS);
      }
    }
    return known;
  }

  private static boolean isSentAfterPropagation(Event.Sent request, Map<String, Long> known) {
    Long since = known.get(Callers.bodyOf(request.attempt()));
    return since != null && request.atNanos() > since;
  }
}
