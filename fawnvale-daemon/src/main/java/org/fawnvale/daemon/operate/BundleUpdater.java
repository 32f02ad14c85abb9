package org.fawnvale.daemon.operate;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.fawnvale.core.check.BundleCheck;
import org.fawnvale.core.check.CheckedDocument;
import org.fawnvale.core.model.Bundle;
import org.fawnvale.core.model.Node;
import org.fawnvale.core.model.Rollout;
import org.fawnvale.core.result.Problem;
import org.fawnvale.core.result.ProblemKind;
import org.fawnvale.core.result.Result;
import org.fawnvale.daemon.state.Documents;
import org.fawnvale.daemon.state.FleetState;
import org.fawnvale.daemon.state.ObjectNames;
import org.fawnvale.platform.ObjectStore;
import org.fawnvale.platform.StoredObject;
import org.fawnvale.platform.WriteResult;

/**
 * Applies operators' changes to the platform's rollout object. A conditional update decides between
 * concurrent changes.
 */
final class BundleUpdater {

  private static final int MAXIMUM_ATTEMPTS = 5;

  private final FleetState state;
  private final Consumer<List<StoredObject>> onWritten;
  private final ObjectStore store;

  BundleUpdater(FleetState state, Consumer<List<StoredObject>> onWritten, ObjectStore store) {
    this.state = state;
    this.onWritten = onWritten;
    this.store = store;
  }

  /** The outcome of an operator's change. */
  sealed interface Outcome {
    record Done(long revision) implements Outcome {}

    record Refused(List<Problem> problems) implements Outcome {}
  }

  /** A change of the rollout. */
  @FunctionalInterface
  interface Change {
    Result<Rollout> apply(Rollout head);
  }

  /** Validates a bundle, stores it under the next free revision and makes it the latest one. */
  Outcome submit(String text, String operation, String operator) {
    CheckedDocument<Bundle> checked = BundleCheck.check(text);
    if (checked.value() == null) {
      return new Outcome.Refused(checked.problems());
    }
    List<Problem> tooLarge = BundleCheck.checkSizes(checked.value(), largestDomain());
    if (!tooLarge.isEmpty() && largestDomain() > 0) {
      return new Outcome.Refused(tooLarge);
    }
    return change(
        operation,
        head -> {
          long revision = head.latest() + 1;
          Result<Long> stored = storeBundle(revision, checked.value());
          return stored.fold(each -> head.submit(each, operation, operator), Result::failure);
        });
  }

  /**
   * Stores a bundle under a revision. If the revision's object exists with other content, it is
   * overwritten, because the caller knows that the rollout does not refer to this revision yet.
   */
  private Result<Long> storeBundle(long revision, Bundle bundle) {
    String name = ObjectNames.bundle(revision);
    byte[] value = Documents.write(bundle);
    WriteResult result = store.put(name, ObjectStore.ABSENT, value);
    if (result instanceof WriteResult.Written written) {
      onWritten.accept(List.of(new StoredObject(name, written.version(), value)));
      return Result.success(revision);
    }
    Optional<StoredObject> found = store.get(name).fold(each -> each, p -> Optional.empty());
    if (found.isPresent() && java.util.Arrays.equals(found.get().value(), value)) {
      onWritten.accept(List.of(found.get()));
      return Result.success(revision);
    }
    if (found.isPresent()) {
      return overwriteUnreferenced(found.get(), value, revision);
    }
    return Result.failure(
        Problem.of(
            ProblemKind.UNAVAILABLE,
            "The platform did not store the bundle.",
            "Submit it again when the platform is back."));
  }

  /** Overwrites a bundle whose submission ended before the rollout referred to its revision. */
  private Result<Long> overwriteUnreferenced(StoredObject found, byte[] value, long revision) {
    WriteResult result = store.put(found.name(), found.version(), value);
    if (result instanceof WriteResult.Written written) {
      onWritten.accept(List.of(new StoredObject(found.name(), written.version(), value)));
      return Result.success(revision);
    }
    return Result.failure(
        Problem.of(
            ProblemKind.CONFLICT,
            "Another operator is submitting a bundle at the same time.",
            "Check 'fawnvale bundle status' and submit again."));
  }

  private int largestDomain() {
    return state.view().nodes().values().stream()
        .flatMap(List::stream)
        .filter(node -> node.service() == null)
        .collect(
            java.util.stream.Collectors.groupingBy(
                (Node node) -> node.dataCentre() + "/" + node.domain(),
                java.util.stream.Collectors.counting()))
        .values()
        .stream()
        .mapToInt(Long::intValue)
        .max()
        .orElse(0);
  }

  /**
   * Changes the rollout by a conditional update, with up to {@link #MAXIMUM_ATTEMPTS} attempts. An
   * attempt whose response was lost is recognised by its operation when the rollout is read again.
   */
  Outcome change(String operation, Change change) {
    Problem last = lost("The platform could not be reached.");
    boolean maybeWritten = false;
    for (int i = 0; i < MAXIMUM_ATTEMPTS; i++) {
      Result<Optional<StoredObject>> read = store.get(ObjectNames.ROLLOUT);
      if (!read.isSuccess()) {
        last = read.fold(found -> lost(""), problem -> problem);
        continue;
      }
      StoredObject found =
          read.fold(each -> each, p -> Optional.<StoredObject>empty()).orElseGet(this::absent);
      Rollout head = parse(found);
      if (head.contains(operation)) {
        onWritten.accept(List.of(found));
        return new Outcome.Done(head.latest());
      }
      Result<Rollout> next = change.apply(head);
      if (!next.isSuccess()) {
        return refused(next.fold(each -> last(), problem -> problem));
      }
      byte[] value = Documents.write(next.fold(each -> each, problem -> head));
      WriteResult result = store.put(ObjectNames.ROLLOUT, found.version(), value);
      if (result instanceof WriteResult.Written written) {
        onWritten.accept(List.of(new StoredObject(ObjectNames.ROLLOUT, written.version(), value)));
        return new Outcome.Done(next.fold(Rollout::latest, problem -> 0L));
      }
      maybeWritten |= result instanceof WriteResult.Unknown;
    }
    return refused(maybeWritten ? lost("The platform's response was lost.") : last);
  }

  private static Problem last() {
    return lost("No change was made.");
  }

  private static Problem lost(String message) {
    return Problem.of(
        ProblemKind.OUTCOME_UNKNOWN,
        message + " The change may or may not be in force.",
        "Run 'fawnvale bundle history' to see whether it is listed.");
  }

  private static Outcome refused(Problem problem) {
    return new Outcome.Refused(List.of(problem));
  }

  private StoredObject absent() {
    return new StoredObject(
        ObjectNames.ROLLOUT, ObjectStore.ABSENT, Documents.write(Rollout.EMPTY));
  }

  private static Rollout parse(StoredObject object) {
    try {
      return Documents.read(object.value(), Rollout.class);
    } catch (IOException e) {
      throw new IllegalStateException("The rollout object cannot be parsed.", e);
    }
  }
}
