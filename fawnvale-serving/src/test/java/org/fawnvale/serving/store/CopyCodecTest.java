package org.fawnvale.serving.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.EngineSpec;
import org.fawnvale.serving.core.model.MemberState;
import org.fawnvale.serving.core.model.Membership;
import org.fawnvale.serving.core.model.ModelSpec;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.model.RequestSize;
import org.fawnvale.serving.core.model.Route;
import org.fawnvale.serving.core.model.RouteKind;
import org.fawnvale.serving.core.model.ServiceSpec;
import org.fawnvale.serving.core.model.Workspace;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePosition;
import org.junit.jupiter.api.Test;

/** Guards against fields that are lost or mixed up between daemons, and against broken updates. */
class CopyCodecTest {

  private static final StorePosition PLACE = new StorePosition(new StoreEra(2), 17);

  private static <T> CopyUpdate<T> update(Map<String, T> objects) {
    return new CopyUpdate<>(
        PLACE,
        new StorePosition(new StoreEra(2), 18),
        true,
        objects,
        Map.of("one", PLACE),
        List.of("gone"));
  }

  private static Node node(String model, Membership membership) {
    return new Node(
        new NodeIncarnation("n", 1_700_000_000_000L),
        "drafter",
        new Endpoint("127.0.0.1", 80),
        "south",
        4,
        true,
        "domain",
        model,
        List.of("large", "small"),
        membership,
        250);
  }

  private static Configuration configuration(Map<String, Workspace> workspaces) {
    ModelSpec model = new ModelSpec("large", 2, 0.25, 1.5, 3, 4);
    EngineSpec engine =
        new EngineSpec(
            24,
            1L << 40,
            4,
            512,
            List.of(model),
            1.5,
            2.5,
            3.5,
            4.5,
            5.5,
            6.5,
            7,
            8,
            new RequestSize(9, 10));
    Route route =
        new Route(
            "r",
            "host",
            "/p",
            RouteKind.STREAMING,
            1,
            2,
            3,
            4,
            List.of(new Route.Destination("drafter", 0.5)),
            5,
            true,
            false);
    ServiceSpec drafter = new ServiceSpec("drafter", 6, engine, new ServiceSpec.ColdStart(7, 8.5));
    return new Configuration(
        11,
        List.of(route),
        Map.of("drafter", drafter, "plain", new ServiceSpec("plain", 9, null)),
        workspaces,
        12,
        13,
        14,
        15);
  }

  @Test
  void nodesAreRestored() throws IOException {
    Membership membership = new Membership("g~n", 7, 1, MemberState.CLOSING);
    CopyUpdate<Node> update =
        update(Map.of("one", node("large", membership), "two", node(null, null)));
    assertThat(CopyCodec.NODES.read(CopyCodec.NODES.write(update))).isEqualTo(update);
  }

  @Test
  void configurationsAreRestored() throws IOException {
    CopyUpdate<Configuration> update =
        update(
            Map.of(
                "one", configuration(Map.of("key", new Workspace("garden", -1))),
                "two", configuration(null)));
    assertThat(CopyCodec.CONFIGURATIONS.read(CopyCodec.CONFIGURATIONS.write(update)))
        .isEqualTo(update);
  }

  @Test
  void everyTruncatedUpdateIsRefused() throws IOException {
    byte[] bytes = CopyCodec.NODES.write(update(Map.of("one", node(null, null))));
    for (int length = 0; length < bytes.length; length++) {
      byte[] part = Arrays.copyOf(bytes, length);
      assertThatThrownBy(() -> CopyCodec.NODES.read(part)).isInstanceOf(IOException.class);
    }
  }
}
