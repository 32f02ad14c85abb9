package org.fawnvale.daemon.gateway;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.apache.commons.codec.digest.DigestUtils;
import org.fawnvale.core.claims.IssuedRequestKeys;
import org.fawnvale.core.outcome.Outcome;
import org.fawnvale.daemon.Context;
import org.fawnvale.daemon.claim.ClaimService;
import org.fawnvale.daemon.claim.Verdict;

/**
 * Lets each unsafe request run at most once.
 *
 * <p>A caller's own key is claimed through the platform before anything is sent. A key that this
 * daemon made is honoured here, once, without any write; one that another daemon made is handed to
 * that daemon.
 */
final class OnceGuard {

  private static final long CLAIM_MILLIS = 5000;

  private final Context context;
  private final ClaimService claims;
  private final IssuedRequestKeys issuedKeys;
  private final KeptAnswers kept;
  private final MakerRoute makers;
  private final AtomicLong attempts = new AtomicLong();

  /** Hands a request to the daemon that made its key. */
  @FunctionalInterface
  interface MakerRoute {
    Optional<Answer> send(IssuedRequestKeys.Issuer maker, CallerRequest request);
  }

  OnceGuard(Context context, ClaimService claims, IssuedRequestKeys issuedKeys, MakerRoute makers) {
    this.context = context;
    this.claims = claims;
    this.issuedKeys = issuedKeys;
    this.kept = new KeptAnswers(context.settings().limits().keptAnswers());
    this.makers = makers;
  }

  String makeKey() {
    return issuedKeys.issue();
  }

  /** Runs a request under its key, unless that key was used before. */
  Answer run(CallerRequest request, Function<CallerRequest, Answer> runner) {
    String key = request.key();
    if (key == null) {
      CallerRequest keyed = request.withKey(issuedKeys.issue());
      return runMade(keyed, runner);
    }
    Optional<IssuedRequestKeys.Issuer> maker = IssuedRequestKeys.issuerOf(key);
    if (maker.isEmpty()) {
      return runClaimed(request, runner);
    }
    boolean own = maker.get().incarnation().equals(context.identity().incarnation());
    if (own) {
      return runMade(request, runner);
    }
    if (request.forwarded()) {
      return gone();
    }
    return makers.send(maker.get(), request).orElseGet(OnceGuard::gone);
  }

  private static Answer gone() {
    return Refusals.unknown("The daemon that made this key is gone; it may have run.", false);
  }

  private Answer runMade(CallerRequest request, Function<CallerRequest, Answer> runner) {
    String key = request.key();
    String digest = digest(request);
    IssuedRequestKeys.UseResult use = issuedKeys.use(key);
    if (use == IssuedRequestKeys.UseResult.FOREIGN) {
      return Refusals.badInput(
          "bad_key", "The key " + key + " was never made.", "Fetch one by POST /v1/request-keys.");
    }
    if (use == IssuedRequestKeys.UseResult.REPEATED) {
      return repeated(digest);
    }
    Answer answer = runner.apply(request);
    if (didNotRun(answer)) {
      issuedKeys.release(key);
    }
    keep(digest, answer);
    return answer;
  }

  private Answer runClaimed(CallerRequest request, Function<CallerRequest, Answer> runner) {
    String digest = digest(request);
    String owner = context.holder() + "/" + attempts.incrementAndGet();
    long timeout = Math.min(CLAIM_MILLIS, request.deadline().remainingMillis());
    long asked = context.nowNanos();
    Verdict verdict = claims.claim(digest, owner, timeout);
    switch (verdict.verdict()) {
      case GRANTED -> {
        if (isOld(asked)) {
          return Refusals.unavailable("The claim of its key took too long.", 1);
        }
        Answer answer = runner.apply(request);
        if (didNotRun(answer)) {
          claims.giveBack(digest, owner, CLAIM_MILLIS);
        }
        keep(digest, answer);
        return answer;
      }
      case HELD -> {
        return repeated(digest);
      }
      case FULL -> {
        return Refusals.overloaded("Too many request keys are remembered at the moment.", 60);
      }
      default -> {
        return Refusals.unavailable("The platform did not take the claim of its key.", 1);
      }
    }
  }

  /** A claim that is older than half its window may lapse before the request has run. */
  private boolean isOld(long askedNanos) {
    long millis = (context.nowNanos() - askedNanos) / 1_000_000;
    return millis > context.settings().timing().claimWindowMillis() / 2;
  }

  private Answer repeated(String digest) {
    Optional<Answer.Whole> answer = kept.find(digest);
    if (answer.isPresent()) {
      return answer.get();
    }
    String message = "A request with this key was taken before; it may have run.";
    return Refusals.repeated(message, new Outcome.Unknown(message));
  }

  private void keep(String digest, Answer answer) {
    if (answer instanceof Answer.Whole whole && whole.outcome() instanceof Outcome.Answered) {
      kept.keep(digest, whole);
    }
  }

  private static boolean didNotRun(Answer answer) {
    return answer instanceof Answer.Whole whole && whole.outcome() instanceof Outcome.NotRun;
  }

  /** Keys of different workspaces never meet. */
  private static String digest(CallerRequest request) {
    return DigestUtils.sha256Hex(request.workspace() + "\n" + request.key()).substring(0, 32);
  }
}
