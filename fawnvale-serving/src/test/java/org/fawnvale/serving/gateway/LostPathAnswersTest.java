package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.fawnvale.serving.core.reach.UpstreamPath;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against answers that are given up for another daemon before that one serves them. */
class LostPathAnswersTest {

  private static final String STREAM = "/stream/";
  private static final String SAFE = "/safe/";
  private static final String FIRST_EVENT = "id: 1\ndata: 1\n\n";
  private static final String LAST_EVENT = "id: 2\ndata: 2\n\n";
  private static final int TICK_MILLIS = 25;
  private static final int WAIT_MILLIS = 30_000;

  private final List<ProgrammedUpstream> upstreams = new ArrayList<>();
  private final CountDownLatch silenceEnds = new CountDownLatch(1);
  private final CountDownLatch testEnds = new CountDownLatch(1);
  private final SettablePath path = new SettablePath();
  private RunningGateway cutOff;
  private RunningGateway peer;

  /** A path that the test loses. */
  private static final class SettablePath implements UpstreamPath {
    private volatile boolean lost;

    @Override
    public boolean isDoubtful() {
      return lost;
    }

    @Override
    public boolean isLost() {
      return lost;
    }

    @Override
    public boolean isHeardElsewhere() {
      return lost;
    }
  }

  @BeforeEach
  void start() throws IOException {
    cutOff = new RunningGateway();
    peer = new RunningGateway();
    cutOff.makeFleetKnown();
    peer.makeFleetKnown();
    cutOff.gateway().setUpstreamPath(path);
    cutOff.forwardTo(peer.takeForwarded(), List.of(PeerForwardingTest.message("edge-2")));
  }

  @AfterEach
  void stop() throws IOException {
    silenceEnds.countDown();
    testEnds.countDown();
    for (ProgrammedUpstream upstream : upstreams) {
      upstream.close();
    }
    cutOff.close();
    peer.close();
  }

  /** Starts an upstream that answers queries, and is silent in its answers until silence ends. */
  private ProgrammedUpstream silentUpstream() throws IOException {
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
    upstream.answer(
        SAFE,
        out -> {
          silenceEnds.await();
          out.write("Content-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII));
          out.flush();
        });
    upstream.answer(
        TestPlatform.REPORT_PATH,
        out -> {
          out.write("Content-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
          out.flush();
        });
    upstreams.add(upstream);
    return upstream;
  }

  private void await(BooleanSupplier condition) throws InterruptedException {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MILLIS);
    while (!condition.getAsBoolean() && System.nanoTime() < until) {
      TimeUnit.MILLISECONDS.sleep(1);
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  /** The peer can't call a request not run that another daemon has sent to an upstream. */
  private double refusalsOfThePeer() {
    return peer.count("fawnvale.answers", "status", "502");
  }

  private int streamsBegun() {
    synchronized (cutOff.lock()) {
      return cutOff.dispatcher().state("n0").streaming();
    }
  }

  private HttpResponse<String> answerAfterAPeerRefused(String requestPath, String model)
      throws Exception {
    ProgrammedUpstream upstream = silentUpstream();
    cutOff.serveAt(List.of(upstream.port()), model);
    CompletableFuture<HttpResponse<String>> answer =
        cutOff.sendLater(requestPath, model, WAIT_MILLIS);
    int begun = STREAM.equals(requestPath) ? 1 : 0;
    await(() -> upstream.received(requestPath) == 1 && streamsBegun() == begun);
    path.lost = true;
    synchronized (cutOff.lock()) {
      cutOff.gateway().onPathLost();
    }
    await(() -> refusalsOfThePeer() > 0);
    TimeUnit.MILLISECONDS.sleep(TICK_MILLIS);
    silenceEnds.countDown();
    return answer.get();
  }

  @Test
  void streamGoesOnAtItsUpstreamWhenThePeerRefusesIt() throws Exception {
    assertThat(answerAfterAPeerRefused(STREAM, "m").body()).isEqualTo(FIRST_EVENT + LAST_EVENT);
  }

  @Test
  void plainAnswerOfTheUpstreamIsDeliveredWhenThePeerRefusesTheRequest() throws Exception {
    assertThat(answerAfterAPeerRefused(SAFE, "").statusCode()).isEqualTo(200);
  }

  @Test
  void forwardedStreamOfASilentUpstreamIsNotHandedBack() throws Exception {
    ProgrammedUpstream silent = silentUpstream();
    peer.serveAt(List.of(silent.port()), "m");
    path.lost = true;
    CompletableFuture<HttpResponse<String>> forwarded = cutOff.sendLater(STREAM, "m", WAIT_MILLIS);
    await(() -> silent.received(STREAM) == 1);
    ProgrammedUpstream goesOn = new ProgrammedUpstream();
    goesOn.answer(
        STREAM,
        out -> {
          ProgrammedUpstream.writeStreamHead(out);
          do {
            ProgrammedUpstream.writeChunk(out, FIRST_EVENT);
          } while (!testEnds.await(TICK_MILLIS, TimeUnit.MILLISECONDS));
        });
    goesOn.refuseAfter(STREAM, 1);
    upstreams.add(goesOn);
    peer.serveAt(List.of(silent.port(), goesOn.port()), "m");
    peer.sendLater(STREAM, "m", WAIT_MILLIS);
    await(() -> goesOn.received(STREAM) == 1);
    checkStreamsUntilSuspect();
    silenceEnds.countDown();
    assertThat(forwarded.get().body()).isEqualTo(FIRST_EVENT + LAST_EVENT);
  }

  /** Checks the peer's streams on for a while once it suspects their upstream. */
  private void checkStreamsUntilSuspect() throws InterruptedException {
    int left = 10;
    while (left > 0) {
      synchronized (peer.lock()) {
        peer.gateway().checkStreams(Set.of());
        left -= peer.dispatcher().state("n0").isSuspect() ? 1 : 0;
      }
      TimeUnit.MILLISECONDS.sleep(TICK_MILLIS);
    }
  }
}
