package org.fawnvale.core.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.fawnvale.core.limits.AdmissionQueue;
import org.fawnvale.core.limits.RequestClass;
import org.fawnvale.core.limits.RetryBudget;
import org.fawnvale.core.routing.Candidate;
import org.fawnvale.core.routing.Prefix;
import org.fawnvale.core.routing.PrefixIndex;
import org.fawnvale.core.routing.ReplicaLoad;
import org.jspecify.annotations.Nullable;

/**
 * Replays a trace of requests through the decision code of several daemons against simulated
 * replicas.
 */
public final class RequestReplay {

  private static final double NANOS_PER_MILLI = 1e6;
  private static final int WAITING_PER_FLOW = 100;
  private static final double RETRY_SHARE = 0.1;
  private static final double RETRY_RESERVE = 10;
  private static final int MAXIMUM_ATTEMPTS = 4;

  private final RequestTrace trace;
  private final RoutingPolicy policy;
  private final List<VirtualReplica> replicas = new ArrayList<>();
  private final List<VirtualDaemon> daemons = new ArrayList<>();
  private final Queue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::number));
  private final List<ReplayedRequest> replayed = new ArrayList<>();
  private long eventNumber;
  private double now;

  private record Event(double at, long number, Runnable action) {}

  /** The state of one request during the replay. */
  static final class ReplayedRequest {
    private final RequestTrace.Request request;
    private final Prefix prefix;
    private final Set<String> tried = new HashSet<>();
    private int attempts;
    private boolean refused;
    private double firstTokenAt = Double.NaN;
    private double endedAt = Double.NaN;
    private int cachedCharacters;

    ReplayedRequest(RequestTrace.Request request) {
      this.request = request;
      this.prefix = Prefix.of(prompt(request));
    }

    /**
     * Generates a prompt: a prefix common to the family, then text that is unique to the request.
     */
    private static String prompt(RequestTrace.Request request) {
      StringBuilder text = new StringBuilder(request.characters());
      while (text.length() < request.sharedCharacters()) {
        text.append(request.family()).append(text.length()).append(' ');
      }
      text.setLength(request.sharedCharacters());
      while (text.length() < request.characters()) {
        text.append(request.atMillis()).append(text.length()).append(' ');
      }
      text.setLength(request.characters());
      return text.toString();
    }

    RequestTrace.Request request() {
      return request;
    }

    Prefix prefix() {
      return prefix;
    }

    double deadline() {
      return request.atMillis() + request.deadlineMillis();
    }
  }

  /** A simulated daemon with its own queue, load estimates, prefix index and retry budgets. */
  private final class VirtualDaemon {
    private final PrefixIndex index = RoutingPolicy.newIndex();
    private final RoutingPolicy.Picker picker;
    private final AdmissionQueue<ReplayedRequest> queue = AdmissionQueue.create(WAITING_PER_FLOW);
    private final List<Candidate> candidates = new ArrayList<>();
    private final Map<String, VirtualReplica> byKey = new HashMap<>();
    private final Map<String, RetryBudget> budgets = new HashMap<>();

    VirtualDaemon(RandomGenerator random) {
      picker = policy.pickerFactory().create(index, random);
      for (int i = 0; i < replicas.size(); i++) {
        String key = "replica-" + i;
        candidates.add(new Candidate(key, new ReplicaLoad(), trace.fleet().maximumConcurrent()));
        byKey.put(key, replicas.get(i));
      }
    }

    void arrive(ReplayedRequest replayedRequest) {
      budget(replayedRequest).earn();
      if (!policy.queues()) {
        pick(replayedRequest)
            .ifPresentOrElse(
                each -> send(replayedRequest, each), () -> replayedRequest.refused = true);
        return;
      }
      RequestTrace.Request request = replayedRequest.request();
      RequestClass requestClass =
          RequestClass.parse(request.requestClass()).orElse(RequestClass.STANDARD);
      double share = trace.fleet().shares().getOrDefault(request.workspace(), 1.0);
      double weight = share * requestClass.weight();
      replayedRequest.refused =
          queue
              .offer(
                  flow(request),
                  weight,
                  nanos(replayedRequest.deadline()),
                  nanos(now),
                  replayedRequest)
              .isPresent();
      dispatch();
    }

    private RetryBudget budget(ReplayedRequest replayedRequest) {
      return budgets.computeIfAbsent(
          replayedRequest.request().workspace(),
          name -> RetryBudget.create(RETRY_SHARE, RETRY_RESERVE));
    }

    void dispatch() {
      queue.dispatch(
          nanos(now), this::pick, this::send, replayedRequest -> replayedRequest.refused = true);
    }

    private Optional<Candidate> pick(ReplayedRequest replayedRequest) {
      return picker.pick(
          candidates,
          replayedRequest.prefix(),
          candidate ->
              !byKey.get(candidate.key()).isLost()
                  && !replayedRequest.tried.contains(candidate.key()));
    }

    private void send(ReplayedRequest replayedRequest, Candidate candidate) {
      replayedRequest.attempts++;
      replayedRequest.tried.add(candidate.key());
      int expected = index.cachedCharacters(candidate.key(), replayedRequest.prefix());
      index.store(candidate.key(), replayedRequest.prefix());
      candidate.load().started();
      VirtualReplica replica = byKey.get(candidate.key());
      VirtualReplica.Attempt attempt = new VirtualReplica.Attempt(replayedRequest, replica);
      double sent = now;
      attempts.put(attempt, new Sent(this, candidate, sent, expected));
      if (replica.accept(attempt, now)) {
        schedule(attempt);
      }
    }

    void fail(ReplayedRequest replayedRequest, Candidate candidate) {
      candidate.load().ended(-1);
      boolean mayRetry =
          replayedRequest.attempts < MAXIMUM_ATTEMPTS
              && now < replayedRequest.deadline()
              && budget(replayedRequest).trySpend();
      if (mayRetry) {
        pick(replayedRequest).ifPresent(next -> send(replayedRequest, next));
      }
    }
  }

  private record Sent(VirtualDaemon daemon, Candidate candidate, double at, int expected) {}

  private final Map<VirtualReplica.Attempt, Sent> attempts = new HashMap<>();

  private RequestReplay(RequestTrace trace, RoutingPolicy policy, RandomGenerator random) {
    this.trace = trace;
    this.policy = policy;
    RequestTrace.Fleet fleet = trace.fleet();
    for (int i = 0; i < fleet.replicas(); i++) {
      replicas.add(new VirtualReplica(fleet, i == 0 ? fleet.slowFactor() : 1));
    }
    for (int i = 0; i < fleet.daemons(); i++) {
      daemons.add(new VirtualDaemon(random));
    }
  }

  /**
   * Replays a trace.
   *
   * @param random random numbers; an equally seeded generator gives the same result
   * @return the result
   */
  public static ReplayResult run(RequestTrace trace, RoutingPolicy policy, RandomGenerator random) {
    return new RequestReplay(trace, policy, random).run();
  }

  private ReplayResult run() {
    int number = 0;
    for (RequestTrace.Request request : trace.requests()) {
      ReplayedRequest replayedRequest = new ReplayedRequest(request);
      replayed.add(replayedRequest);
      VirtualDaemon daemon = daemons.get(number++ % daemons.size());
      at(request.atMillis(), () -> daemon.arrive(replayedRequest));
    }
    double last = trace.requests().get(trace.requests().size() - 1).atMillis();
    for (double tick = 0; tick < 2 * last; tick += trace.fleet().loadLagMillis()) {
      at(tick, this::reportLoads);
    }
    if (trace.fleet().lostAtMillis() >= 0) {
      at(trace.fleet().lostAtMillis(), () -> lose(replicas.get(1)));
    }
    while (!events.isEmpty()) {
      Event event = events.remove();
      now = event.at();
      event.action().run();
    }
    return result();
  }

  private void at(double millis, Runnable action) {
    events.add(new Event(millis, eventNumber++, action));
  }

  private void schedule(VirtualReplica.Attempt attempt) {
    at(attempt.firstTokenAt(), () -> firstToken(attempt));
    at(attempt.endsAt(), () -> end(attempt));
  }

  private void firstToken(VirtualReplica.Attempt attempt) {
    Sent sent = attempts.get(attempt);
    if (sent != null) {
      ReplayedRequest replayedRequest = attempt.replayedRequest();
      replayedRequest.firstTokenAt = now;
      replayedRequest.cachedCharacters = attempt.cachedCharacters();
      sent.candidate()
          .load()
          .firstToken(now - sent.at(), replayedRequest.prefix().characters() - sent.expected());
    }
  }

  private void end(VirtualReplica.Attempt attempt) {
    Sent sent = attempts.remove(attempt);
    if (sent == null) {
      return;
    }
    attempt.replayedRequest().endedAt = now;
    sent.candidate().load().ended(now - sent.at());
    sent.daemon()
        .queue
        .recordServiceTime(flow(attempt.replayedRequest().request()), nanos(now - sent.at()));
    VirtualReplica.Attempt next = attempt.replica().end(now);
    if (next != null) {
      schedule(next);
    }
    daemons.forEach(VirtualDaemon::dispatch);
  }

  private void lose(VirtualReplica replica) {
    replica.fail();
    List<VirtualReplica.Attempt> broken =
        attempts.keySet().stream().filter(attempt -> attempt.replica() == replica).toList();
    for (VirtualReplica.Attempt attempt : broken) {
      Sent sent = attempts.remove(attempt);
      sent.daemon().fail(attempt.replayedRequest(), sent.candidate());
    }
  }

  private void reportLoads() {
    for (VirtualDaemon daemon : daemons) {
      for (Candidate candidate : daemon.candidates) {
        candidate.load().reported(daemon.byKey.get(candidate.key()).outstanding());
      }
      daemon.dispatch();
    }
  }

  private static String flow(RequestTrace.Request request) {
    return request.workspace() + "/" + request.requestClass();
  }

  private static long nanos(double millis) {
    return (long) (millis * NANOS_PER_MILLI);
  }

  private ReplayResult result() {
    List<Double> firstTokens = new ArrayList<>();
    Map<String, int[]> byWorkspace = new HashMap<>();
    long characters = 0;
    long cached = 0;
    int inTimeCount = 0;
    int refused = 0;
    int retries = 0;
    for (ReplayedRequest replayedRequest : replayed) {
      int[] counts =
          byWorkspace.computeIfAbsent(replayedRequest.request().workspace(), name -> new int[2]);
      boolean inTime = replayedRequest.endedAt <= replayedRequest.deadline();
      counts[0]++;
      counts[1] += inTime ? 1 : 0;
      inTimeCount += inTime ? 1 : 0;
      refused += replayedRequest.refused ? 1 : 0;
      retries += Math.max(0, replayedRequest.attempts - 1);
      if (!Double.isNaN(replayedRequest.endedAt)) {
        firstTokens.add(replayedRequest.firstTokenAt - replayedRequest.request().atMillis());
        characters += replayedRequest.request().characters();
        cached += replayedRequest.cachedCharacters;
      }
    }
    firstTokens.sort(null);
    Map<String, Double> goodput = new HashMap<>();
    byWorkspace.forEach((name, counts) -> goodput.put(name, (double) counts[1] / counts[0]));
    double all = replayed.size();
    return new ReplayResult(
        policy.name(),
        replayed.size(),
        inTimeCount / all,
        percentile(firstTokens, 0.5),
        percentile(firstTokens, 0.95),
        percentile(firstTokens, 0.99),
        characters == 0 ? 0 : (double) cached / characters,
        refused / all,
        retries / all,
        goodput);
  }

  private static double percentile(List<Double> sorted, double share) {
    @Nullable Double value =
        sorted.isEmpty()
            ? null
            : sorted.get((int) Math.min(sorted.size() - 1L, Math.floor(sorted.size() * share)));
    return value == null ? 0 : value;
  }
}
