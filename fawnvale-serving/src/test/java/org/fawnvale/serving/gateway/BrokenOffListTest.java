package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.HttpResponse;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.quarantine.StoredQuarantineRecord;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePosition;
import org.fawnvale.serving.http.HttpClient;
import org.fawnvale.serving.http.HttpReactor;
import org.fawnvale.serving.http.Timers;
import org.fawnvale.serving.spi.Call;
import org.fawnvale.serving.spi.JsonTree;
import org.fawnvale.serving.spi.Page;
import org.fawnvale.serving.store.QuarantineStore;
import org.fawnvale.serving.store.StoreClient;
import org.junit.jupiter.api.Test;

/** Guards against a list of the store that is broken off and never asked for again. */
class BrokenOffListTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n";

  /** Reads an empty list. */
  private static final class ListPlatform extends TestPlatform {
    @Override
    public Call list(Kind kind, String afterName, boolean allowStale) {
      return Call.get("/list");
    }

    @Override
    public StoreEra era(HttpResponse head) {
      return StoreEra.UNKNOWN;
    }

    @Override
    public Page<StoredQuarantineRecord> keptRecords(StoreEra era, byte[] body) throws IOException {
      JsonTree.read(body);
      return new Page<>(List.of(), false, "", StorePosition.NONE);
    }
  }

  @Test
  void listThatEndsWithItsConnectionBeforeItIsWholeIsLoadedAgain() throws Exception {
    HttpReactor reactor = HttpReactor.start(16_384);
    Timers timers = new Timers(new Object());
    CompletableFuture<List<StoredQuarantineRecord>> loaded = new CompletableFuture<>();
    try (ScriptedUpstream store =
        new ScriptedUpstream(
            HEAD + "{\"items\": [" + ScriptedUpstream.RESET,
            HEAD + "{\"items\": []}" + ScriptedUpstream.RESET)) {
      QuarantineStore quarantine =
          new QuarantineStore(
              new StoreClient(
                  new HttpClient(reactor, timers),
                  timers,
                  new Endpoint("127.0.0.1", store.port()),
                  new ListPlatform()),
              System::currentTimeMillis,
              loaded::complete);
      synchronized (timers.lock()) {
        quarantine.load();
      }
      assertThat(loaded.get(20, TimeUnit.SECONDS)).isEmpty();
      assertThat(store.requests()).hasSize(2);
    } finally {
      timers.stop();
      reactor.stop();
    }
  }
}
