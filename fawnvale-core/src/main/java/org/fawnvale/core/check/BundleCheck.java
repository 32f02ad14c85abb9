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

/** Checks a bundle. */
public final class BundleCheck {

  private static final double SHARE_TOLERANCE = 1e-9;

  private static final DocumentCheck<Bundle> CHECK =
      new DocumentCheck<>("bundle.schema.json", Bundle.class, bundle -> new Rules(bundle).apply());

  private BundleCheck() {}

  /**
   * Checks a bundle.
   *
   * @param text the JSON text
   * @return the bundle, or all problems that were found
   */
  public static CheckedDocument<Bundle> check(String text) {
    return CHECK.check(text);
  }

  /**
   * Checks a bundle against the size of the fabric domains.
   *
   * @param bundle a bundle without other problems
   * @param largestDomain nodes of the largest fabric domain
   * @return a problem for each role whose replicas fit no domain
   */
  public static List<Problem> checkSizes(Bundle bundle, int largestDomain) {
    List<Problem> problems = new ArrayList<>();
    for (Role role : bundle.roles()) {
      if (role.nodesPerReplica() > largestDomain) {
        problems.add(
            Problem.invalid(
                "roles[" + role.name() + "].nodesPerReplica",
                role.nodesPerReplica(),
                "No fabric domain has as many nodes; the largest has " + largestDomain + ".",
                "Give at most " + largestDomain + "."));
      }
    }
    return problems;
  }

  /** The rules that tie parts of a bundle together. */
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
          add(list, name, "The name is used twice.", "Give each a name of its own.");
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
            "It leaves no replica free to be rebuilt, so a rollout could never go on.",
            "Give less than " + role.replicasPerDataCentre() + ".");
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
        add("workspaces.share", sum, "The shares add up to over 1.", "Lower some of them.");
      }
    }

    private void checkKind(Role role) {
      if (role.kind() != RoleKind.COMBINED) {
        add(
            "roles[" + role.name() + "].kind",
            role.kind().name().toLowerCase(Locale.ROOT),
            "Parting prefill from decode is not built yet.",
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
