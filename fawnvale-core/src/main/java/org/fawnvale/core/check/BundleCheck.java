package org.fawnvale.core.check;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.fawnvale.core.model.Bundle;
import org.fawnvale.core.model.Model;
import org.fawnvale.core.model.PlainService;
import org.fawnvale.core.model.Role;
import org.fawnvale.core.model.RoleKind;
import org.fawnvale.core.model.Workspace;
import org.fawnvale.core.result.Problem;

/** Validates bundles. */
public final class BundleCheck {

  private static final double SHARE_TOLERANCE = 1e-9;

  private static final DocumentCheck<Bundle> CHECK =
      new DocumentCheck<>("bundle.schema.json", Bundle.class, bundle -> new Rules(bundle).apply());

  private BundleCheck() {}

  /**
   * Validates a bundle.
   *
   * @param text the JSON text
   * @return the bundle, or all problems
   */
  public static CheckedDocument<Bundle> check(String text) {
    return CHECK.check(text);
  }

  /**
   * Validates the replica sizes of a bundle against the size of the fabric domains.
   *
   * @param bundle a bundle without other problems
   * @param largestDomain number of nodes in the largest fabric domain
   * @return a problem for each role whose replicas do not fit into any domain
   */
  public static List<Problem> checkSizes(Bundle bundle, int largestDomain) {
    List<Problem> problems = new ArrayList<>();
    for (Role role : bundle.roles()) {
      if (role.nodesPerReplica() > largestDomain) {
        problems.add(
            Problem.invalid(
                "roles[" + role.name() + "].nodesPerReplica",
                role.nodesPerReplica(),
                "No fabric domain has that many nodes; the largest one has " + largestDomain + ".",
                "Set it to at most " + largestDomain + "."));
      }
    }
    return problems;
  }

  /** Validates references between the parts of a bundle. */
  private static final class Rules {

    private final Bundle bundle;
    private final List<Problem> problems = new ArrayList<>();

    Rules(Bundle bundle) {
      this.bundle = bundle;
    }

    List<Problem> apply() {
      checkNames("models", bundle.models().stream().map(Model::name).toList());
      checkNames("roles", bundle.roles().stream().map(Role::name).toList());
      checkNames("services", bundle.services().stream().map(PlainService::name).toList());
      checkNames("workspaces", bundle.workspaces().stream().map(Workspace::name).toList());
      bundle.models().forEach(this::checkModel);
      bundle.roles().forEach(this::checkRole);
      bundle.workspaces().forEach(this::checkWorkspace);
      checkShares();
      bundle.roles().forEach(this::checkKind);
      return problems;
    }

    private void checkNames(String list, List<String> names) {
      Set<String> seen = new HashSet<>();
      for (String name : names) {
        if (!seen.add(name)) {
          add(list, name, "The name is used twice.", "Use a unique name for each.");
        }
      }
    }

    private void checkModel(Model model) {
      boolean served = bundle.roles().stream().anyMatch(role -> role.model().equals(model.name()));
      if (!served) {
        add(
            "models[" + model.name() + "]",
            null,
            "No role serves the model.",
            "Add a role, or remove the model with its adapters.");
      }
    }

    private void checkRole(Role role) {
      String key = "roles[" + role.name() + "]";
      if (bundle.model(role.model()).isEmpty()) {
        add(
            key + ".model",
            role.model(),
            "The bundle has no such model.",
            "Add the model, or correct the name.");
      }
      if (role.minimumReady() >= role.replicasPerDataCentre()
          && role.replicasPerDataCentre() > 0
          && role.minimumReady() > 0) {
        add(
            key + ".minimumReady",
            role.minimumReady(),
            "It leaves no replica that can be rebuilt, so a rollout could never make progress.",
            "Set it to less than " + role.replicasPerDataCentre() + ".");
      }
    }

    private void checkWorkspace(Workspace workspace) {
      String key = "workspaces[" + workspace.name() + "]";
      for (String model : workspace.models()) {
        if (bundle.model(model).isEmpty()) {
          add(key + ".models", model, "The bundle has no such model.", "Correct the name.");
        }
      }
      for (String service : workspace.services()) {
        if (bundle.service(service).isEmpty()) {
          add(key + ".services", service, "The bundle has no such service.", "Correct the name.");
        }
      }
    }

    private void checkShares() {
      double sum = bundle.workspaces().stream().mapToDouble(Workspace::share).sum();
      if (sum > 1 + SHARE_TOLERANCE) {
        add("workspaces.share", sum, "The shares add up to more than 1.", "Reduce some of them.");
      }
    }

    private void checkKind(Role role) {
      if (role.kind() != RoleKind.COMBINED) {
        add(
            "roles[" + role.name() + "].kind",
            role.kind().name().toLowerCase(Locale.ROOT),
            "Separate roles for prefill and decode are not supported yet.",
            "Use a combined role.");
      }
    }

    private void add(
        String key,
        @org.jspecify.annotations.Nullable Object value,
        String message,
        String remedy) {
      problems.add(Problem.invalid(key, value, message, remedy));
    }
  }
}
