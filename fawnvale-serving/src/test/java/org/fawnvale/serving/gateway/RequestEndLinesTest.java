package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.apache.logging.log4j.Level;
import org.fawnvale.serving.core.reach.UpstreamPath;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against requests that a caller loses and that no line of the log names. */
@Timeout(60)
class RequestEndLinesTest {

  private static final String SAFE = "/safe/";
  private static final String STREAM = "/stream/";
  private static final int NO_BODY = 0;
  private static final int SMALL_BUFFER = 4 << 10;

  /** More than the buffers of the kernel hold on a connection. */
  private static final int LARGE_BYTES = 16 << 20;

  private final List<Socket> sockets = new ArrayList<>();
  private CapturedLog log;
  private RunningGateway running;
  private ProgrammedUpstream upstream;

  @BeforeEach
  void start() throws IOException {
    log = new CapturedLog("gateway");
    running = new RunningGateway();
    upstream = new ProgrammedUpstream();
    running.serveAt(List.of(upstream.port()), "");
  }

  @AfterEach
  void stop() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
    running.close();
    upstream.close();
    log.close();
  }

  private Socket send(String id, String path, int statedLength, int sentLength) throws IOException {
    Socket socket = new Socket();
    sockets.add(socket);
    socket.setReceiveBufferSize(SMALL_BUFFER);
    socket.connect(new InetSocketAddress("127.0.0.1", running.port()));
    String head =
        "POST %s HTTP/1.1\r\nHost: localhost\r\nT-Id: %s\r\nAuthorization: Key secret\r\n"
            + "Content-Length: %d\r\n\r\n";
    socket
        .getOutputStream()
        .write(head.formatted(path, id, statedLength).getBytes(StandardCharsets.US_ASCII));
    socket.getOutputStream().write(new byte[sentLength]);
    return socket;
  }

  private static void reset(Socket socket) throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  private void awaitInFlight(int expected) throws InterruptedException {
    while (inFlight() != expected) {
      Thread.sleep(1);
    }
  }

  private int inFlight() {
    synchronized (running.lock()) {
      return running.gateway().inFlight();
    }
  }

  private void answerWith(String path, int length) {
    upstream.answer(
        path,
        out -> {
          out.write(("Content-Length: " + length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
          out.write(new byte[length]);
        });
  }

  @Test
  void requestWhoseCallerLeavesTheStartupQueueIsNamed() throws Exception {
    Socket caller = send("early", SAFE, NO_BODY, NO_BODY);
    while (running.gateway().queuedForFleet() != 1) {
      Thread.sleep(1);
    }
    caller.close();
    assertThat(log.await("request=early status=0 reason=caller left").level())
        .isEqualTo(Level.WARN);
  }

  @Test
  void requestWhoseCallerLeavesBeforeItsBodyIsCompleteIsNamed() throws Exception {
    running.makeFleetKnown();
    reset(send("cut", SAFE, 100, 50));
    log.await("request=cut status=0 reason=caller left");
  }

  @Test
  void requestWhoseBodyIsTooLargeIsNamed() throws Exception {
    running.makeFleetKnown();
    int tooLarge = GatewayTest.configuration().maxBodyBytes() + 1;
    send("large", SAFE, tooLarge, tooLarge);
    log.await("request=large status=413");
  }

  @Test
  void completeAnswerWhoseCallerLeavesBeforeItIsWrittenIsNamed() throws Exception {
    running.makeFleetKnown();
    answerWith(SAFE, LARGE_BYTES);
    Socket caller = send("lost", SAFE, NO_BODY, NO_BODY);
    log.await("request=lost status=200");
    reset(caller);
    CapturedLog.Line line = log.await("request=lost status=0 reason=answer not delivered");
    assertThat(line.level()).isEqualTo(Level.WARN);
  }

  @Test
  void answersThatCallersHaveReadAreNotNamedAsLost() throws Exception {
    running.makeFleetKnown();
    answerWith(SAFE, 2);
    for (int number = 0; number < 50; number++) {
      Socket caller = send("whole" + number, SAFE, NO_BODY, NO_BODY);
      readHeadAndBody(caller.getInputStream(), 2);
      caller.close();
    }
    send("barrier", SAFE, 100, 50).close();
    log.await("request=barrier status=0");
    assertThat(log.linesWith("request=whole")).noneMatch(line -> line.level() == Level.WARN);
  }

  private static void readHeadAndBody(InputStream in, int length) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      head.append((char) in.read());
    }
    assertThat(in.readNBytes(length)).hasSize(length);
  }

  @Test
  void requestsInFlightWhenTheDaemonExitsAreNamed() throws Exception {
    running.makeFleetKnown();
    upstream.answer(
        STREAM,
        out -> {
          ProgrammedUpstream.writeStreamHead(out);
          ProgrammedUpstream.writeChunk(out, "id: 1\ndata: 1\n\n");
          Thread.currentThread().join();
        });
    Socket caller = send("running", STREAM, NO_BODY, NO_BODY);
    assertThat(caller.getInputStream().read()).as("the answer has begun").isNotNegative();
    awaitInFlight(1);
    synchronized (running.lock()) {
      running.gateway().endAll();
    }
    assertThat(log.await("request=running status=0 reason=daemon exits").level())
        .isEqualTo(Level.WARN);
    assertThat(inFlight()).isZero();
  }

  @Test
  void requestThatTimesOutIsNamedInAWarningAndOneThatIsServedIsNot() throws Exception {
    running.makeFleetKnown();
    answerWith(SAFE, 2);
    assertThat(running.send(SAFE).statusCode()).isEqualTo(200);
    assertThat(log.await("request=r status=200").level()).isEqualTo(Level.INFO);
    upstream.answer(STREAM, out -> Thread.currentThread().join());
    assertThat(running.sendLater(STREAM, "", 100).get().statusCode()).isEqualTo(504);
    assertThat(log.await("request=r status=504").level()).isEqualTo(Level.WARN);
  }

  @Test
  void requestWhoseHandlingFailsIsNamedWithTheFailure() throws Exception {
    running.makeFleetKnown();
    synchronized (running.lock()) {
      running.gateway().setUpstreamPath(new FailingPath());
    }
    Socket caller = send("failing", SAFE, NO_BODY, NO_BODY);
    assertThat(log.await("request=failing why=").text()).contains(FailingPath.MESSAGE);
    log.await("request=failing status=502");
    assertThat(new String(caller.getInputStream().readNBytes(12), StandardCharsets.US_ASCII))
        .isEqualTo("HTTP/1.1 502");
  }

  /** Fails when it is asked. */
  private static final class FailingPath implements UpstreamPath {
    static final String MESSAGE = "for a test";

    @Override
    public boolean isLost() {
      throw new IllegalStateException(MESSAGE);
    }

    @Override
    public boolean isHeardElsewhere() {
      return false;
    }

    @Override
    public boolean isDoubtful() {
      return false;
    }
  }
}
