package org.fawnvale.serving.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.reactor.IOSession;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.spi.Call;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against late connect timeouts: an unreachable machine answers nothing, and the reactor
 * checks the timeouts of its attempts only once a second, so the client has to time out by itself.
 */
class ConnectTimeoutTest {

  private static final long MAX_WAIT_SECONDS = 20;
  private static final Endpoint UNREACHABLE = new Endpoint("10.0.0.1", 1);

  private final Timers timers = new Timers(new Object());
  private final CompletableFuture<IOSession> attempt = new CompletableFuture<>();
  private final AtomicReference<FutureCallback<IOSession>> connecting = new AtomicReference<>();
  private final HttpClient client =
      new HttpClient(
          (endpoint, timeoutMillis, callback) -> {
            connecting.set(callback);
            return attempt;
          },
          timers);

  private static final class Listener implements ClientListener {
    final BlockingQueue<Failure> failures = new LinkedBlockingQueue<>();

    @Override
    public void head(HttpResponse response) {
      throw new AssertionError("unexpected response");
    }

    @Override
    public void data(ByteBuffer data) {
      throw new AssertionError("unexpected response");
    }

    @Override
    public void end() {
      throw new AssertionError("unexpected response");
    }

    @Override
    public void failed(Failure failure, Exception cause) {
      failures.add(failure);
    }
  }

  @AfterEach
  void stop() {
    timers.stop();
  }

  @Test
  void connectAttemptTimesOutAndIsCancelledWithoutTheReactor() throws InterruptedException {
    Listener listener = new Listener();
    synchronized (timers.lock()) {
      client.send(UNREACHABLE, new BasicHttpRequest("GET", "/"), new byte[0], listener);
    }
    assertThat(listener.failures.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS))
        .isEqualTo(ClientListener.Failure.UNREACHABLE);
    synchronized (timers.lock()) {
      assertThat(attempt.isCancelled()).isTrue();
    }
    assertThat(listener.failures).isEmpty();
  }

  @Test
  void probeTimesOutAndIsCancelledWithoutTheReactor() throws InterruptedException {
    BlockingQueue<HttpClient.ProbeResult> results = new LinkedBlockingQueue<>();
    synchronized (timers.lock()) {
      client.probe(UNREACHABLE, results::add);
    }
    assertThat(results.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS))
        .isEqualTo(HttpClient.ProbeResult.UNKNOWN);
    synchronized (timers.lock()) {
      assertThat(attempt.isCancelled()).isTrue();
    }
    assertThat(results).isEmpty();
  }

  /** The result of the attempt is processed after the timer, which was due before it. */
  @Test
  void probeOfADaemonThatWasLateItselfWaitsForItsConnection() throws InterruptedException {
    BlockingQueue<HttpClient.ProbeResult> results = new LinkedBlockingQueue<>();
    synchronized (timers.lock()) {
      client.probe(UNREACHABLE, 1, results::add);
      TimeUnit.MILLISECONDS.sleep(200);
      timers.after(0, () -> connecting.get().failed(new ConnectException("refused")));
    }
    assertThat(results.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS))
        .isEqualTo(HttpClient.ProbeResult.REFUSED);
  }

  /** Each reading of the clock is a second later than the one before, so each firing is late. */
  @Test
  void attemptOfADaemonThatStaysLateTimesOutOnce() throws InterruptedException {
    AtomicLong clock = new AtomicLong();
    BlockingQueue<String> timeouts = new LinkedBlockingQueue<>();
    synchronized (timers.lock()) {
      new ConnectTimer(
              timers,
              () -> clock.addAndGet(TimeUnit.SECONDS.toNanos(1)),
              1,
              () -> timeouts.add("timeout"))
          .start();
    }
    assertThat(timeouts.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("timeout");
    assertThat(timeouts).isEmpty();
  }

  @Test
  void callThatTimesOutBeforeItsConnectionOpensHasNotReachedItsUpstream()
      throws InterruptedException {
    BlockingQueue<BufferedCall.Reply> replies = new LinkedBlockingQueue<>();
    synchronized (timers.lock()) {
      BufferedCall.send(client, timers, UNREACHABLE, Call.get("/"), 100, replies::add);
    }
    assertThat(replies.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS))
        .isEqualTo(new BufferedCall.Failed(ClientListener.Failure.UNREACHABLE));
  }
}
