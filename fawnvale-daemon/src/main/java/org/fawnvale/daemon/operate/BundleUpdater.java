package org.fawnvale.daemon.operate;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.fawnvale.core.check.BundleCheck;
import org.fawnvale.core.check.Checked;
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

/** Takes operators' changes to the platform; one conditional update of the head decides a race. */
final class BundleUpdater {

  private static final int TRIES = 5;

  private final FleetState state;
  private final Consumer<List<StoredObject>> onWritten;
  private final ObjectStore store;

  BundleUpdater(FleetState state, Consumer<List<StoredObject>> onWritten, ObjectStore store) {
    this.state = state;
    this.onWritten = onWritten;
    this.store = store;
  }

  /** What an operator's change came to. */
  sealed interface Filed {
    record Done(long revision) implements Filed {}

    record Refused(List<Problem> problems) implements Filed {}
  }

  /** One change of the head. */
  @FunctionalInterface
  interface Change {
    Result<Rollout> apply(Rollout head);
  }

  /** Keeps a bundle under the next free revision and makes it the latest. */
  Filed submit(String text, String operation, String operator) {
    Checked<Bundle> checked = BundleCheck.check(text);
    if (checked.value() == null) {
      return new Filed.Refused(checked.problems());
    }
    List<Problem> tooLarge = BundleCheck.checkSizes(checked.value(), largestDomain());
    if (!tooLarge.isEmpty() && largestDomain() > 0) {
      return new Filed.Refused(tooLarge);
    }
    return change(
        operation,
        head -> {
          long revision = head.latest() + 1;
          Result<Long> kept = keep(revision, checked.value());
          return kept.fold(each -> head.submit(each, operation, operator), Result::failure);
        });
  }

  /** A revision's content never changes: an object that is there with other content is passed. */
  private Result<Long> keep(long revision, Bundle bundle) {
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
      return overwriteUnclaimed(found.get(), value, revision);
    }
    return Result.failure(
        Problem.of(
            ProblemKind.UNAVAILABLE,
            "The platform did not keep the bundle.",
            "Submit it again when the platform is back."));
  }

  /** The head does not name this revision yet, so what stands there was never submitted whole. */
  private Result<Long> overwriteUnclaimed(StoredObject found, byte[] value, long revision) {
    WriteResult result = store.put(found.name(), found.version(), value);
    if (result instanceof WriteResult.Written written) {
      onWritten.accept(List.of(new StoredObject(found.name(), written.version(), value)));
      return Result.success(revision);
    }
    return Result.failure(
        Problem.of(
            ProblemKind.CONFLICT,
            "Another operator submits at this moment.",
            "Look at 'fawnvale bundle status' and submit again."));
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

  /** Changes the head by a conditional update; a lost answer is settled by reading back. */
  Filed change(String operation, Change change) {
    Problem last = lost("The platform could not be asked.");
    boolean maybeWritten = false;
    for (int i = 0; i < TRIES; i++) {
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
        return new Filed.Done(head.latest());
      }
      Result<Rollout> next = change.apply(head);
      if (!next.isSuccess()) {
        return refused(next.fold(each -> last(), problem -> problem));
      }
      byte[] value = Documents.write(next.fold(each -> each, problem -> head));
      WriteResult result = store.put(ObjectNames.ROLLOUT, found.version(), value);
      if (result instanceof WriteResult.Written written) {
        onWritten.accept(List.of(new StoredObject(ObjectNames.ROLLOUT, written.version(), value)));
        return new Filed.Done(next.fold(Rollout::latest, problem -> 0L));
      }
      maybeWritten |= result instanceof WriteResult.Unknown;
    }
    return refused(maybeWritten ? lost("The platform's answer was lost.") : last);
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

  private static Filed refused(Problem problem) {
    return new Filed.Refused(List.of(problem));
  }

  private StoredObject absent() {
    return new StoredObject(
        ObjectNames.ROLLOUT, ObjectStore.ABSENT, Documents.write(Rollout.EMPTY));
  }

  private static Rollout parse(StoredObject object) {
    try {
      return Documents.read(object.value(), Rollout.class);
    } catch (IOException e) {
      throw new IllegalStateException("The head of the bundles cannot be read.", e);
    }
  }
}
