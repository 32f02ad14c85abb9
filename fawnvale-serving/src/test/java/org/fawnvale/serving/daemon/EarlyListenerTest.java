package org.fawnvale.serving.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import org.fawnvale.serving.core.model.Endpoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against refused connections of callers that connect before the daemon is constructed. */
class EarlyListenerTest {

  private static final int SHORT_TIMEOUT_MILLIS = 50;
  private static final int LONG_TIMEOUT_MILLIS = 10_000;
  private static final String REQUEST = "GET /page HTTP/1.1\r\nHost: a\r\n\r\n";

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
