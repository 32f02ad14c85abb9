package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against answers that are broken off or repeated because their upstream is silent. */
class SilentUpstreamsTest {

  private static final String STREAM = "/stream/";
  private static final String FIRST_EVENT = "id: 1\ndata: 1\n\n";
  private static final String LAST_EVENT = "id: 2\ndata: 2\n\n";
  private static final long SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_300);
  private static final int TICK_MILLIS = 25;
  private static final int EVENT_MILLIS = 10;
  private static final int WAIT_MILLIS = 30_000;

  private final List<ProgrammedUpstream> upstreams = new ArrayList<>();
  private final CountDownLatch silenceEnds = new CountDownLatch(1);
  private RunningGateway running;

  @BeforeEach
  void start() throws IOException {
    running = new RunningGateway();
    running.makeFleetKnown();
  }

  @AfterEach
  void stop() throws IOException {
    silenceEnds.countDown();
    for (ProgrammedUpstream upstream : upstreams) {
      upstream.close();
    }
    running.close();
  }

  /** Starts an upstream that is silent from the first event of a stream to the end of silence. */
  private void addUpstreamThatFallsSilent() throws IOException {
    ProgrammedUpstream upstream = new ProgrammedUpstream();
    upstream.answer(
        STREAM,
        out -> {
          ProgrammedUpstream.writeStreamHead(out);
          ProgrammedUpstream.writeChunk(out, FIRST_EVENT);
          silenceEnds.await();
          ProgrammedUpstream.writeChunk(out, LAST_EVENT);
          ProgrammedUpstream.writeStreamEnd(out);
        });
    upstream.answer(TestPlatform.REPORT_PATH, out -> silenceEnds.await());
    upstreams.add(upstream);
  }

  /** Starts an upstream that sends an event each 10 ms to the end of silence. */
  private void addUpstreamThatGoesOn() throws IOException {
    ProgrammedUpstream upstream = new ProgrammedUpstream();
    upstream.answer(
        STREAM,
        out -> {
          ProgrammedUpstream.writeStreamHead(out);
          do {
            ProgrammedUpstream.writeChunk(out, FIRST_EVENT);
          } while (!silenceEnds.await(EVENT_MILLIS, TimeUnit.MILLISECONDS));
          ProgrammedUpstream.writeStreamEnd(out);
        });
    upstreams.add(upstream);
  }

  private void serve() {
    running.serveAt(upstreams.stream().map(ProgrammedUpstream::port).toList(), "m");
  }

  private CompletableFuture<HttpResponse<String>> beginStreamAt(String node) throws Exception {
    CompletableFuture<HttpResponse<String>> answer = running.sendLater(STREAM, "m", WAIT_MILLIS);
    await(() -> running.dispatcher().state(node).streaming() == 1);
    return answer;
  }

  private void await(BooleanSupplier condition) throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS);
    while (!holds(condition) && System.nanoTime() < until) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
    assertThat(holds(condition)).isTrue();
  }

  private boolean holds(BooleanSupplier condition) {
    synchronized (running.lock()) {
      return condition.getAsBoolean();
    }
  }

  private void checkStreamsFor(long nanos) throws InterruptedException {
    long until = System.nanoTime() + nanos;
    while (System.nanoTime() < until) {
      tick();
    }
  }

  private void tick() throws InterruptedException {
    synchronized (running.lock()) {
      running.gateway().checkStreams(Set.of());
    }
    TimeUnit.MILLISECONDS.sleep(TICK_MILLIS);
  }

  private long received() {
    return upstreams.stream().mapToLong(upstream -> upstream.received(STREAM)).sum();
  }

  @Test
  void streamIsNotMovedBetweenUpstreamsThatFallSilentTogether() throws Exception {
    addUpstreamThatFallsSilent();
    serve();
    CompletableFuture<HttpResponse<String>> first = beginStreamAt("n0");
    addUpstreamThatFallsSilent();
    serve();
    CompletableFuture<HttpResponse<String>> second = beginStreamAt("n1");
    checkStreamsFor(SILENCE_NANOS);
    silenceEnds.countDown();
    assertThat(first.get().body()).isEqualTo(FIRST_EVENT + LAST_EVENT);
    assertThat(second.get().body()).isEqualTo(FIRST_EVENT + LAST_EVENT);
    assertThat(received()).isEqualTo(2);
  }

  private void checkStreamsUntil(BooleanSupplier condition) throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS);
    while (!holds(condition) && System.nanoTime() < until) {
      tick();
    }
    assertThat(holds(condition)).isTrue();
  }

  @Test
  void streamOfASilentUpstreamThatIsConnectedIsNotMovedBesideOneThatGoesOn() throws Exception {
    addUpstreamThatFallsSilent();
    serve();
    CompletableFuture<HttpResponse<String>> silent = beginStreamAt("n0");
    addUpstreamThatGoesOn();
    serve();
    CompletableFuture<HttpResponse<String>> other = beginStreamAt("n1");
    checkStreamsFor(SILENCE_NANOS);
    assertThat(running.dispatcher().state("n0").isPaused()).isTrue();
    silenceEnds.countDown();
    assertThat(silent.get().body()).isEqualTo(FIRST_EVENT + LAST_EVENT);
    assertThat(other.get().statusCode()).isEqualTo(200);
    assertThat(received()).isEqualTo(2);
  }

  @Test
  void streamOfAnUpstreamThatAnswersQueriesAndStandsStillIsMovedToOneThatGoesOn() throws Exception {
    addUpstreamThatFallsSilent();
    upstreams.get(0).answer(TestPlatform.REPORT_PATH, SilentUpstreamsTest::writeEmptyAnswer);
    serve();
    beginStreamAt("n0");
    addUpstreamThatGoesOn();
    serve();
    beginStreamAt("n1");
    checkStreamsUntil(() -> running.dispatcher().state("n1").inFlight() == 2);
  }

  private static void writeEmptyAnswer(OutputStream out) throws IOException {
    out.write("Content-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    out.flush();
  }

  @Test
  void streamOfAStalledUpstreamMovesToOneThatWasHeardRatherThanToAnIdleOne() throws Exception {
    addUpstreamThatFallsSilent();
    upstreams.get(0).answer(TestPlatform.REPORT_PATH, SilentUpstreamsTest::writeEmptyAnswer);
    serve();
    beginStreamAt("n0");
    addUpstreamThatGoesOn();
    serve();
    beginStreamAt("n1");
    addUpstreamThatGoesOn();
    serve();
    checkStreamsUntil(() -> running.dispatcher().state("n0").inFlight() == 0);
    assertThat(running.dispatcher().state("n1").inFlight()).isEqualTo(2);
    assertThat(upstreams.get(2).received(STREAM)).isZero();
  }

  @Test
  void streamIsNotMovedToAPausedUpstream() throws Exception {
    addUpstreamThatFallsSilent();
    serve();
    beginStreamAt("n0");
    upstreams.get(0).close();
    addUpstreamThatGoesOn();
    serve();
    synchronized (running.lock()) {
      running.dispatcher().state("n1").requestSent(System.nanoTime());
      running.dispatcher().state("n1").markPaused();
    }
    checkStreamsUntil(() -> running.dispatcher().state("n0").isSuspect());
    checkStreamsFor(SILENCE_NANOS / 4);
    assertThat(running.dispatcher().state("n0").inFlight()).isEqualTo(1);
    assertThat(upstreams.get(1).received(STREAM)).isZero();
  }

  @Test
  void streamOfAnUpstreamThatAcceptsNoConnectionIsMoved() throws Exception {
    addUpstreamThatFallsSilent();
    serve();
    beginStreamAt("n0");
    upstreams.get(0).close();
    addUpstreamThatGoesOn();
    serve();
    checkStreamsUntil(() -> running.dispatcher().state("n1").inFlight() == 1);
  }

  @Test
  void requestsAreSentToAPausedUpstreamOnlyWhereNoOtherTakesThem() throws Exception {
    addUpstreamThatFallsSilent();
    serve();
    CompletableFuture<HttpResponse<String>> first = beginStreamAt("n0");
    checkStreamsUntil(() -> running.dispatcher().state("n0").isPaused());
    CompletableFuture<HttpResponse<String>> second = running.sendLater(STREAM, "m", WAIT_MILLIS);
    await(() -> running.dispatcher().state("n0").inFlight() == 2);
    addUpstreamThatGoesOn();
    serve();
    beginStreamAt("n1");
    silenceEnds.countDown();
    assertThat(first.get().statusCode()).isEqualTo(200);
    assertThat(second.get().statusCode()).isEqualTo(200);
  }
}
