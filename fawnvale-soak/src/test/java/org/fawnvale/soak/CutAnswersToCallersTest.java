package org.fawnvale.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against callers that take what the end of a connection cuts for an answer. */
class CutAnswersToCallersTest {

  private static final int MAX_REQUEST_BYTES = 8_192;
  private static final String PLAIN =
      "HTTP/1.1 200 OK\r\nX-Signature: pa0\r\nContent-Length: 2\r\n\r\n{}";
  private static final String CHUNKED =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n000a\r\ndata: 123\n\r\n0\r\n\r\n";

  private ServerSocket daemon;

  @BeforeEach
  void listen() throws IOException {
    daemon = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
  }

  @AfterEach
  void close() throws IOException {
    daemon.close();
  }

  /** Sends an answer, ends the sending side in order and waits until the caller has closed. */
  private void answer(String answer) {
    try (Socket caller = daemon.accept()) {
      caller.getInputStream().read(new byte[MAX_REQUEST_BYTES]);
      caller.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
      caller.shutdownOutput();
      caller.getInputStream().readAllBytes();
    } catch (IOException e) {
      // The caller has reset the connection.
    }
  }

  private Answer answerTo(String answer) throws InterruptedException {
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    URI uri = URI.create("http://127.0.0.1:" + daemon.getLocalPort() + "/x");
    CompletableFuture<Void> answered = CompletableFuture.runAsync(() -> answer(answer));
    Answer received = Callers.exchange(client, HttpRequest.newBuilder(uri).GET().build()).answer();
    answered.cancel(false);
    return received;
  }

  @Test
  void answersThatAreCutAtAnyByteAreNone() throws InterruptedException {
    for (String whole : new String[] {PLAIN, CHUNKED}) {
      assertThat(answerTo(whole).isSuccess()).isTrue();
      for (int length = 1; length < whole.length(); length++) {
        assertThat(answerTo(whole.substring(0, length)))
            .as("cut behind %d bytes of %s", length, whole)
            .isEqualTo(Answer.none());
      }
    }
  }
}
