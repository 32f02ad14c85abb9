package org.fawnvale.benchmarks;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.fawnvale.core.model.Bundle;
import org.fawnvale.core.model.Model;
import org.fawnvale.core.model.Policy;
import org.fawnvale.core.model.Role;
import org.fawnvale.core.model.RoleKind;
import org.fawnvale.core.replay.FormationTrace;

/**
 * Generates the committed formation traces: nodes fail and return, nodes pause for seconds, and a
 * quarter of one domain fails at once.
 */
public final class FormationTraceMaker {

  private static final long SEED = 20261202;
  private static final double HOURS = 48;
  private static final double SECONDS_PER_HOUR = 3600;
  private static final double DETECTION_SECONDS = 3;
  private static final double GIGABYTES_PER_SECOND = 1;
  private static final double GIGABYTES = 60;

  /** Upper limits by trace: replica-hours of downtime and node-hours of stranding. */
  private static final Map<String, FormationTrace.Expectation> EXPECTATIONS =
      Map.of(
          "tavua-nodes-16-spare-poor", new FormationTrace.Expectation(4.1, 89),
          "tavua-nodes-16-spare-rich", new FormationTrace.Expectation(0.85, 70),
          "semilla-viva-nodes-16-spare-poor", new FormationTrace.Expectation(4.1, 89),
          "semilla-viva-nodes-16-spare-rich", new FormationTrace.Expectation(0.85, 70));

  private final RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(SEED);

  private FormationTraceMaker() {}

  /**
   * Writes the traces.
   *
   * @param arguments the output folder
   * @throws IOException when it cannot be written
   */
  public static void main(String[] arguments) throws IOException {
    Path folder = Path.of(arguments[0]);
    Files.createDirectories(folder);
    Policy tavua = new Policy(3, 1, 5);
    Policy semillaViva = new Policy(1, 3, 5);
    for (int size : new int[] {4, 8, 16, 32}) {
      int domains = Math.max(1, 48 / (2 * size + size / 4));
      for (boolean rich : new boolean[] {false, true}) {
        int spares = rich ? Math.max(2, size / 4) : 1;
        String kind = size + (rich ? "-spare-rich" : "-spare-poor");
        write(folder, "tavua-nodes-" + kind, tavua, domains, 2 * size + spares, size);
        write(folder, "semilla-viva-nodes-" + kind, semillaViva, domains, 2 * size + spares, size);
      }
    }
  }

  private static void write(
      Path folder, String name, Policy policy, int domains, int nodesPerDomain, int size)
      throws IOException {
    FormationTrace trace =
        new FormationTraceMaker().make(name, policy, domains, nodesPerDomain, size);
    Files.writeString(folder.resolve(name + ".jsonl"), trace.format());
  }

  private FormationTrace make(
      String name, Policy policy, int domains, int nodesPerDomain, int size) {
    int wanted = 2 * domains;
    int small = Math.max(1, size / 4);
    List<Model> models =
        List.of(
            new Model("large", "1", GIGABYTES, List.of()),
            new Model("small", "1", GIGABYTES / 4, List.of()));
    List<Role> roles =
        List.of(
            new Role("main", "large", RoleKind.COMBINED, size, wanted, 0, 1, 8, List.of()),
            new Role("filler", "small", RoleKind.COMBINED, small, 0, 99, 0, 8, List.of()));
    Bundle bundle = new Bundle(name, models, roles, List.of(), List.of(), policy);
    FormationTrace.Fleet fleet =
        new FormationTrace.Fleet(
            name,
            domains,
            nodesPerDomain,
            HOURS,
            DETECTION_SECONDS,
            GIGABYTES_PER_SECOND,
            bundle,
            EXPECTATIONS.get(name));
    return new FormationTrace(fleet, events(domains * nodesPerDomain, nodesPerDomain));
  }

  private List<FormationTrace.Event> events(int nodes, int nodesPerDomain) {
    List<FormationTrace.Event> events = new ArrayList<>();
    for (int node = 0; node < nodes; node++) {
      addNodeEvents(events, node);
    }
    double rackAt = random.nextDouble() * HOURS * SECONDS_PER_HOUR;
    int first = random.nextInt(nodes / nodesPerDomain) * nodesPerDomain;
    for (int i = 0; i < nodesPerDomain / 4; i++) {
      add(events, rackAt, first + i, FormationTrace.Kind.FAIL);
      add(events, rackAt + 1200 + i, first + i, FormationTrace.Kind.RETURN);
    }
    events.sort(Comparator.comparingDouble(FormationTrace.Event::atSeconds));
    return events;
  }

  /** Adds the events of one node, which fails every 90 h and pauses every 40 h on average. */
  private void addNodeEvents(List<FormationTrace.Event> events, int node) {
    double end = HOURS * SECONDS_PER_HOUR;
    for (double at = gap(90); at < end; at += gap(90)) {
      add(events, at, node, FormationTrace.Kind.FAIL);
      double away = 600 + random.nextDouble() * 6600;
      add(events, at + away, node, FormationTrace.Kind.RETURN);
      at += away;
    }
    for (double at = gap(40); at < end; at += gap(40)) {
      add(events, at, node, FormationTrace.Kind.PAUSE);
      add(events, at + 2 + random.nextDouble() * 20, node, FormationTrace.Kind.RETURN);
    }
  }

  private double gap(double hours) {
    return -Math.log(1 - random.nextDouble()) * hours * SECONDS_PER_HOUR;
  }

  private static void add(
      List<FormationTrace.Event> events, double at, int node, FormationTrace.Kind kind) {
    events.add(new FormationTrace.Event(Math.rint(at * 10) / 10, node, kind));
  }
}
