package org.fawnvale.daemon.gateway;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.apache.commons.codec.digest.DigestUtils;
import org.fawnvale.core.claims.IssuedRequestKeys;
import org.fawnvale.core.outcome.Outcome;
import org.fawnvale.daemon.Context;
import org.fawnvale.daemon.claim.ClaimResult;
import org.fawnvale.daemon.claim.ClaimService;

/**
 * Runs each unsafe request at most once per request key.
 *
 * <p>A key that the caller chose is claimed in the platform's store before the request is sent. A
 * key that this incarnation of the daemon issued is checked in memory. A request with a key that
 * another daemon issued is forwarded to that daemon.
 */
final class AtMostOnceExecutor {

  private static final long CLAIM_TIMEOUT_MILLIS = 5000;

  private final Context context;
  private final ClaimService claims;
  private final IssuedRequestKeys issuedKeys;
  private final AnswerCache cache;
  private final IssuerRoute issuerRoute;
  private final AtomicLong attempts = new AtomicLong();

  /**
   * Forwards a request to the daemon that issued its key; empty if that daemon is not reachable.
   */
  @FunctionalInterface
  interface IssuerRoute {
    Optional<Answer> send(IssuedRequestKeys.Issuer maker, CallerRequest request);
  }

  AtMostOnceExecutor(
      Context context, ClaimService claims, IssuedRequestKeys issuedKeys, IssuerRoute issuerRoute) {
    this.context = context;
    this.claims = claims;
    this.issuedKeys = issuedKeys;
    this.cache = new AnswerCache(context.settings().limits().keptAnswers());
    this.issuerRoute = issuerRoute;
  }

  String makeKey() {
    return issuedKeys.issue();
  }

  /** Runs a request unless its key was used before; issues a key if the request has none. */
  Answer run(CallerRequest request, Function<CallerRequest, Answer> runner) {
    String key = request.key();
    if (key == null) {
      CallerRequest keyed = request.withKey(issuedKeys.issue());
      return runIssued(keyed, runner);
    }
    Optional<IssuedRequestKeys.Issuer> maker = IssuedRequestKeys.issuerOf(key);
    if (maker.isEmpty()) {
      return runClaimed(request, runner);
    }
    boolean own = maker.get().incarnation().equals(context.identity().incarnation());
    if (own) {
      return runIssued(request, runner);
    }
    if (request.forwarded()) {
      return issuerGone();
    }
    return issuerRoute.send(maker.get(), request).orElseGet(AtMostOnceExecutor::issuerGone);
  }

  private static Answer issuerGone() {
    return ErrorAnswers.unknown(
        "The daemon that issued this key is not reachable; the request may have run.", false);
  }

  private Answer runIssued(CallerRequest request, Function<CallerRequest, Answer> runner) {
    String key = request.key();
    String digest = digest(request);
    IssuedRequestKeys.UseResult use = issuedKeys.use(key);
    if (use == IssuedRequestKeys.UseResult.FOREIGN) {
      return ErrorAnswers.badInput(
          "bad_key",
          "The key " + key + " was not issued by this daemon.",
          "Fetch one by POST /v1/request-keys.");
    }
    if (use == IssuedRequestKeys.UseResult.REPEATED) {
      return answerRepeated(digest);
    }
    Answer answer = runner.apply(request);
    if (didNotRun(answer)) {
      issuedKeys.release(key);
    }
    cacheAnswer(digest, answer);
    return answer;
  }

  private Answer runClaimed(CallerRequest request, Function<CallerRequest, Answer> runner) {
    String digest = digest(request);
    String owner = context.holder() + "/" + attempts.incrementAndGet();
    long timeout = Math.min(CLAIM_TIMEOUT_MILLIS, request.deadline().remainingMillis());
    long claimStartNanos = context.nowNanos();
    ClaimResult verdict = claims.claim(digest, owner, timeout);
    switch (verdict.verdict()) {
      case GRANTED -> {
        if (isTooOld(claimStartNanos)) {
          return ErrorAnswers.unavailable("Claiming the request key took too long.", 1);
        }
        Answer answer = runner.apply(request);
        if (didNotRun(answer)) {
          claims.release(digest, owner, CLAIM_TIMEOUT_MILLIS);
        }
        cacheAnswer(digest, answer);
        return answer;
      }
      case HELD -> {
        return answerRepeated(digest);
      }
      case FULL -> {
        return ErrorAnswers.overloaded("Too many request keys are claimed at the moment.", 60);
      }
      default -> {
        return ErrorAnswers.unavailable("The request key could not be claimed in the platform.", 1);
      }
    }
  }

  /** Returns whether the claim took more than half its window and may expire during the request. */
  private boolean isTooOld(long claimStartNanos) {
    long millis = (context.nowNanos() - claimStartNanos) / 1_000_000;
    return millis > context.settings().timing().claimWindowMillis() / 2;
  }

  private Answer answerRepeated(String digest) {
    Optional<Answer.Whole> answer = cache.find(digest);
    if (answer.isPresent()) {
      return answer.get();
    }
    String message = "A request with this key was accepted before; it may have run.";
    return ErrorAnswers.keyAlreadyUsed(message, new Outcome.Unknown(message));
  }

  private void cacheAnswer(String digest, Answer answer) {
    if (answer instanceof Answer.Whole whole && whole.outcome() instanceof Outcome.Answered) {
      cache.put(digest, whole);
    }
  }

  private static boolean didNotRun(Answer answer) {
    return answer instanceof Answer.Whole whole && whole.outcome() instanceof Outcome.NotRun;
  }

  /** Hashes the key with the workspace, so that equal keys of different workspaces are distinct. */
  private static String digest(CallerRequest request) {
    return DigestUtils.sha256Hex(request.workspace() + "\n" + request.key()).substring(0, 32);
  }
}
