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
 * No node is ever in two replicas that may serve, and none may serve without all its members:
 * several coordinators that all believe to hold the lease, with old copies of the domain, old
 * evidence, orders that arrive late, lost answers, nodes that die, return and restart; engines that
 * check fences and engines that do not.
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

  /** What happens next. */
  enum Kind {
    PLAN,
    READ,
    LOOK,
    DELIVER,
    TURN,
    RESTART
  }

  /** One step. */
  record Step(Kind kind, int coordinator, int node, FakeStore.Fault fault) {}

  /** A node's engine. */
  private static final class Engine {
    private final String name;
    private final boolean checks;
    private boolean alive = true;
    private int incarnation;
    private Order order;
    private long epoch;
    private long generation;

    Engine(int number, boolean checks) {
      this.name = "n" + number;
      this.checks = checks;
    }

    void take(Order next) {
      if (checks && (next.epoch() < epoch || next.generation() < generation)) {
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

  /** A coordinator with its own copies of everything. */
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
      look(coordinators.get(i), engines);
    }
    Deque<Order> onTheWay = new ArrayDeque<>();
    Set<Replica> everDecided = new HashSet<>();
    for (Step step : steps) {
      Coordinator coordinator = coordinators.get(step.coordinator());
      Engine engine = engines.get(step.node());
      store.failWith(() -> FakeStore.Fault.NONE);
      switch (step.kind()) {
        case PLAN -> {
          store.failWith(step::fault);
          plan(coordinator, store, onTheWay);
        }
        case READ -> read(coordinator, store);
        case LOOK -> look(coordinator, engines);
        case DELIVER -> deliver(onTheWay, engines, step.node());
        case TURN -> engine.alive = !engine.alive;
        default -> engine.restart();
      }
      everDecided.addAll(decided(store));
      check(engines, everDecided);
    }
  }

  private static void plan(Coordinator coordinator, FakeStore store, Deque<Order> onTheWay) {
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
    onTheWay.addAll(Orders.due(coordinator.copy, BUNDLE, coordinator.views, coordinator.epoch));
  }

  private static void read(Coordinator coordinator, FakeStore store) throws IOException {
    Optional<StoredObject> stored = store.stored(DOMAIN);
    if (stored.isPresent()) {
      coordinator.copy = Documents.read(stored.get().value(), DomainState.class);
      coordinator.version = stored.get().version();
    }
  }

  private static void look(Coordinator coordinator, List<Engine> engines) {
    Map<String, NodeView> views = new HashMap<>();
    for (Engine engine : engines) {
      Node node = new Node(engine.name, "dc", "f", "", "", null, false);
      views.put(engine.name, new NodeView(node, engine.report(), engine.alive ? 0 : 1, 0));
    }
    coordinator.views = views;
  }

  /** Orders come late, in any order, and to dead nodes not at all. */
  private static void deliver(Deque<Order> onTheWay, List<Engine> engines, int which) {
    for (int i = 0; i < which && onTheWay.size() > 1; i++) {
      onTheWay.add(onTheWay.poll());
    }
    Order order = onTheWay.poll();
    if (order == null) {
      return;
    }
    for (Engine engine : engines) {
      if (engine.name.equals(order.node()) && engine.alive) {
        engine.take(order);
      }
    }
  }

  private static List<Replica> decided(FakeStore store) throws IOException {
    Optional<StoredObject> stored = store.stored(DOMAIN);
    return stored.isEmpty()
        ? List.of()
        : Documents.read(stored.get().value(), DomainState.class).replicas();
  }

  /** The oracle: gateways may know any replica that was ever decided, and the nodes as they are. */
  private static void check(List<Engine> engines, Set<Replica> everDecided) {
    ReadinessTable table = ReadinessTable.create(FRESH);
    List<NodeReport> reports = new ArrayList<>();
    engines.stream().filter(each -> each.alive).forEach(each -> reports.add(each.report()));
    table.setReports("prober", 1, reports);
    table.renewReports("prober", 1, 0, new int[0]);
    Map<String, Replica> serving = new HashMap<>();
    for (Replica replica : everDecided) {
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
            Tuple.of(4, Kind.LOOK),
            Tuple.of(14, Kind.DELIVER),
            Tuple.of(1, Kind.TURN),
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
