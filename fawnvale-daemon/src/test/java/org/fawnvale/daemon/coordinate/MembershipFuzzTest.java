package org.fawnvale.daemon.coordinate;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.fawnvale.core.model.Bundle;
import org.fawnvale.core.model.DomainState;
import org.fawnvale.core.model.Model;
import org.fawnvale.core.model.Node;
import org.fawnvale.core.model.NodeReport;
import org.fawnvale.core.model.Order;
import org.fawnvale.core.model.Policy;
import org.fawnvale.core.model.Replica;
import org.fawnvale.core.model.Role;
import org.fawnvale.core.model.RoleKind;
import org.fawnvale.core.planning.NodeView;
import org.fawnvale.core.planning.Orders;
import org.fawnvale.core.planning.Plan;
import org.fawnvale.core.planning.PlanInput;
import org.fawnvale.core.planning.Planner;
import org.fawnvale.core.planning.PlannerSettings;
import org.fawnvale.core.readiness.ReadinessTable;
import org.fawnvale.daemon.FakeStore;
import org.fawnvale.daemon.state.Documents;
import org.fawnvale.platform.ObjectStore;
import org.fawnvale.platform.StoredObject;

/**
 * Checks that no node is a member of two replicas that may serve and that no replica may serve
 * while a member is down. Several coordinators plan at once with stale copies and stale reports,
 * orders arrive late, responses are lost, and nodes stop and restart.
 */
class MembershipFuzzTest {

  private static final int COORDINATORS = 3;
  private static final int NODES = 7;
  private static final long FRESH = 1000;
  private static final String DOMAIN = "config/domain/dc/f";
  private static final Bundle BUNDLE =
      new Bundle(
          "b",
          List.of(new Model("m", "1", 1, List.of()), new Model("n", "1", 1, List.of())),
          List.of(
              new Role("r", "m", RoleKind.COMBINED, 3, 2, 0, 0, 8, List.of()),
              new Role("e", "n", RoleKind.COMBINED, 2, 0, 9, 0, 8, List.of())),
          List.of(),
          List.of(),
          new Policy(1, 1, 0));

  /** Kind of a step. */
  enum Kind {
    PLAN,
    READ,
    OBSERVE,
    DELIVER,
    TOGGLE,
    RESTART
  }

  /** One step. */
  record Step(Kind kind, int coordinator, int node, FakeStore.Fault fault) {}

  /** Simulated engine of one node, with or without a check of the orders' epoch and generation. */
  private static final class Engine {
    private final String name;
    private final boolean checksFencing;
    private boolean alive = true;
    private int incarnation;
    private Order order;
    private long epoch;
    private long generation;

    Engine(int number, boolean checksFencing) {
      this.name = "n" + number;
      this.checksFencing = checksFencing;
    }

    void take(Order next) {
      if (checksFencing && (next.epoch() < epoch || next.generation() < generation)) {
        return;
      }
      epoch = Math.max(epoch, next.epoch());
      generation = Math.max(generation, next.generation());
      order = next;
    }

    void restart() {
      incarnation++;
      order = null;
    }

    NodeReport report() {
      boolean member = order != null && order.replica() != null;
      NodeReport.State state =
          !member
              ? NodeReport.State.IDLE
              : order.draining() ? NodeReport.State.DRAINING : NodeReport.State.READY;
      return new NodeReport(
          name,
          Integer.toString(incarnation),
          member ? order.replica() : null,
          member ? order.generation() : 0,
          member ? order.version() : null,
          null,
          state,
          0,
          0);
    }
  }

  /** A coordinator with its own, possibly stale, copies of the domain and of the nodes' reports. */
  private static final class Coordinator {
    private final long epoch;
    private DomainState copy = DomainState.empty("dc", "f");
    private long version = ObjectStore.ABSENT;
    private Map<String, NodeView> views = new HashMap<>();

    Coordinator(long epoch) {
      this.epoch = epoch;
    }
  }

  @Property(tries = 1500, seed = "20261202")
  void noNodeServesInTwoReplicas(@ForAll("steps") List<Step> steps, @ForAll boolean checksFences)
      throws IOException {
    FakeStore store = new FakeStore();
    List<Engine> engines = new ArrayList<>();
    for (int i = 0; i < NODES; i++) {
      engines.add(new Engine(i, checksFences));
    }
    List<Coordinator> coordinators = new ArrayList<>();
    for (int i = 0; i < COORDINATORS; i++) {
      coordinators.add(new Coordinator(i + 1));
      observe(coordinators.get(i), engines);
    }
    Deque<Order> inFlight = new ArrayDeque<>();
    Set<Replica> everStored = new HashSet<>();
    for (Step step : steps) {
      Coordinator coordinator = coordinators.get(step.coordinator());
      Engine engine = engines.get(step.node());
      store.failWith(() -> FakeStore.Fault.NONE);
      switch (step.kind()) {
        case PLAN -> {
          store.failWith(step::fault);
          plan(coordinator, store, inFlight);
        }
        case READ -> read(coordinator, store);
        case OBSERVE -> observe(coordinator, engines);
        case DELIVER -> deliver(inFlight, engines, step.node());
        case TOGGLE -> engine.alive = !engine.alive;
        default -> engine.restart();
      }
      everStored.addAll(storedReplicas(store));
      check(engines, everStored);
    }
  }

  private static void plan(Coordinator coordinator, FakeStore store, Deque<Order> inFlight) {
    Plan plan =
        Planner.plan(
            new PlanInput(
                "dc",
                BUNDLE,
                true,
                List.of(coordinator.copy),
                coordinator.views,
                new PlannerSettings(0, Set.of(PlannerSettings.Feature.values()), 9, 1),
                "operation"));
    for (DomainState changed : plan.changed()) {
      var result = store.put(DOMAIN, coordinator.version, Documents.write(changed));
      if (result instanceof org.fawnvale.platform.WriteResult.Written written) {
        coordinator.copy = changed;
        coordinator.version = written.version();
      }
    }
    inFlight.addAll(Orders.due(coordinator.copy, BUNDLE, coordinator.views, coordinator.epoch));
  }

  private static void read(Coordinator coordinator, FakeStore store) throws IOException {
    Optional<StoredObject> stored = store.stored(DOMAIN);
    if (stored.isPresent()) {
      coordinator.copy = Documents.read(stored.get().value(), DomainState.class);
      coordinator.version = stored.get().version();
    }
  }

  private static void observe(Coordinator coordinator, List<Engine> engines) {
    Map<String, NodeView> views = new HashMap<>();
    for (Engine engine : engines) {
      Node node = new Node(engine.name, "dc", "f", "", "", null, false);
      views.put(engine.name, new NodeView(node, engine.report(), engine.alive ? 0 : 1, 0));
    }
    coordinator.views = views;
  }

  /** Delivers one order, late and out of sequence; a node that is down loses its order. */
  private static void deliver(Deque<Order> inFlight, List<Engine> engines, int which) {
    for (int i = 0; i < which && inFlight.size() > 1; i++) {
      inFlight.add(inFlight.poll());
    }
    Order order = inFlight.poll();
    if (order == null) {
      return;
    }
    for (Engine engine : engines) {
      if (engine.name.equals(order.node()) && engine.alive) {
        engine.take(order);
      }
    }
  }

  private static List<Replica> storedReplicas(FakeStore store) throws IOException {
    Optional<StoredObject> stored = store.stored(DOMAIN);
    return stored.isEmpty()
        ? List.of()
        : Documents.read(stored.get().value(), DomainState.class).replicas();
  }

  /** Checks every replica that was ever stored, because a gateway may still know it. */
  private static void check(List<Engine> engines, Set<Replica> everStored) {
    ReadinessTable table = ReadinessTable.create(FRESH);
    List<NodeReport> reports = new ArrayList<>();
    engines.stream().filter(each -> each.alive).forEach(each -> reports.add(each.report()));
    table.setReports("prober", 1, reports);
    table.renewReports("prober", 1, 0, new int[0]);
    Map<String, Replica> serving = new HashMap<>();
    for (Replica replica : everStored) {
      if (table.mayServe(replica, 0)) {
        for (String member : replica.members()) {
          Replica other = serving.put(member, replica);
          assertThat(other).as("%s in %s and %s", member, replica, other).isNull();
          assertThat(engines).anyMatch(each -> each.name.equals(member) && each.alive);
        }
      }
    }
  }

  @Provide
  Arbitrary<List<Step>> steps() {
    Arbitrary<Kind> kind =
        Arbitraries.frequency(
            Tuple.of(5, Kind.PLAN),
            Tuple.of(3, Kind.READ),
            Tuple.of(4, Kind.OBSERVE),
            Tuple.of(14, Kind.DELIVER),
            Tuple.of(1, Kind.TOGGLE),
            Tuple.of(1, Kind.RESTART));
    Arbitrary<FakeStore.Fault> fault =
        Arbitraries.frequency(
            Tuple.of(6, FakeStore.Fault.NONE),
            Tuple.of(1, FakeStore.Fault.REFUSED),
            Tuple.of(2, FakeStore.Fault.ANSWER_LOST),
            Tuple.of(1, FakeStore.Fault.CALL_LOST));
    return Combinators.combine(
            kind,
            Arbitraries.integers().between(0, COORDINATORS - 1),
            Arbitraries.integers().between(0, NODES - 1),
            fault)
        .as(Step::new)
        .list()
        .ofMinSize(40)
        .ofMaxSize(200);
  }
}
