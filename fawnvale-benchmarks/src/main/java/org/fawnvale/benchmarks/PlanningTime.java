package org.fawnvale.benchmarks;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.fawnvale.core.model.Bundle;
import org.fawnvale.core.model.DomainState;
import org.fawnvale.core.model.Model;
import org.fawnvale.core.model.Node;
import org.fawnvale.core.model.NodeReport;
import org.fawnvale.core.model.Policy;
import org.fawnvale.core.model.Role;
import org.fawnvale.core.model.RoleKind;
import org.fawnvale.core.planning.NodeView;
import org.fawnvale.core.planning.Plan;
import org.fawnvale.core.planning.PlanInput;
import org.fawnvale.core.planning.Planner;
import org.fawnvale.core.planning.PlannerSettings;

/** Measures planning time by number of nodes in a domain. */
public final class PlanningTime {

  private static final int NODES_PER_REPLICA = 8;
  private static final int ROUNDS = 31;

  private PlanningTime() {}

  /**
   * Prints the median time of a plan that forms all replicas, and of one that changes nothing.
   *
   * @param arguments none
   */
  public static void main(String[] arguments) {
    PrintStream out = System.out; // NOPMD SystemPrintln: the table is this program's output
    out.println("NODES  FORM ALL ms  STEADY ms");
    for (int nodes : new int[] {16, 64, 256, 1024}) {
      Map<String, NodeView> idle = views(nodes, DomainState.empty("dc", "f"));
      PlanInput first = input(nodes, DomainState.empty("dc", "f"), idle);
      DomainState formed = Planner.plan(first).changed().get(0);
      PlanInput steady = input(nodes, formed, views(nodes, formed));
      out.printf(Locale.ROOT, "%5d  %11.3f  %9.3f%n", nodes, median(first), median(steady));
    }
  }

  private static double median(PlanInput input) {
    double[] millis = new double[ROUNDS];
    for (int i = 0; i < ROUNDS; i++) {
      long begin = System.nanoTime();
      Plan plan = Planner.plan(input);
      millis[i] = (System.nanoTime() - begin) / 1e6 + plan.steps().size() * 0.0;
    }
    Arrays.sort(millis);
    return millis[ROUNDS / 2];
  }

  private static PlanInput input(int nodes, DomainState state, Map<String, NodeView> views) {
    Bundle bundle =
        new Bundle(
            "b",
            List.of(new Model("m", "1", 1, List.of())),
            List.of(
                new Role(
                    "r",
                    "m",
                    RoleKind.COMBINED,
                    NODES_PER_REPLICA,
                    nodes / NODES_PER_REPLICA,
                    0,
                    0,
                    8,
                    List.of())),
            List.of(),
            List.of(),
            new Policy(1, 1, 5));
    PlannerSettings settings =
        new PlannerSettings(5000, PlannerSettings.DEFAULT.features(), 100_000, 0.5);
    return new PlanInput("dc", bundle, true, List.of(state), views, settings, "o");
  }

  private static Map<String, NodeView> views(int nodes, DomainState state) {
    Map<String, NodeView> views = new HashMap<>();
    for (int i = 0; i < nodes; i++) {
      String name = "n" + i;
      Node node = new Node(name, "dc", "f", "", "", null, false);
      NodeReport report =
          state
              .replicaOf(name)
              .map(
                  replica ->
                      new NodeReport(
                          name,
                          "",
                          replica.id(),
                          replica.generation(),
                          replica.version(),
                          "m@1",
                          NodeReport.State.READY,
                          0,
                          0))
              .orElse(new NodeReport(name, "", null, 0, null, "m@1", NodeReport.State.IDLE, 0, 0));
      views.put(name, new NodeView(node, report, 0, 0));
    }
    return views;
  }
}
