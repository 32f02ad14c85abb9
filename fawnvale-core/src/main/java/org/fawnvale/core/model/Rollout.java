package org.fawnvale.core.model;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.ArrayList;
import java.util.List;
import org.fawnvale.core.result.Problem;
import org.fawnvale.core.result.ProblemKind;
import org.fawnvale.core.result.Result;
import org.jspecify.annotations.Nullable;

/**
 * The state of the bundle revisions: which one is in force, which one is pending, and the last
 * changes.
 *
 * <p>It is stored as one object on the platform, so a conditional update resolves concurrent
 * changes by operators.
 *
 * @param latest the highest revision ever submitted; 0 before the first
 * @param accepted the revision in force; 0 before the first; never decreases
 * @param acceptedStage the stage of the accepted revision; null before the first
 * @param candidateStage the stage of the latest revision while it is not accepted; null otherwise
 * @param stopReason why the rollout of the accepted revision was stopped; null when it was not
 * @param history the last changes, oldest first, at most {@link #HISTORY_LENGTH}
 */
public record Rollout(
    long latest,
    long accepted,
    @Nullable Stage acceptedStage,
    @Nullable Stage candidateStage,
    @Nullable String stopReason,
    List<Change> history) {

  /** Maximum number of changes in the history. */
  public static final int HISTORY_LENGTH = 50;

  /** The state before the first bundle is submitted. */
  public static final Rollout EMPTY = new Rollout(0, 0, null, null, null, List.of());

  /**
   * One change by an operator.
   *
   * @param operation identifier of the operation, chosen by the client
   * @param operator name of the operator
   * @param revision the revision that the action applied to
   */
  public record Change(String operation, String operator, String action, long revision) {}

  /** Copies the history; a missing one is empty. */
  public Rollout {
    history = history == null ? List.of() : List.copyOf(history);
  }

  /**
   * Returns whether an operation has taken effect, for a client that lost the response.
   *
   * @param operation identifier of the operation
   * @return true when the history contains the operation
   */
  public boolean contains(String operation) {
    return history.stream().anyMatch(change -> change.operation().equals(operation));
  }

  /** Describes the last change, for an operator whose change conflicts with it. */
  @JsonIgnore
  public String lastChange() {
    if (history.isEmpty()) {
      return "nothing has been submitted";
    }
    Change last = history.get(history.size() - 1);
    return last.operator() + " did '" + last.action() + "' to revision " + last.revision();
  }

  /**
   * Submits the next revision.
   *
   * @param revision the revision of the stored bundle; must be the latest one plus 1
   * @param operation identifier of the operation
   * @param operator name of the operator
   * @return the new state, or a conflict
   */
  public Result<Rollout> submit(long revision, String operation, String operator) {
    if (revision != latest + 1) {
      return conflict("Revision " + revision + " does not follow " + latest + ".");
    }
    Change change = new Change(operation, operator, "submit", revision);
    return Result.success(
        new Rollout(revision, accepted, acceptedStage, Stage.SUBMITTED, stopReason, with(change)));
  }

  /**
   * Approves the latest revision.
   *
   * @param revision the revision to approve
   * @param operation identifier of the operation
   * @param operator name of the operator
   * @return the new state, or a conflict
   */
  public Result<Rollout> approve(long revision, String operation, String operator) {
    if (revision != latest || candidateStage != Stage.SUBMITTED) {
      return conflict("Revision " + revision + " is not waiting for approval.");
    }
    Change change = new Change(operation, operator, "approve", revision);
    return Result.success(
        new Rollout(latest, accepted, acceptedStage, Stage.APPROVED, stopReason, with(change)));
  }

  /**
   * Starts the rollout of the latest revision; this puts the revision in force.
   *
   * @param revision the revision to roll out
   * @param operation identifier of the operation
   * @param operator name of the operator
   * @return the new state, or a conflict
   */
  public Result<Rollout> rollOut(long revision, String operation, String operator) {
    if (revision != latest || candidateStage != Stage.APPROVED) {
      return conflict("Revision " + revision + " is not waiting for its rollout.");
    }
    Change change = new Change(operation, operator, "roll-out", revision);
    return Result.success(new Rollout(latest, revision, Stage.ROLLING, null, null, with(change)));
  }

  /**
   * Stops the rollout of the accepted revision; replicas that were upgraded keep their version.
   *
   * @param revision the accepted revision
   * @param reason the reason for the stop
   * @param operation identifier of the operation
   * @param operator name of the operator
   * @return the new state, or a conflict
   */
  public Result<Rollout> stop(long revision, String reason, String operation, String operator) {
    if (revision != accepted || acceptedStage != Stage.ROLLING) {
      return conflict("Revision " + revision + " is not rolling.");
    }
    Change change = new Change(operation, operator, "stop", revision);
    return Result.success(
        new Rollout(latest, accepted, Stage.STOPPED, candidateStage, reason, with(change)));
  }

  /**
   * Resumes a stopped rollout with the same revision.
   *
   * @param revision the accepted revision
   * @param operation identifier of the operation
   * @param operator name of the operator
   * @return the new state, or a conflict
   */
  public Result<Rollout> rollForward(long revision, String operation, String operator) {
    if (revision != accepted || acceptedStage != Stage.STOPPED) {
      return conflict("Revision " + revision + " is not stopped.");
    }
    Change change = new Change(operation, operator, "roll-forward", revision);
    return Result.success(
        new Rollout(latest, accepted, Stage.ROLLING, candidateStage, null, with(change)));
  }

  /**
   * Marks the rollout of the accepted revision as complete.
   *
   * @param revision the accepted revision
   * @param operation identifier of the operation
   * @param operator name of the operator
   * @return the new state, or a conflict
   */
  public Result<Rollout> complete(long revision, String operation, String operator) {
    if (revision != accepted || acceptedStage != Stage.ROLLING) {
      return conflict("Revision " + revision + " is not rolling.");
    }
    Change change = new Change(operation, operator, "complete", revision);
    return Result.success(
        new Rollout(latest, accepted, Stage.COMPLETE, candidateStage, null, with(change)));
  }

  private List<Change> with(Change change) {
    List<Change> changes = new ArrayList<>(history);
    changes.add(change);
    int surplus = Math.max(0, changes.size() - HISTORY_LENGTH);
    return changes.subList(surplus, changes.size());
  }

  private Result<Rollout> conflict(String message) {
    return Result.failure(
        Problem.of(
            ProblemKind.CONFLICT,
            message + " The last change: " + lastChange() + ".",
            "Run 'fawnvale bundle status' and decide by the current state."));
  }
}
