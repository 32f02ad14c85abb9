package org.fawnvale.serving.store;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.watch.StoreEra;
import org.fawnvale.serving.core.watch.StorePosition;
import org.fawnvale.serving.http.HttpClient;
import org.fawnvale.serving.http.HttpReactor;
import org.fawnvale.serving.http.Timers;
import org.fawnvale.serving.spi.Page;
import org.fawnvale.serving.spi.Platform;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a daemon that hears nothing of the store any more behind one odd change. */
class WatchFaultsTest {

  private final Object lock = new Object();
  private final Timers timers = new Timers(lock);
  private final HttpReactor reactor = HttpReactor.start(8_192);
  private final HttpClient client = new HttpClient(reactor, timers);
  private final AtomicInteger answers = new AtomicInteger();
  private HttpServer server;

  @AfterEach
  void stop() {
    timers.stop();
    server.stop(0);
    reactor.stop();
  }

  private StoreWatch<String> start(StoreWatch.Reader<String> reader, Runnable listener)
      throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext(
        "/",
        exchange -> {
          String value = "value " + answers.incrementAndGet();
          StubStore.answer(exchange, value.getBytes(StandardCharsets.US_ASCII));
        });
    server.start();
    Endpoint address = new Endpoint("127.0.0.1", server.getAddress().getPort());
    StoreWatch<String> watch =
        new StoreWatch<>(
            new StoreClient(client, timers, address, StubStore.platform()),
            Platform.Kind.NODES,
            reader,
            new StoreWatch.Timing(() -> 1, () -> 1),
            false,
            MergePolicy.byPosition(),
            new StoreCallMetrics(new SimpleMeterRegistry()),
            listener);
    synchronized (lock) {
      watch.start();
    }
    return watch;
  }

  @Test
  void watchGoesOnBehindAFaultOfItsListener() throws Exception {
    AtomicInteger calls = new AtomicInteger();
    CountDownLatch heardAgain = new CountDownLatch(3);
    start(
        StubStore::page,
        () -> {
          heardAgain.countDown();
          if (calls.incrementAndGet() <= 2) {
            throw new IllegalStateException("The test lets the listener fail.");
          }
        });
    assertThat(heardAgain.await(10, TimeUnit.SECONDS)).isTrue();
  }

  /** Without a name nothing can be removed or kept; the other entries hold. */
  @Test
  void entryWithoutANameIsNoEntry() throws Exception {
    CountDownLatch changes = new CountDownLatch(2);
    StoreWatch<String> watch = start(WatchFaultsTest::withNamelessEntry, changes::countDown);
    assertThat(changes.await(10, TimeUnit.SECONDS)).isTrue();
    synchronized (lock) {
      assertThat(watch.objects()).containsOnlyKeys(StubStore.NAME);
      assertThat(watch.updateSince(StorePosition.NONE).removed()).isEmpty();
      assertThat(watch.updateSince(StubStore.PLACE).removed()).isEmpty();
    }
  }

  private static Page<String> withNamelessEntry(StoreEra era, byte[] body) {
    StorePosition position = new StorePosition(era, StubStore.PLACE.revision() + body.length);
    return new Page<>(
        List.of(
            new Page.Item<>("", position, false, null),
            new Page.Item<>(StubStore.NAME, position, false, "value")),
        false,
        StubStore.NAME,
        position);
  }
}
