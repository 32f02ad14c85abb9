package org.fawnvale.serving.store;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.http.HttpClient;
import org.fawnvale.serving.http.HttpReactor;
import org.fawnvale.serving.http.Timers;
import org.fawnvale.serving.spi.Platform;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a daemon that repeats a call for changes whose answer is too long until the store
 * has forgotten the history, and answers 404 for new routes meanwhile.
 */
class LongAnswersTest {

  private static final int TOO_LONG_BYTES = 5 << 20;

  private final Object lock = new Object();
  private final Timers timers = new Timers(lock);
  private final HttpReactor reactor = HttpReactor.start(8_192);
  private final HttpClient client = new HttpClient(reactor, timers);
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private final AtomicInteger lists = new AtomicInteger();
  private final CountDownLatch stopped = new CountDownLatch(1);
  private final CountDownLatch changes = new CountDownLatch(2);
  private HttpServer server;

  @AfterEach
  void stop() {
    stopped.countDown();
    timers.stop();
    server.stop(0);
    executor.shutdownNow();
    reactor.stop();
  }

  @Test
  void objectsAreListedWhenTheChangesAreTooManyBytes() throws Exception {
    assertThat(newestValue(exchange -> StubStore.answer(exchange, new byte[TOO_LONG_BYTES])))
        .isEqualTo("list 2");
  }

  @Test
  void objectsAreListedWhenTheChangesTakeTooLong() throws Exception {
    assertThat(newestValue(this::beginAndWait)).isEqualTo("list 2");
  }

  /** Guards against a daemon that counts on a store whose answers never end. */
  @Test
  void storeWhoseListsAreTooLongCountsAsLost() throws Exception {
    CountDownLatch calls = new CountDownLatch(3);
    StoreWatch<String> watch =
        start(
            exchange -> {
              calls.countDown();
              StubStore.answer(exchange, new byte[TOO_LONG_BYTES]);
            },
            exchange -> StubStore.answer(exchange, new byte[TOO_LONG_BYTES]));
    assertThat(calls.await(10, TimeUnit.SECONDS)).isTrue();
    synchronized (lock) {
      assertThat(watch.reachable()).isFalse();
    }
  }

  /** The handler of a call to the store. */
  @FunctionalInterface
  private interface Handler {
    void answer(HttpExchange exchange) throws IOException;
  }

  private String newestValue(Handler answer) throws Exception {
    StoreWatch<String> watch = start(this::list, answer);
    assertThat(changes.await(10, TimeUnit.SECONDS)).isTrue();
    synchronized (lock) {
      return watch.objects().get(StubStore.NAME);
    }
  }

  private StoreWatch<String> start(Handler list, Handler answer) throws IOException {
    server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.setExecutor(executor);
    server.createContext(StubStore.LIST, list::answer);
    server.createContext(StubStore.WATCH, answer::answer);
    server.start();
    Endpoint address = new Endpoint("127.0.0.1", server.getAddress().getPort());
    StoreWatch<String> watch =
        new StoreWatch<>(
            new StoreClient(client, timers, address, StubStore.platform()),
            Platform.Kind.CONFIGURATION,
            StubStore::page,
            new StoreWatch.Timing(() -> 1, () -> 1),
            false,
            MergePolicy.byPosition(),
            new StoreCallMetrics(new SimpleMeterRegistry()),
            changes::countDown);
    synchronized (lock) {
      watch.start();
    }
    return watch;
  }

  private void list(HttpExchange exchange) throws IOException {
    String value = "list " + Math.min(2, lists.incrementAndGet());
    StubStore.answer(exchange, value.getBytes(StandardCharsets.US_ASCII));
  }

  private void beginAndWait(HttpExchange exchange) throws IOException {
    exchange.sendResponseHeaders(200, TOO_LONG_BYTES);
    OutputStream body = exchange.getResponseBody();
    body.write(1);
    body.flush();
    try {
      stopped.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
