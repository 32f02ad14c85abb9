package org.fawnvale.serving.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.fawnvale.serving.core.reach.UpstreamPath;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that get no answer at all because passing one on has failed. */
class UndeliverableAnswersTest {

  private static final String SIGNED = "T-Id: r\r\nT-Signed: 3e1b.07.5a2.600\r\n";
  private static final String STREAM_HEAD =
      "HTTP/1.1 200 OK\r\n"
          + SIGNED
          + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final int WAIT_MILLIS = 20_000;
  private static final int BAD_GATEWAY = 502;

  private RunningGateway running;
  private final List<ScriptedUpstream> upstreams = new ArrayList<>();

  @BeforeEach
  void start() throws IOException {
    running = new RunningGateway();
    running.makeFleetKnown();
  }

  @AfterEach
  void stop() throws IOException {
    running.close();
    for (ScriptedUpstream upstream : upstreams) {
      upstream.close();
    }
  }

  private void serve(String answer) throws IOException {
    upstreams.add(new ScriptedUpstream(answer));
    running.serve(upstreams, "");
  }

  /** Sends a request; fails if nothing has come long before its caller's own deadline. */
  private HttpResponse<String> answer(String path) {
    return running.sendLater(path, "", WAIT_MILLIS).orTimeout(5, TimeUnit.SECONDS).join();
  }

  private int inFlight() {
    synchronized (running.lock()) {
      return running.gateway().inFlight();
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Connection: close, close",
        "Connection: keep-alive, keep-alive",
        "Connection: ,, ,",
        "Content-Type: text/plain; charset=utf#8",
        "Content-Type: text/plain; charset=\"\"",
        "Content-Type: ;charset=;=;",
        "Content-Type:",
      })
  void answerWhoseHeadIsOddButSoundIsPassedOn(String line) throws IOException {
    String head = "HTTP/1.1 200 OK\r\n" + SIGNED + line + "\r\nContent-Length: 5\r\n\r\n";
    serve(head + "sound");
    HttpResponse<String> answer = answer("/unsafe/");
    assertThat(answer.statusCode()).isEqualTo(200);
    assertThat(answer.body()).isEqualTo("sound");
    assertThat(inFlight()).isZero();
  }

  /** Requests that failed while they were sent stayed in memory, and their callers waited. */
  @ParameterizedTest
  @ValueSource(strings = {"keep-alive, keep-alive", "close, close", ",,", "x-a, X-A"})
  void requestWhoseConnectionHeaderIsOddIsServedAndCountedNoLonger(String options)
      throws IOException {
    serve("HTTP/1.1 200 OK\r\n" + SIGNED + "Content-Length: 5\r\n\r\nsound");
    String answer =
        RawCaller.send(
            running.port(),
            "POST /unsafe/ HTTP/1.1\r\nHost: localhost\r\nT-Id: r\r\nT-Left: 20000\r\n"
                + "Authorization: Key secret\r\nConnection: "
                + options
                + "\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody");
    assertThat(answer).startsWith("HTTP/1.1 200").contains("sound");
    assertThat(inFlight()).isZero();
  }

  @ParameterizedTest
  @CsvSource({"/unsafe/,600", "/unsafe/,700", "/unsafe/,999", "/safe/,600", "/stream/,999"})
  void answerWithAStatusThatDoesNotExistEndsInAnErrorOfTheDaemon(String path, String status)
      throws IOException {
    serve("HTTP/1.1 " + status + " Odd\r\n" + SIGNED + "Content-Length: 3\r\n\r\nodd");
    HttpResponse<String> answer = answer(path);
    assertThat(answer.statusCode()).isEqualTo(BAD_GATEWAY);
    assertThat(answer.headers().firstValue("T-Signed")).isEmpty();
    assertThat(inFlight()).isZero();
  }

  /** A caller whose connection takes an answer only if it can be written. */
  private final class FailingCaller implements CallerResponse {
    private final Consumer<Integer> writer;
    private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
    private volatile int countedAtAnswer;

    /**
     * Creates a caller.
     *
     * @param writer throws an exception if an answer with a status can't be written
     */
    FailingCaller(Consumer<Integer> writer) {
      this.writer = writer;
    }

    private void answer(int status, String what) {
      writer.accept(status);
      countedAtAnswer = running.gateway().inFlight();
      answers.add(what + status);
    }

    @Override
    public void respond(int status, List<Header> headers, byte[] body) {
      answer(status, "");
    }

    @Override
    public void begin(int status, List<Header> headers) {
      answer(status, "begun ");
    }

    @Override
    public void write(byte[] part) {
      // Only heads are of interest.
    }

    @Override
    public int readCapacity() {
      return Integer.MAX_VALUE;
    }

    @Override
    public void collect(int bytes) {
      // Nothing is counted.
    }

    @Override
    public boolean hasRoomForPartial(int bytes) {
      return true;
    }

    @Override
    public void holdPartial(int bytes) {
      // Nothing is counted.
    }

    @Override
    public void endCollecting() {
      // Nothing is counted.
    }

    @Override
    public void end() {
      // Only heads are of interest.
    }

    @Override
    public void abort() {
      // Only heads are of interest.
    }

    @Nullable String await() throws InterruptedException {
      return answers.poll(5, TimeUnit.SECONDS);
    }
  }

  private void forward(String path, FailingCaller caller) {
    HttpRequest head = new BasicHttpRequest("POST", null, null, path);
    head.addHeader("Host", "localhost:" + running.port());
    head.addHeader("T-Id", "r");
    head.addHeader("T-Left", WAIT_MILLIS);
    head.addHeader("Authorization", "Key secret");
    synchronized (running.lock()) {
      running.gateway().forward(head, new byte[0], caller, System.nanoTime(), false);
    }
  }

  private static void failUnlessOurs(int status) {
    if (status != BAD_GATEWAY) {
      throw new IllegalArgumentException("The test writes no answer with status " + status + ".");
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK\r\n" + SIGNED + "Content-Length: 5\r\n\r\nsound",
        "HTTP/1.1 404 Not Found\r\n" + SIGNED + "Content-Length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\n" + SIGNED + "T-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
      })
  void answerThatCannotBeWrittenIsReplacedByAnErrorAndCountedUntilThen(String response)
      throws Exception {
    serve(response);
    FailingCaller caller = new FailingCaller(UndeliverableAnswersTest::failUnlessOurs);
    forward("/unsafe/", caller);
    assertThat(caller.await()).isEqualTo("502");
    assertThat(caller.countedAtAnswer).isEqualTo(1);
    assertThat(inFlight()).isZero();
  }

  @Test
  void streamWhoseHeadCannotBeWrittenIsReplacedByAnError() throws Exception {
    serve(STREAM_HEAD + ScriptedUpstream.EVENTS + "0\r\n\r\n");
    FailingCaller caller = new FailingCaller(UndeliverableAnswersTest::failUnlessOurs);
    forward("/stream/", caller);
    assertThat(caller.await()).isEqualTo("502");
    assertThat(caller.countedAtAnswer).isEqualTo(1);
    assertThat(inFlight()).isZero();
  }

  @Test
  void refusalThatCannotBeWrittenIsReplacedByAnError() throws Exception {
    FailingCaller caller = new FailingCaller(UndeliverableAnswersTest::failUnlessOurs);
    forward("/unsafe/", caller);
    assertThat(caller.await()).isEqualTo("502");
    assertThat(inFlight()).isZero();
  }

  /** A fault of the daemon itself: the caller must not be left waiting for its own deadline. */
  @Test
  void requestWhoseSendingFailsIsAnsweredAndCountedNoLonger() throws Exception {
    serve("HTTP/1.1 200 OK\r\n" + SIGNED + "Content-Length: 5\r\n\r\nsound");
    synchronized (running.lock()) {
      running.gateway().setUpstreamPath(new FailingPath());
    }
    FailingCaller caller = new FailingCaller(status -> {});
    forward("/unsafe/", caller);
    assertThat(caller.await()).isEqualTo("502");
    assertThat(inFlight()).isZero();
  }

  private static final class FailingPath implements UpstreamPath {
    @Override
    public boolean isLost() {
      throw new IllegalStateException("The test lets the path fail.");
    }

    @Override
    public boolean isDoubtful() {
      return false;
    }

    @Override
    public boolean isHeardElsewhere() {
      return false;
    }
  }
}
