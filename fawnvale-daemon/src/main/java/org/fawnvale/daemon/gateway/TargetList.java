package org.fawnvale.daemon.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.fawnvale.core.routing.Candidate;

/** The targets of one model or plain service, with the candidates that the router chooses from. */
public final class TargetList {

  /** No targets. */
  public static final TargetList EMPTY = new TargetList(List.of());

  private final List<Target> targets;
  private final List<Candidate> candidates;
  private final Map<String, Target> byKey = new HashMap<>();

  private TargetList(List<Target> targets) {
    this.targets = List.copyOf(targets);
    this.candidates = targets.stream().map(Target::candidate).toList();
    targets.forEach(target -> byKey.put(target.candidate().key(), target));
  }

  /** Creates a list that keeps the order of the targets and finds a target by its candidate. */
  public static TargetList of(List<Target> targets) {
    return new TargetList(targets);
  }

  /**
   * Returns the targets.
   *
   * @return the targets, in the same order on every daemon
   */
  public List<Target> targets() {
    return targets;
  }

  /**
   * Returns the router's view of the targets.
   *
   * @return the candidates, in the order of the targets
   */
  public List<Candidate> candidates() {
    return candidates;
  }

  /**
   * Returns the target of a candidate.
   *
   * @param candidate one of the candidates
   */
  public Target target(Candidate candidate) {
    return byKey.get(candidate.key());
  }
}
