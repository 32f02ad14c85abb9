package org.fawnvale.serving.store;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.watch.CopyDelays;
import org.fawnvale.serving.core.watch.StartupFetches;
import org.fawnvale.serving.core.watch.StartupPeriod;
import org.fawnvale.serving.core.watch.StorePosition;
import org.fawnvale.serving.http.HttpClient;
import org.fawnvale.serving.http.HttpReactor;
import org.fawnvale.serving.http.Timers;
import org.fawnvale.serving.spi.Platform;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;

/**
 * A daemon that starts while the store's first answer is lost. Its timers never run, so that each
 * copy it gets is one that late timers do not delay.
 */
class StartingCopyTest {

  private static final StorePosition PLACE = StubStore.PLACE;
  private static final String PEER_PATH = "/copies";

  private final Object lock = new Object();
  private final Timers timers = new Timers(lock);
  private final HttpReactor reactor = HttpReactor.start(8_192);
  private final HttpClient client = new HttpClient(reactor, timers);
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final AtomicInteger lists = new AtomicInteger();
  private final CountDownLatch firstList = new CountDownLatch(1);
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final CountDownLatch copied = new CountDownLatch(1);
  private final AtomicLong now = new AtomicLong();
  private HttpServer server;
  private StoreWatch<String> watch;

  @BeforeEach
  void start() throws Exception {
    timers.stop();
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(executor);
    server.createContext(StubStore.LIST, this::list);
    server.createContext(PEER_PATH, this::copy);
    server.start();
    watch = watch(copied::countDown);
    synchronized (lock) {
      watch.start();
    }
    assertThat(firstList.await(10, TimeUnit.SECONDS)).isTrue();
  }

  @AfterEach
  void stop() {
    stopped.countDown();
    server.stop(0);
    executor.shutdownNow();
    reactor.stop();
  }

  private StoreWatch<String> watch(Runnable onChange) {
    Endpoint store = new Endpoint("127.0.0.1", server.getAddress().getPort());
    StoreWatch.Timing timing = new StoreWatch.Timing(() -> 1, () -> 1);
    return new StoreWatch<>(
        new StoreClient(client, timers, store, StubStore.platform()),
        Platform.Kind.CONFIGURATION,
        StubStore::page,
        timing,
        false,
        MergePolicy.byPosition(),
        new StoreCallMetrics(new SimpleMeterRegistry()),
        onChange);
  }

  /** The store never answers the first list. */
  private void list(HttpExchange exchange) throws IOException {
    if (lists.incrementAndGet() > 1) {
      StubStore.answer(exchange, "from the store".getBytes(StandardCharsets.US_ASCII));
      return;
    }
    firstList.countDown();
    try {
      stopped.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A peer that has the newest copy. */
  private void copy(HttpExchange exchange) throws IOException {
    StoreWatch<String> peer = watch(() -> {});
    peer.merge(
        new CopyUpdate<>(
            PLACE,
            PLACE,
            true,
            Map.of(StubStore.NAME, "from a peer"),
            Map.of(StubStore.NAME, PLACE),
            List.of()));
    StubStore.answer(exchange, exchange(peer).respond(exchange.getRequestURI().toString()));
  }

  private PeerCopyExchange<String> exchange(StoreWatch<String> of) {
    return new PeerCopyExchange<>(
        client,
        timers,
        of,
        PEER_PATH,
        server.getAddress().getPort(),
        new CopyCodec<>(MessageBufferPacker::packString, MessageUnpacker::unpackString),
        CopyDelays.CONFIGURATION,
        new StartupFetches(new StartupPeriod(0)),
        now::get);
  }

  private String copiedValue() throws InterruptedException {
    assertThat(copied.await(10, TimeUnit.SECONDS)).isTrue();
    synchronized (lock) {
      return watch.objects().get(StubStore.NAME);
    }
  }

  /** Guards against the timeout of 1.5 s and the backoff, both late, after a lost list. */
  @Test
  void listsAgainWhenTheStoreAnswersAnotherCall() throws Exception {
    long answered = System.nanoTime();
    synchronized (lock) {
      watch.repeatIfLost(answered, answered + StartupPeriod.ANSWER_NANOS);
    }
    assertThat(copiedValue()).isEqualTo("from the store");
  }

  /** Guards against a delay of 0.6 s, and late, for a store that does not answer. */
  @Test
  void fetchesFromAnyPeerThatAdvertisesANewerCopy() throws Exception {
    PeerCopyExchange<String> exchange = exchange(watch);
    var remote = new PeerCopyExchange.Advertisement("127.0.0.1", false, PLACE, false);
    synchronized (lock) {
      exchange.onAdvertisement(remote);
      now.addAndGet(StartupPeriod.ANSWER_NANOS);
      exchange.onAdvertisement(remote);
    }
    assertThat(copiedValue()).isEqualTo("from a peer");
  }
}
