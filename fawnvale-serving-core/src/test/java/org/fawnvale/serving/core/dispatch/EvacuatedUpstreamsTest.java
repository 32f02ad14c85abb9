package org.fawnvale.serving.core.dispatch;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.evacuation.Evacuations;
import org.fawnvale.serving.core.limit.SharedLimits;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.peer.EvacuationState;
import org.fawnvale.serving.core.peer.RendezvousOwners;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePosition;
import org.junit.jupiter.api.Test;

/** Guards against requests to upstreams of evacuated data centres when others are worse or gone. */
class EvacuatedUpstreamsTest {

  private static final DispatchRequest REQUEST =
      new DispatchRequest("s", "", DispatchRequest.AdmissionClass.FIRST);
  private static final int SLOTS = 4;

  /** Plain services take up to three requests for each slot. */
  private static final int PLAIN_BOUND = 3;

  private final Evacuations evacuations = Evacuations.unknown();
  private final UpstreamGate gate =
      new UpstreamGate(
          new SharedLimits(
              new RendezvousOwners(new RendezvousOwners.Daemon("d", "127.0.0.1", "here"))),
          evacuations);
  private final Dispatcher dispatcher = new Dispatcher("here", gate, () -> 0);
  private final Node here = node("h", "here");
  private final Node there = node("t", "there");
  private long revision;

  private static Node node(String id, String dataCentre) {
    Endpoint endpoint = new Endpoint("10.0.0.1", 80);
    return new Node(
        NodeIncarnation.only(id),
        "s",
        endpoint,
        dataCentre,
        SLOTS,
        false,
        "",
        null,
        List.of(),
        null);
  }

  private void evacuate(String... dataCentres) {
    StorePosition position = new StorePosition(new StoreEra(1), ++revision);
    evacuations.receive(new EvacuationState(position, Set.of(dataCentres)));
  }

  private Choice choose(Set<String> excluded) {
    return dispatcher.choose(REQUEST, excluded);
  }

  private static Node target(Choice choice) {
    return ((Choice.Send) choice).node();
  }

  @Test
  void emptyUpstreamOfAnEvacuatedDataCentreIsNotPreferredToABusyOneElsewhere() {
    dispatcher.setUpstreams(List.of(here, there));
    dispatcher.setPeersInFlight(Map.of("t", SLOTS - 1));
    evacuate("here");
    assertThat(target(choose(Set.of()))).isEqualTo(there);
    evacuate();
    assertThat(target(choose(Set.of()))).isEqualTo(here);
  }

  @Test
  void fullOrTriedUpstreamsElsewhereDoNotMakeAnEvacuatedOneEligible() {
    dispatcher.setUpstreams(List.of(here, there));
    evacuate("here");
    assertThat(choose(Set.of("t"))).isInstanceOf(Choice.Refuse.class);
    dispatcher.setPeersInFlight(Map.of("t", PLAIN_BOUND * SLOTS));
    assertThat(choose(Set.of())).isInstanceOf(Choice.Refuse.class);
  }

  @Test
  void unreachableDataCentreIsUsedRatherThanAnEvacuatedOne() {
    dispatcher.setUpstreams(List.of(here, there));
    dispatcher.setReachable("here"::equals);
    evacuate("here");
    assertThat(target(choose(Set.of()))).isEqualTo(there);
  }

  @Test
  void requestThatOnlyAnEvacuatedDataCentreCouldServeIsRefusedAtOnceWithTheReason() {
    dispatcher.setUpstreams(List.of(here, there));
    evacuate("here", "there");
    assertThat(choose(Set.of()))
        .isEqualTo(new Choice.Refuse(Dispatcher.EVACUATED, UpstreamGate.NOW));
  }

  @Test
  void nothingIsChosenOrWrittenBeforeTheEvacuationsAreKnown() {
    dispatcher.setUpstreams(List.of(here));
    assertThat(choose(Set.of())).isInstanceOf(Choice.Refuse.class);
    assertThat(gate.tryAcquire(here, 0)).isFalse();
    evacuate();
    assertThat(target(choose(Set.of()))).isEqualTo(here);
  }

  @Test
  void requestChosenBeforeTheEvacuationIsNotWrittenAfterIt() {
    evacuate();
    assertThat(gate.tryAcquire(here, 0)).isTrue();
    evacuate("here");
    assertThat(gate.tryAcquire(here, 0)).isFalse();
    assertThat(gate.tryAcquire(there, 0)).isTrue();
  }
}
