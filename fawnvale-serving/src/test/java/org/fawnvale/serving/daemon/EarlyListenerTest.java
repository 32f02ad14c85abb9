package org.fawnvale.serving.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.fawnvale.serving.core.flow.CallerHolding;
import org.fawnvale.serving.core.model.Endpoint;
import org.fawnvale.serving.http.ServerExchange;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against refused connections of callers that connect before the daemon is constructed. */
class EarlyListenerTest {

  private static final int SHORT_TIMEOUT_MILLIS = 50;
  private static final int LONG_TIMEOUT_MILLIS = 10_000;
  private static final String REQUEST = "GET /page HTTP/1.1\r\nHost: a\r\n\r\n";

  private static final int CONNECTION_LIMIT = 1_500;

  /** Takes a request and never answers. */
  private static final class SilentExchange implements ServerExchange {
    private final CountDownLatch begun;

    SilentExchange(CountDownLatch begun) {
      this.begun = begun;
    }

    @Override
    public void connected(Runnable closeConnection, CallerHolding holding) {
      holding.beginRequest(System.nanoTime());
      begun.countDown();
      // Never closed from here.
    }

    @Override
    public boolean isResponsePending() {
      return true;
    }

    @Override
    public boolean isEnded() {
      return false;
    }

    @Override
    public void callerClosed() {
      // Nothing to stop.
    }

    @Override
    public void handleRequest(
        HttpRequest request, EntityDetails details, ResponseChannel channel, HttpContext context) {
      // Never answered.
    }

    @Override
    public void updateCapacity(CapacityChannel channel) {
      // There is no body.
    }

    @Override
    public void consume(ByteBuffer data) {
      // There is no body.
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
      // There is no body.
    }

    @Override
    public int available() {
      return 0;
    }

    @Override
    public void produce(DataStreamChannel channel) {
      // Never answered.
    }

    @Override
    public void failed(Exception cause) {
      // Nothing to release.
    }

    @Override
    public void releaseResources() {
      // Nothing to release.
    }
  }

  private Endpoint frontend;
  private EarlyListener listener;

  @BeforeEach
  void open() throws IOException {
    try (ServerSocket freePort = new ServerSocket(0)) {
      frontend = new Endpoint("127.0.0.1", freePort.getLocalPort());
    }
    listener = EarlyListener.open(frontend);
  }

  @AfterEach
  void close() {
    listener.reactor().stop();
  }

  @Test
  void requestBeforeStartIsAnsweredOnceTheDaemonServes() throws IOException {
    try (Socket caller = new Socket(frontend.host(), frontend.port())) {
      caller.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
      caller.setSoTimeout(SHORT_TIMEOUT_MILLIS);
      assertThat(readResponse(caller)).isEmpty();

      listener.serve(
          () ->
              new SimpleResponseHandler(
                  new Object(), target -> new SimpleResponseHandler.Response(200, new byte[0])));

      caller.setSoTimeout(LONG_TIMEOUT_MILLIS);
      assertThat(readResponse(caller)).startsWith("HTTP/1.1 200");
    }
  }

  /**
   * Each open connection holds a file and buffers; the caller's retry meets another daemon. One
   * that has had no whole request for a second would make room for the late one, so all must have
   * begun.
   */
  @Test
  void connectionsBeyondTheLimitAreClosedUnreadWhileRequestsAreInProgress() throws Exception {
    List<Socket> callers = new ArrayList<>();
    CountDownLatch begun = new CountDownLatch(CONNECTION_LIMIT);
    try {
      for (int number = 0; number < CONNECTION_LIMIT; number++) {
        callers.add(new Socket(frontend.host(), frontend.port()));
      }
      for (Socket caller : callers) {
        caller.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
      }
      listener.serve(() -> new SilentExchange(begun));
      assertThat(begun.await(30, TimeUnit.SECONDS)).isTrue();
      try (Socket late = new Socket(frontend.host(), frontend.port())) {
        late.setSoTimeout(LONG_TIMEOUT_MILLIS);
        assertThatThrownBy(() -> read(late)).isInstanceOf(SocketException.class);
      }
    } finally {
      for (Socket caller : callers) {
        caller.close();
      }
    }
  }

  /** Fails where the connection is closed unread, with a reset or an end. */
  private static void read(Socket socket) throws IOException {
    if (socket.getInputStream().read() < 0) {
      throw new SocketException("closed");
    }
  }

  private static String readResponse(Socket caller) throws IOException {
    byte[] buffer = new byte[64];
    try {
      int length = caller.getInputStream().read(buffer);
      return new String(buffer, 0, Math.max(0, length), StandardCharsets.US_ASCII);
    } catch (SocketTimeoutException e) {
      return "";
    }
  }
}
