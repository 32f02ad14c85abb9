package org.fawnvale.serving.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.fawnvale.serving.core.model.Endpoint;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against a daemon that runs on without its dispatch thread and answers nothing. */
class ReactorThreadsTest {

  private static final String REQUEST = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

  private final Thread.UncaughtExceptionHandler before =
      Thread.getDefaultUncaughtExceptionHandler();
  private final CompletableFuture<String> handled = new CompletableFuture<>();
  private final HttpReactor reactor = HttpReactor.start(16_384);

  @AfterEach
  void stop() {
    reactor.stop();
    Thread.setDefaultUncaughtExceptionHandler(before);
  }

  @Test
  void errorInTheDispatchThreadReachesTheHandlerOfUncaughtExceptions() throws Exception {
    Thread.setDefaultUncaughtExceptionHandler(
        (thread, cause) -> handled.complete(thread.getName() + " " + cause.getMessage()));
    int port =
        ((java.net.InetSocketAddress)
                reactor
                    .listen(
                        new Endpoint("127.0.0.1", 0),
                        () -> {
                          throw new OutOfMemoryError("for the test");
                        })
                    .getAddress())
            .getPort();
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
      socket.getOutputStream().write(REQUEST.getBytes(java.nio.charset.StandardCharsets.US_ASCII));
      assertThat(handled.get(10, TimeUnit.SECONDS)).startsWith("dispatch ");
    }
  }
}
