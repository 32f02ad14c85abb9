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

/** Guards against streams that are given up before another upstream has taken them on. */
class MovedStreamsTest {

  private static final String STREAM = "/stream/";
  private static final String FIRST_EVENT = "id: 1\ndata: 1\n\n";
  private static final String SECOND_EVENT = "id: 2\ndata: 2\n\n";
  private static final String HALF_EVENT = "id: 2\nda";
  private static final int TICK_MILLIS = 25;
  private static final int EVENT_MILLIS = 10;
  private static final int WAIT_MILLIS = 30_000;

  private final List<ProgrammedUpstream> upstreams = new ArrayList<>();
  private final CountDownLatch silenceEnds = new CountDownLatch(1);
  private final CountDownLatch testEnds = new CountDownLatch(1);
  private volatile boolean breaksOff;
  private RunningGateway running;

  @BeforeEach
  void start() throws IOException {
    running = new RunningGateway();
    running.makeFleetKnown();
  }

  @AfterEach
  void stop() throws IOException {
    silenceEnds.countDown();
    testEnds.countDown();
    for (ProgrammedUpstream upstream : upstreams) {
      upstream.close();
    }
    running.close();
  }

  /** What an upstream does with a second stream, while its first one goes on. */
  private interface SecondStream {
    void write(OutputStream out) throws IOException, InterruptedException;
  }

  /** Adds an upstream that answers queries and writes nothing from its first event on. */
  private void addSilent(String beforeTheSilence) throws IOException {
    ProgrammedUpstream upstream = new ProgrammedUpstream();
    upstream.answer(
        STREAM,
        out -> {
          ProgrammedUpstream.writeStreamHead(out);
          ProgrammedUpstream.writeChunk(out, beforeTheSilence);
          silenceEnds.await();
          if (breaksOff) {
            throw new IOException("breaks off");
          }
          ProgrammedUpstream.writeChunk(
              out, (FIRST_EVENT + SECOND_EVENT).substring(beforeTheSilence.length()));
          ProgrammedUpstream.writeStreamEnd(out);
        });
    upstream.answer(
        TestPlatform.REPORT_PATH,
        out -> {
          out.write("Content-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
          out.flush();
        });
    upstreams.add(upstream);
  }

  /** Adds an upstream whose first stream has an event each 10 ms to the end of the test. */
  private void addGoingOn(SecondStream second) throws IOException {
    ProgrammedUpstream upstream = new ProgrammedUpstream();
    upstream.answer(
        STREAM,
        out -> {
          if (upstream.received(STREAM) > 1) {
            second.write(out);
            return;
          }
          ProgrammedUpstream.writeStreamHead(out);
          do {
            ProgrammedUpstream.writeChunk(out, FIRST_EVENT);
          } while (!testEnds.await(EVENT_MILLIS, TimeUnit.MILLISECONDS));
          ProgrammedUpstream.writeStreamEnd(out);
        });
    upstreams.add(upstream);
  }

  private void serve() {
    running.serveAt(upstreams.stream().map(ProgrammedUpstream::port).toList(), "m");
  }

  private CompletableFuture<HttpResponse<String>> beginStreamAt(String node) throws Exception {
    CompletableFuture<HttpResponse<String>> answer = running.sendLater(STREAM, "m", WAIT_MILLIS);
    checkStreamsUntil(() -> running.dispatcher().state(node).streaming() == 1);
    return answer;
  }

  private void checkStreamsUntil(BooleanSupplier condition) throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS);
    while (!holds(condition) && System.nanoTime() < until) {
      tick();
    }
    assertThat(holds(condition)).isTrue();
  }

  private boolean holds(BooleanSupplier condition) {
    synchronized (running.lock()) {
      return condition.getAsBoolean();
    }
  }

  private void tick() throws InterruptedException {
    synchronized (running.lock()) {
      running.gateway().checkStreams(Set.of());
    }
    TimeUnit.MILLISECONDS.sleep(TICK_MILLIS);
  }

  private CompletableFuture<HttpResponse<String>> beginBothAndFallSilent(
      String beforeTheSilence, SecondStream second) throws Exception {
    addSilent(beforeTheSilence);
    serve();
    CompletableFuture<HttpResponse<String>> moved = running.sendLater(STREAM, "m", WAIT_MILLIS);
    checkStreamsUntil(() -> upstreams.get(0).received(STREAM) == 1);
    addGoingOn(second);
    serve();
    beginStreamAt("n1");
    return moved;
  }

  @Test
  void streamGoesOnWhenTheUpstreamThatItIsMovedToRefusesIt() throws Exception {
    CompletableFuture<HttpResponse<String>> moved = beginBothAndFallSilent(FIRST_EVENT, out -> {});
    upstreams.get(1).refuseAfter(STREAM, 1);
    checkStreamsUntil(() -> upstreams.get(1).received(STREAM) == 2);
    checkStreamsUntil(() -> running.dispatcher().state("n1").inFlight() == 1);
    silenceEnds.countDown();
    assertThat(moved.get().body()).isEqualTo(FIRST_EVENT + SECOND_EVENT);
    assertThat(upstreams.get(0).received(STREAM)).isEqualTo(1);
  }

  @Test
  void streamGoesOnWhenTheUpstreamThatItIsMovedToBreaksItOff() throws Exception {
    CompletableFuture<HttpResponse<String>> moved =
        beginBothAndFallSilent(
            FIRST_EVENT,
            out -> {
              throw new IOException("breaks off");
            });
    checkStreamsUntil(() -> upstreams.get(1).received(STREAM) == 2);
    checkStreamsUntil(() -> running.dispatcher().state("n1").inFlight() == 1);
    silenceEnds.countDown();
    assertThat(moved.get().body()).isEqualTo(FIRST_EVENT + SECOND_EVENT);
  }

  @Test
  void streamGoesOnWhenItsUpstreamIsFasterThanTheOneThatItIsMovedTo() throws Exception {
    CompletableFuture<HttpResponse<String>> moved =
        beginBothAndFallSilent(
            FIRST_EVENT + HALF_EVENT,
            out -> {
              ProgrammedUpstream.writeStreamHead(out);
              ProgrammedUpstream.writeChunk(out, HALF_EVENT);
              testEnds.await();
            });
    checkStreamsUntil(() -> upstreams.get(1).received(STREAM) == 2);
    silenceEnds.countDown();
    assertThat(moved.get().body()).isEqualTo(FIRST_EVENT + SECOND_EVENT);
    checkStreamsUntil(() -> running.dispatcher().state("n1").inFlight() == 1);
  }

  @Test
  void movedStreamHasEachEventOnceWhenTheNewUpstreamIsFaster() throws Exception {
    CompletableFuture<HttpResponse<String>> moved =
        beginBothAndFallSilent(
            FIRST_EVENT + HALF_EVENT,
            out -> {
              ProgrammedUpstream.writeStreamHead(out);
              ProgrammedUpstream.writeChunk(out, SECOND_EVENT);
              ProgrammedUpstream.writeStreamEnd(out);
            });
    checkStreamsUntil(moved::isDone);
    assertThat(moved.get().body()).isEqualTo(FIRST_EVENT + SECOND_EVENT);
    assertThat(running.dispatcher().state("n0").inFlight()).isZero();
    assertThat(running.dispatcher().state("n1").inFlight()).isEqualTo(1);
  }

  @Test
  void streamThatItsUpstreamBreaksOffGoesOnAtTheOneThatItIsMovedTo() throws Exception {
    CompletableFuture<HttpResponse<String>> moved =
        beginBothAndFallSilent(
            FIRST_EVENT,
            out -> {
              silenceEnds.await();
              TimeUnit.MILLISECONDS.sleep(10 * TICK_MILLIS);
              ProgrammedUpstream.writeStreamHead(out);
              ProgrammedUpstream.writeChunk(out, SECOND_EVENT);
              ProgrammedUpstream.writeStreamEnd(out);
            });
    checkStreamsUntil(() -> upstreams.get(1).received(STREAM) == 2);
    breaksOff = true;
    silenceEnds.countDown();
    assertThat(moved.get().body()).isEqualTo(FIRST_EVENT + SECOND_EVENT);
    assertThat(upstreams.get(1).received(STREAM)).isEqualTo(2);
  }

  @Test
  void streamIsNotSentToMoreUpstreamsThanItsRouteAllowsWhileTwoHaveIt() throws Exception {
    CompletableFuture<HttpResponse<String>> moved =
        beginBothAndFallSilent(
            FIRST_EVENT,
            out -> {
              throw new IOException("breaks off");
            });
    addGoingOn(out -> {});
    serve();
    checkStreamsUntil(() -> upstreams.get(1).received(STREAM) == 2);
    checkStreamsUntil(() -> running.dispatcher().state("n1").inFlight() == 1);
    for (int round = 0; round < 20; round++) {
      tick();
    }
    assertThat(upstreams.get(2).received(STREAM)).isZero();
    silenceEnds.countDown();
    assertThat(moved.get().body()).isEqualTo(FIRST_EVENT + SECOND_EVENT);
  }

  @Test
  void streamThatADissolvedGroupLeavesBehindIsNoSilenceOfTheNextGroup() throws Exception {
    addSilent(FIRST_EVENT);
    serve();
    CompletableFuture<HttpResponse<String>> left = beginStreamAt("n0");
    running.leaveFirst();
    checkStreamsUntil(() -> running.dispatcher().state("n0").includedStreaming() == 0);
    serve();
    for (int round = 0; round < 20; round++) {
      tick();
    }
    assertThat(running.dispatcher().state("n0").isSuspect()).isFalse();
    silenceEnds.countDown();
    assertThat(left.get().body()).isEqualTo(FIRST_EVENT + SECOND_EVENT);
  }

  @Test
  void streamThatADissolvedGroupLeavesBehindIsMovedThoughItsHeadServesOthers() throws Exception {
    addGoingOn(
        out -> {
          ProgrammedUpstream.writeStreamHead(out);
          ProgrammedUpstream.writeChunk(out, FIRST_EVENT);
          testEnds.await();
        });
    serve();
    beginStreamAt("n0");
    CompletableFuture<HttpResponse<String>> left = running.sendLater(STREAM, "m", WAIT_MILLIS);
    checkStreamsUntil(() -> running.dispatcher().state("n0").streaming() == 2);
    addGoingOn(out -> {});
    upstreams
        .get(1)
        .answer(
            STREAM,
            out -> {
              ProgrammedUpstream.writeStreamHead(out);
              ProgrammedUpstream.writeChunk(out, SECOND_EVENT);
              ProgrammedUpstream.writeStreamEnd(out);
            });
    serve();
    running.leaveFirst();
    checkStreamsUntil(left::isDone);
    assertThat(left.get().body()).isEqualTo(FIRST_EVENT + SECOND_EVENT);
  }
}
