package org.fawnvale.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LinkTest {

  private static final int TIMEOUT_MILLIS = 10_000;
  private static final Identity NORTH = new Identity("n", "north", "1");
  private static final Identity SOUTH = new Identity("s", "south", "2");

  private final FrameCodec codec = FrameCodec.withLimit(1024 * 1024);
  private final ExecutorService executor = Executors.newCachedThreadPool();
  private ServerSocket server;

  @BeforeEach
  void listen() throws IOException {
    server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    executor.shutdownNow();
  }

  private CompletableFuture<Link> accept(String key) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return Link.open(server.accept(), SOUTH, bytes(key), codec, TIMEOUT_MILLIS);
          } catch (IOException e) {
            throw new IllegalStateException(e);
          }
        },
        executor);
  }

  private Link dial(String key) throws IOException {
    InetSocketAddress address =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
    return Link.dial(address, NORTH, bytes(key), codec, TIMEOUT_MILLIS);
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  @Test
  void messagesArriveInOrderAndBothEndsAreAuthenticated() throws Exception {
    CompletableFuture<Link> accepted = accept("the key");
    Link north = dial("the key");
    Link south = accepted.get();
    BlockingQueue<Message> received = new LinkedBlockingQueue<>();
    south.start(executor, (link, message) -> received.add(message), () -> {});
    north.start(executor, (link, message) -> {}, () -> {});
    for (int i = 0; i < 100; i++) {
      assertThat(north.send(new Message.ForwardCancel(i))).isTrue();
    }
    for (int i = 0; i < 100; i++) {
      assertThat(received.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS))
          .isEqualTo(new Message.ForwardCancel(i));
    }
    assertThat(north.peer()).isEqualTo(SOUTH);
    assertThat(south.peer()).isEqualTo(NORTH);
    north.close();
    south.close();
  }

  @Test
  void aPeerWithAWrongKeyIsRejected() {
    CompletableFuture<Link> accepted = accept("the key");
    assertThatThrownBy(() -> dial("another key")).isInstanceOf(IOException.class);
    assertThatThrownBy(accepted::get).hasRootCauseInstanceOf(IOException.class);
  }

  @Test
  void aFrozenPeerDoesNotBlockTheSender() throws Exception {
    CompletableFuture<Link> accepted = accept("the key");
    Link north = dial("the key");
    Link south = accepted.get();
    CountDownLatch closed = new CountDownLatch(1);
    north.start(executor, (link, message) -> {}, closed::countDown);
    byte[] piece = new byte[64 * 1024];
    int sent = 0;
    while (north.send(new Message.ForwardChunk(sent, piece))) {
      sent++;
    }
    assertThat(closed.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
    assertThat(north.isClosed()).isTrue();
    south.close();
  }
}
