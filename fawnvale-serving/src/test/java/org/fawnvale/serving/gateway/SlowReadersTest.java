package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Semaphore;
import java.util.function.BooleanSupplier;
import org.fawnvale.serving.core.dispatch.UpstreamState;
import org.fawnvale.serving.core.model.Configuration;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.core.model.Node;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.fawnvale.serving.core.model.Settings;
import org.fawnvale.serving.core.route.RouteTable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Guards against callers that do not read: a daemon that holds whole responses for them runs out of
 * memory, and one that waits for them keeps other callers waiting.
 */
@Timeout(60)
class SlowReadersTest {

  private static final String FLOOD = "/stream/flood";
  private static final String LIVE = "/stream/live";
  private static final String UNARY = "/safe/unary";
  private static final String HELD = "/safe/held";
  private static final String SECOND = "/safe/second";
  private static final int MAX_BODY = 1 << 20;
  private static final int NEVER = 600_000;

  /** More than the buffers of the kernel hold on two connections. */
  private static final int FLOOD_BYTES = 48 << 20;

  private static final int EVENT_BYTES = 1_000;
  private static final int TIMEOUT_MILLIS = 20_000;
  private static final int READ_BYTES = 4 << 10;

  private final List<Socket> sockets = new ArrayList<>();
  private String model = "";
  private ProgrammedUpstream upstream;
  private RunningGateway running;

  private void start(int perCallerBytes, int totalBytes, int stalledMillis) throws IOException {
    upstream = new ProgrammedUpstream();
    running =
        new RunningGateway(new Settings.CallerBuffers(perCallerBytes, totalBytes, stalledMillis));
    running.makeFleetKnown();
    Configuration small = GatewayTest.configuration();
    Configuration configuration =
        new Configuration(
            2, small.routes(), small.services(), small.workspaces(), 16_384, MAX_BODY, 15_000);
    Endpoint endpoint = new Endpoint("127.0.0.1", upstream.port());
    String groupModel = model.isEmpty() ? null : model;
    Node node =
        new Node(
            NodeIncarnation.only("n0"),
            "s",
            endpoint,
            "a",
            200,
            false,
            "",
            groupModel,
            List.of(),
            null);
    synchronized (running.lock()) {
      running.gateway().routes(RouteTable.of(configuration));
      running.dispatcher().setUpstreams(List.of(node));
    }
    upstream.answer(FLOOD, out -> flood(out, FLOOD_BYTES));
  }

  @AfterEach
  void stop() throws IOException {
    for (Socket socket : sockets) {
      socket.close();
    }
    running.close();
    upstream.close();
  }

  private static void flood(OutputStream out, int bytes) throws IOException {
    ProgrammedUpstream.writeStreamHead(out);
    for (int id = 1; id <= bytes / EVENT_BYTES; id++) {
      ProgrammedUpstream.writeChunk(out, event(id));
    }
    ProgrammedUpstream.writeStreamEnd(out);
  }

  private static String event(int id) {
    String head = "id: " + id + "\ndata: ";
    return head + "x".repeat(EVENT_BYTES - head.length() - 2) + "\n\n";
  }

  /** Sends a request with a small receive buffer, and reads nothing. */
  private Socket send(String path, int bodyBytes) throws IOException {
    Socket socket = new Socket();
    socket.setReceiveBufferSize(READ_BYTES);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    socket.connect(new InetSocketAddress("127.0.0.1", running.port()));
    sockets.add(socket);
    writeHead(socket, path, bodyBytes);
    socket.getOutputStream().write(new byte[bodyBytes]);
    return socket;
  }

  private void writeHead(Socket socket, String path, int bodyBytes) throws IOException {
    String head =
        "POST "
            + path
            + " HTTP/1.1\r\nHost: localhost\r\nT-Id: r1\r\nT-Model: "
            + model
            + "\r\n"
            + "Authorization: Key secret\r\nContent-Length: "
            + bodyBytes
            + "\r\n\r\n";
    socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
  }

  private static void await(BooleanSupplier condition) throws InterruptedException {
    long until = System.nanoTime() + 20_000_000_000L;
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime()).as("deadline of the wait").isLessThan(until);
      Thread.sleep(2);
    }
  }

  private double held() {
    return running.metric("fawnvale.callers.held.bytes");
  }

  private double suspended(String input) {
    return running.metric("fawnvale.inputs.suspended", "input", input);
  }

  private double closedCallers() {
    return running.metric("fawnvale.callers.closed", "reason", "unread");
  }

  private static BufferedReader reader(Socket socket) throws IOException {
    return new BufferedReader(
        new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
  }

  private static void readUntil(BufferedReader in, String expected) throws IOException {
    String line = in.readLine();
    while (line != null && !line.equals(expected)) {
      line = in.readLine();
    }
    assertThat(line).isEqualTo(expected);
  }

  @Test
  void silentCallersAreBoundedAndOthersGetEachEventBeforeTheNextIsSent() throws Exception {
    int total = 1 << 20;
    int silentCallers = 50;
    start(32 << 10, total, NEVER);
    Semaphore mayWrite = new Semaphore(0);
    upstream.answer(
        LIVE,
        out -> {
          ProgrammedUpstream.writeStreamHead(out);
          for (int id = 1; id <= 200; id++) {
            mayWrite.acquire();
            ProgrammedUpstream.writeChunk(out, event(id));
          }
          ProgrammedUpstream.writeStreamEnd(out);
        });
    for (int caller = 1; caller <= silentCallers; caller++) {
      send(FLOOD, 0);
      int expected = caller;
      await(() -> upstream.received(FLOOD) == expected);
    }
    ChunkedInput live = null;
    for (int id = 1; id <= 100; id++) {
      mayWrite.release();
      live = live == null ? new ChunkedInput(send(LIVE, 0).getInputStream()) : live;
      assertThat(live.event(EVENT_BYTES)).isEqualTo(event(id));
    }
    await(() -> suspended("upstream") >= silentCallers);
    for (int id = 101; id <= 200; id++) {
      mayWrite.release();
      assertThat(live.event(EVENT_BYTES)).isEqualTo(event(id));
    }
    assertThat(live.read()).isNegative();
    assertThat(held()).isBetween(total / 2.0, total + silentCallers * 2.0 * READ_BYTES);
    assertThat(closedCallers()).isZero();
  }

  @Test
  void callerThatDoesNotReadIsClosedAndItsUpstreamCancelled() throws Exception {
    start(32 << 10, 1 << 20, 300);
    Socket silent = send(FLOOD, 0);
    assertThat(upstream.awaitCancelled(FLOOD)).isTrue();
    await(() -> closedCallers() == 1);
    assertThat(held()).isZero();
    assertThat(endsEarly(silent)).isTrue();
    synchronized (running.lock()) {
      assertThat(running.dispatcher().state("n0").inFlight()).isZero();
      assertThat(running.gateway().inFlight()).isZero();
    }
  }

  private static boolean endsEarly(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    byte[] part = new byte[READ_BYTES];
    long bytes = 0;
    try {
      for (int count = in.read(part); count >= 0; count = in.read(part)) {
        bytes += count;
      }
    } catch (IOException e) {
      return true;
    }
    return bytes < FLOOD_BYTES;
  }

  @Test
  void callerThatReadsLaterGetsTheWholeStream() throws Exception {
    start(32 << 10, 1 << 20, NEVER);
    Socket late = send(FLOOD, 0);
    await(() -> suspended("upstream") > 0);
    ChunkedInput in = new ChunkedInput(new BufferedInputStream(late.getInputStream()));
    int events = FLOOD_BYTES / EVENT_BYTES;
    for (int id = 1; id <= events; id++) {
      if (id == events / 2) {
        await(() -> suspended("upstream") > 1);
      }
      assertThat(in.event(EVENT_BYTES)).isEqualTo(event(id));
    }
    assertThat(in.read()).isNegative();
    await(() -> held() == 0);
  }

  @Test
  void completeAnswerIsDeliveredToACallerThatReadsLate() throws Exception {
    int length = 8 << 20;
    start(32 << 10, 64 << 20, 200);
    upstream.answer(
        UNARY,
        out -> {
          out.write(("Content-Length: " + length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
          out.write(new byte[length]);
        });
    Socket late = send(UNARY, 0);
    await(() -> upstream.received(UNARY) == 1 && inFlight() == 0);
    Thread.sleep(1_000);
    InputStream in = late.getInputStream();
    byte[] answer = in.readNBytes(length);
    assertThat(answer).hasSize(length);
    await(() -> held() == 0);
    assertThat(closedCallers()).isZero();
  }

  private boolean hasOpenRequests() {
    synchronized (running.lock()) {
      return running.gateway().hasOpenRequests();
    }
  }

  /** Guards against a daemon that stops while callers still read complete answers. */
  @Test
  void requestIsOpenUntilItsCallerHasReadTheAnswer() throws Exception {
    int length = 16 << 20;
    start(32 << 10, 64 << 20, NEVER);
    upstream.answer(
        UNARY,
        out -> {
          out.write(("Content-Length: " + length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
          out.write(new byte[length]);
        });
    Socket late = send(UNARY, 0);
    await(() -> upstream.received(UNARY) == 1 && inFlight() == 0);
    assertThat(hasOpenRequests()).isTrue();
    assertThat(late.getInputStream().readNBytes(length)).hasSize(length);
    await(() -> !hasOpenRequests());
  }

  /** Guards against a daemon that stops while a request arrives. */
  @Test
  void requestIsOpenWhileItsBodyArrives() throws Exception {
    start(32 << 10, 1 << 20, NEVER);
    upstream.answer(
        UNARY, out -> out.write("Content-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII)));
    Socket caller = new Socket("127.0.0.1", running.port());
    caller.setSoTimeout(TIMEOUT_MILLIS);
    sockets.add(caller);
    writeHead(caller, UNARY, 2_000);
    await(this::hasOpenRequests);
    assertThat(inFlight()).isZero();
    caller.getOutputStream().write(new byte[2_000]);
    readUntil(reader(caller), "T-Signed: s");
    await(() -> !hasOpenRequests());
  }

  @Test
  void requestOfACallerThatLeavesIsNotOpen() throws Exception {
    start(32 << 10, 1 << 20, NEVER);
    Socket leaving = send(FLOOD, 0);
    await(() -> suspended("upstream") > 0);
    assertThat(hasOpenRequests()).isTrue();
    leaving.close();
    await(() -> !hasOpenRequests());
  }

  /** The handlers of requests that wait behind another one on their connection end with it. */
  @Test
  void requestsSentAheadOfAnAnswerAreNotOpenOnceTheirCallerHasLeft() throws Exception {
    start(32 << 10, 1 << 20, NEVER);
    Socket leaving = send(FLOOD, 0);
    writeHead(leaving, UNARY, 0);
    writeHead(leaving, SECOND, 0);
    await(() -> suspended("upstream") > 0);
    assertThat(hasOpenRequests()).isTrue();
    leaving.setSoLinger(true, 0);
    leaving.close();
    await(() -> !hasOpenRequests());
    assertThat(inFlight()).isZero();
  }

  @Test
  void requestWhoseBodyIsRefusedIsNotOpenOnceItsCallerHasLeft() throws Exception {
    start(32 << 10, 64 << 20, NEVER);
    Socket caller = send(UNARY, MAX_BODY + 1);
    assertThat(reader(caller).readLine()).startsWith("HTTP/1.1 413");
    caller.close();
    await(() -> !hasOpenRequests());
  }

  /** A daemon that stops awaits no rest of a body that it has refused. */
  @Test
  void requestWhoseBodyIsRefusedIsNotOpenThoughItsCallerKeepsTheConnection() throws Exception {
    start(32 << 10, 64 << 20, NEVER);
    Socket caller = new Socket("127.0.0.1", running.port());
    caller.setSoTimeout(TIMEOUT_MILLIS);
    sockets.add(caller);
    writeHead(caller, UNARY, 2 * MAX_BODY);
    caller.getOutputStream().write(new byte[MAX_BODY + 1]);
    assertThat(reader(caller).readLine()).startsWith("HTTP/1.1 413");
    await(() -> !hasOpenRequests());
  }

  private int inFlight() {
    synchronized (running.lock()) {
      return running.gateway().inFlight();
    }
  }

  @Test
  void callerThatLeavesIsNoticedWhileItsUpstreamIsSuspended() throws Exception {
    start(32 << 10, 1 << 20, NEVER);
    Socket leaving = send(FLOOD, 0);
    await(() -> suspended("upstream") > 0);
    leaving.close();
    assertThat(upstream.awaitCancelled(FLOOD)).isTrue();
    await(() -> held() == 0);
  }

  @Test
  void bodyBeyondTheTotalIsNotReadUntilRoomComesBack() throws Exception {
    start(32 << 10, 256 << 10, NEVER);
    Semaphore mayAnswer = new Semaphore(0);
    upstream.answer(
        HELD,
        out -> {
          mayAnswer.acquire();
          out.write("Content-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII));
        });
    upstream.answer(
        UNARY, out -> out.write("Content-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII)));
    upstream.answer(
        SECOND,
        out -> out.write("Content-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII)));
    send(HELD, 160 << 10);
    await(() -> upstream.received(HELD) == 1);
    Socket second = send(SECOND, 160 << 10);
    for (int request = 0; request < 20; request++) {
      readUntil(reader(send(UNARY, 2_000)), "T-Signed: s");
    }
    assertThat(upstream.received(SECOND)).isZero();
    assertThat(held()).isLessThan(256 << 10);
    mayAnswer.release();
    readUntil(reader(second), "T-Signed: s");
    await(() -> held() == 0);
    assertThat(suspended("body")).isEqualTo(1);
  }

  @Test
  void bodyThatFindsNoRoomInTimeIsRefusedAsNotRun() throws Exception {
    start(32 << 10, 256 << 10, 300);
    upstream.answer(HELD, out -> new Semaphore(0).acquire());
    send(HELD, 160 << 10);
    await(() -> upstream.received(HELD) == 1);
    readUntil(reader(send(SECOND, 160 << 10)), "HTTP/1.1 503 Service Unavailable");
    assertThat(upstream.received(SECOND)).isZero();
    await(() -> held() == 160 << 10);
  }

  @Test
  void bodyThatDoesNotArriveGivesItsRoomToOneThatDoes() throws Exception {
    start(32 << 10, 256 << 10, 300);
    upstream.answer(
        SECOND,
        out -> out.write("Content-Length: 2\r\n\r\nok".getBytes(StandardCharsets.US_ASCII)));
    Socket silent = new Socket("127.0.0.1", running.port());
    silent.setSoTimeout(TIMEOUT_MILLIS);
    sockets.add(silent);
    writeHead(silent, UNARY, 160 << 10);
    silent.getOutputStream().write(new byte[10 << 10]);
    await(() -> held() == 10 << 10);
    Thread.sleep(600);
    readUntil(reader(send(SECOND, 160 << 10)), "T-Signed: s");
    readUntil(reader(silent), "HTTP/1.1 408 Request Timeout");
    assertThat(upstream.received(UNARY)).isZero();
    await(() -> held() == 0);
  }

  @Test
  void callersThatReadNeverWait() throws Exception {
    Settings.CallerBuffers limits = Settings.CallerBuffers.DEFAULT;
    start(limits.perCallerBytes(), (int) limits.totalBytes(), limits.stalledMillis());
    upstream.answer(FLOOD, out -> flood(out, 1 << 18));
    InputStream in = new BufferedInputStream(send(FLOOD, 100_000).getInputStream());
    assertThat(new ChunkedInput(in).readAllBytes()).hasSize((1 << 18) / EVENT_BYTES * EVENT_BYTES);
    await(() -> held() == 0);
    assertThat(suspended("upstream") + suspended("body") + closedCallers()).isZero();
  }

  @Test
  void streamThatThisDaemonSuspendedIsNotTakenForAStall() throws Exception {
    model = "m";
    start(32 << 10, 1 << 20, NEVER);
    send(FLOOD, 0);
    await(() -> suspended("upstream") > 0);
    Thread.sleep(500);
    synchronized (running.lock()) {
      running.gateway().checkStreams(Set.of());
      UpstreamState state = running.dispatcher().state("n0");
      assertThat(state.streaming()).isEqualTo(1);
      assertThat(state.isSuspect()).isFalse();
    }
  }
}
