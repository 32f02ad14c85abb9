package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.HttpResponse;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.peer.DaemonRecord;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePosition;
import org.fawnvale.serving.http.HttpClient;
import org.fawnvale.serving.http.HttpReactor;
import org.fawnvale.serving.http.Timers;
import org.fawnvale.serving.spi.Call;
import org.fawnvale.serving.spi.JsonTree;
import org.fawnvale.serving.spi.Page;
import org.fawnvale.serving.store.DaemonRegistry;
import org.fawnvale.serving.store.StoreClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against daemons that divide the retry slack by fewer daemons than the store lists. */
class DaemonRegistryTest {

  private static final long NOW = 1_800_000_000_000L;
  private static final String OK = "HTTP/1.1 200 OK\r\nContent-Length: ";
  private static final String UNAVAILABLE = "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n";

  private final HttpReactor reactor = HttpReactor.start(16_384);
  private final Timers timers = new Timers(new Object());
  private final BlockingQueue<Set<String>> listed = new LinkedBlockingQueue<>();

  @AfterEach
  void stop() {
    timers.stop();
    reactor.stop();
  }

  /** Objects are arrays of a name and the time until which it counts. */
  private static final class ArrayPlatform extends TestPlatform {
    @Override
    public Call list(Kind kind, String afterName, boolean allowStale) {
      return Call.get("/list");
    }

    @Override
    public Call create(DaemonRecord daemon) {
      return Call.get("/create/" + daemon.daemon());
    }

    @Override
    public Call remove(Kind kind, String name) {
      return Call.get("/remove/" + name);
    }

    @Override
    public StoreEra era(HttpResponse head) {
      return StoreEra.UNKNOWN;
    }

    @Override
    public Page<DaemonRecord> daemons(StoreEra era, byte[] body) throws IOException {
      List<Page.Item<DaemonRecord>> items = new ArrayList<>();
      for (var item : JsonTree.read(body)) {
        DaemonRecord daemon = new DaemonRecord(item.get(0).asText(), item.get(1).asLong());
        items.add(new Page.Item<>(daemon.daemon(), StorePosition.NONE, false, daemon));
      }
      return new Page<>(items, false, "", StorePosition.NONE);
    }
  }

  private static String body(String json) {
    return OK + json.length() + "\r\n\r\n" + json;
  }

  private static List<String> paths(ScriptedUpstream store) {
    return store.requests().stream().map(head -> head.get("").split(" ")[1]).toList();
  }

  private void start(ScriptedUpstream store) {
    DaemonRegistry registry =
        new DaemonRegistry(
            new StoreClient(
                new HttpClient(reactor, timers),
                timers,
                new Endpoint("127.0.0.1", store.port()),
                new ArrayPlatform()),
            () -> NOW,
            "d0",
            listed::add);
    synchronized (timers.lock()) {
      registry.start();
    }
  }

  private static String answer(String path, String list) {
    return "/list".equals(path) ? body(list) : body("[]");
  }

  @Test
  void listedDaemonsAreToldAndThisOneIsRegistered() throws Exception {
    String list = "[[\"d1\", " + (NOW + 1) + "], [\"d2\", " + (NOW + 1) + "]]";
    try (ScriptedUpstream store =
        new ScriptedUpstream(head -> answer(head.get("").split(" ")[1], list))) {
      start(store);
      assertThat(listed.poll(20, TimeUnit.SECONDS)).containsExactlyInAnyOrder("d1", "d2");
      while (!paths(store).contains("/create/d0")) {
        Thread.onSpinWait();
      }
    }
  }

  @Test
  void storeThatIsAwayIsAskedAgainAndOutdatedRecordsAreRemoved() throws Exception {
    String list = "[[\"d1\", " + (NOW + 1) + "], [\"gone\", " + (NOW - 1) + "]]";
    try (ScriptedUpstream store =
        new ScriptedUpstream(UNAVAILABLE, body(list), body("[]"), body("[]"))) {
      start(store);
      assertThat(listed.poll(20, TimeUnit.SECONDS)).containsExactly("d1");
      while (!paths(store).contains("/remove/gone")) {
        Thread.onSpinWait();
      }
    }
  }

  @Test
  void emptyListDoesNotMakeTheFleetKnown() throws Exception {
    try (ScriptedUpstream store =
        new ScriptedUpstream(head -> answer(head.get("").split(" ")[1], "[]"))) {
      start(store);
      while (!paths(store).contains("/create/d0")) {
        Thread.onSpinWait();
      }
      assertThat(listed).isEmpty();
    }
  }
}
