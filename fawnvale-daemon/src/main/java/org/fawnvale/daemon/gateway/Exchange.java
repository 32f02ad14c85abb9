package org.fawnvale.daemon.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fawnvale.core.limits.RetryBudget;
import org.fawnvale.core.outcome.Outcome;
import org.fawnvale.core.result.Result;
import org.fawnvale.http.core.NotRunStatus;
import org.fawnvale.upstream.CopyResult;
import org.fawnvale.upstream.OpenAnswer;
import org.fawnvale.upstream.OpenResult;
import org.fawnvale.upstream.UpstreamRequest;

/**
 * Runs one request in one or more attempts, each on another target.
 *
 * <p>A request that must not run twice is retried only when the failed attempt provably did not run
 * it. Every retry spends from the workspace's retry budget.
 */
final class Exchange {

  private static final int MAXIMUM_ATTEMPTS = 4;
  private static final double NANOS_PER_MILLI = 1e6;
  private static final String EVENT_STREAM = "text/event-stream";

  private final SharedComponents shared;
  private final CallerRequest request;
  private final Pool pool;
  private final Pool.TargetRequest targetRequest;
  private final String upstreamPath;
  private final RetryBudget budget;
  private final Set<String> tried = new HashSet<>();
  private boolean anyMayHaveRun;

  Exchange(
      SharedComponents shared,
      CallerRequest request,
      Pool pool,
      Pool.TargetRequest targetRequest,
      String upstreamPath,
      RetryBudget budget) {
    this.shared = shared;
    this.request = request;
    this.pool = pool;
    this.targetRequest =
        new Pool.TargetRequest(
            targetRequest.flow(),
            targetRequest.weight(),
            targetRequest.prefix(),
            targetRequest.deadline(),
            tried);
    this.upstreamPath = upstreamPath;
    this.budget = budget;
  }

  /** The result of an attempt: an answer for the caller, or the reason why the attempt failed. */
  private sealed interface Attempt {
    record Done(Answer answer) implements Attempt {}

    record Retry(String reason, boolean mayHaveRun) implements Attempt {}
  }

  /** Runs the request on the target that the pool granted, and on other targets if that fails. */
  Answer run(Target first) {
    budget.earn();
    Target target = first;
    for (int i = 1; ; i++) {
      tried.add(target.candidate().key());
      Attempt attempt = attempt(target);
      if (attempt instanceof Attempt.Done done) {
        return done.answer();
      }
      Attempt.Retry retry = (Attempt.Retry) attempt;
      anyMayHaveRun |= retry.mayHaveRun();
      Optional<Target> next = next(i, retry);
      if (next.isEmpty()) {
        return giveUp(retry);
      }
      target = next.get();
    }
  }

  private Optional<Target> next(int attempts, Attempt.Retry retry) {
    boolean mayRepeat = !retry.mayHaveRun() || !request.unsafe() && isRepeatable();
    boolean withinLimits = attempts < MAXIMUM_ATTEMPTS && !request.deadline().hasPassed();
    if (!mayRepeat || !withinLimits || !budget.trySpend()) {
      return Optional.empty();
    }
    return pool.pickForRetry(targetRequest);
  }

  /** Chat requests may be repeated; calls of plain services only if their method is GET or HEAD. */
  private boolean isRepeatable() {
    return upstreamPath.startsWith("/v1/")
        || "GET".equals(request.method())
        || "HEAD".equals(request.method());
  }

  private Answer giveUp(Attempt.Retry last) {
    if (anyMayHaveRun) {
      return ErrorAnswers.unknown(
          "No complete answer was received: " + last.reason() + ".",
          request.deadline().hasPassed());
    }
    return ErrorAnswers.unavailable("No upstream ran the request: " + last.reason() + ".", 1);
  }

  private Attempt attempt(Target target) {
    if (!shared.mayServe(target)) {
      finish(target, -1);
      return new Attempt.Retry("the upstream is no longer ready", false);
    }
    long sentNanos = shared.nowNanos();
    OpenResult opened = open(target);
    if (opened instanceof OpenResult.Opened answered) {
      return handleAnswer(target, answered.answer(), sentNanos);
    }
    finish(target, -1);
    if (opened instanceof OpenResult.Refused) {
      return new Attempt.Retry("the upstream refused the request", false);
    }
    if (opened instanceof OpenResult.NotSent notSent) {
      suspectUnlessExpired(target);
      return new Attempt.Retry(notSent.reason(), false);
    }
    suspectUnlessExpired(target);
    return new Attempt.Retry(((OpenResult.Failed) opened).reason(), true);
  }

  /** Sends the request; what fails here must not leave it counted as running at its target. */
  private OpenResult open(Target target) {
    try {
      return shared.upstream().open(message(target), request.deadline());
    } catch (RuntimeException e) {
      finish(target, -1);
      throw e;
    }
  }

  private void suspectUnlessExpired(Target target) {
    if (!request.deadline().hasPassed()) {
      shared.suspect(target);
    }
  }

  private UpstreamRequest message(Target target) {
    Map<String, String> headers = new HashMap<>();
    headers.put("Content-Type", request.contentType());
    headers.put(Gateway.REQUEST_ID_HEADER, request.key() == null ? request.id() : request.key());
    boolean engine = target.replica() != null;
    return new UpstreamRequest(
        target.node().address(),
        request.method(),
        target.node().path() + upstreamPath,
        headers,
        request.body(),
        shared.nextHop(),
        engine,
        request.unsafe());
  }

  private Attempt handleAnswer(Target target, OpenAnswer answer, long sentNanos) {
    String key = target.candidate().key();
    int cached = shared.index().cachedCharacters(key, targetRequest.prefix());
    shared.index().store(key, targetRequest.prefix());
    if (NotRunStatus.includes(answer.status())) {
      answer.close();
      finish(target, -1);
      return new Attempt.Retry("status " + answer.status() + " though it may have run", true);
    }
    if (answer.isEventStream()) {
      Map<String, String> headers = Map.of("Content-Type", EVENT_STREAM);
      return new Attempt.Done(
          new Answer.Streamed(
              answer.status(),
              headers,
              out -> copy(target, answer, new TokenTimer(target, sentNanos, cached, out))));
    }
    try (answer) {
      Result<byte[]> body = answer.readWhole(shared.settings().limits().answerBytes());
      long millis = TimeUnit.NANOSECONDS.toMillis(shared.nowNanos() - sentNanos);
      finish(target, body.isSuccess() ? millis : -1);
      return body.fold(
          bytes -> new Attempt.Done(whole(answer, bytes)),
          problem -> {
            suspectUnlessExpired(target);
            return new Attempt.Retry(problem.message(), true);
          });
    }
  }

  private static Answer.Whole whole(OpenAnswer answer, byte[] body) {
    Outcome outcome = new Outcome.Answered();
    Map<String, String> headers =
        Map.of("Content-Type", answer.contentType(), Answer.OUTCOME_HEADER, outcome.label());
    return new Answer.Whole(outcome, answer.status(), headers, body);
  }

  private CopyResult copy(Target target, OpenAnswer answer, TokenTimer timer) {
    try (answer) {
      CopyResult result = answer.copyTo(timer, shared.settings().limits().answerBytes());
      boolean whole = result instanceof CopyResult.Whole;
      long millis = TimeUnit.NANOSECONDS.toMillis(shared.nowNanos() - timer.sentNanos);
      finish(target, whole ? millis : -1);
      if (result instanceof CopyResult.Torn) {
        suspectUnlessExpired(target);
      }
      return result;
    }
  }

  private void finish(Target target, double millis) {
    target.candidate().load().ended(millis);
    if (millis >= 0) {
      pool.recordServiceTime(targetRequest.flow(), (long) (millis * NANOS_PER_MILLI));
    }
    pool.dispatch();
  }

  /** Measures the time to the first piece of a stream and the time between its pieces. */
  private final class TokenTimer extends OutputStream {

    private final Target target;
    private final OutputStream out;
    private final long sentNanos;
    private final int cached;
    private long last;
    private boolean first = true;

    TokenTimer(Target target, long sentNanos, int cached, OutputStream out) {
      this.target = target;
      this.out = out;
      this.sentNanos = sentNanos;
      this.cached = cached;
      this.last = sentNanos;
    }

    @Override
    public void write(int value) throws IOException {
      write(new byte[] {(byte) value}, 0, 1);
    }

    @Override
    public void write(byte[] buffer, int offset, int length) throws IOException {
      long now = shared.nowNanos();
      if (first) {
        shared
            .metrics()
            .recordTimeToFirstToken(request.workspace(), request.requestClass(), now - last);
        target
            .candidate()
            .load()
            .firstToken(
                (now - sentNanos) / NANOS_PER_MILLI, targetRequest.prefix().characters() - cached);
      } else {
        shared
            .metrics()
            .recordInterTokenTime(request.workspace(), request.requestClass(), now - last);
      }
      first = false;
      last = now;
      out.write(buffer, offset, length);
    }

    @Override
    public void flush() throws IOException {
      out.flush();
    }
  }
}
