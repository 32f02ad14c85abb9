package org.fawnvale.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against a caller that is given the answer to the request before, which came twice. */
class UnnamedAnswersTest {

  private final UpstreamClient client = UpstreamClient.create(5000, 5000);
  private ScriptedServer server;

  @BeforeEach
  void start() throws IOException {
    server = new ScriptedServer();
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
  }

  private String send(String body, boolean answeredTwice) throws IOException {
    String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    server.script(answer.getBytes(StandardCharsets.US_ASCII), answeredTwice, false);
    UpstreamRequest request =
        new UpstreamRequest(
            server.address(), "POST", "/x", Map.of(), new byte[] {'{', '}'}, "hop", false, false);
    ByteArrayOutputStream received = new ByteArrayOutputStream();
    OpenResult result = client.open(request, Deadline.in(System::nanoTime, 5000));
    try (OpenAnswer opened = ((OpenResult.Opened) result).answer()) {
      opened.copyTo(received, 1_000);
    }
    return received.toString(StandardCharsets.US_ASCII);
  }

  @Test
  void secondAnswerToARequestIsNotTakenForTheNextRequest() throws IOException {
    assertThat(send("first", true)).isEqualTo("first");
    assertThat(send("second", false)).isEqualTo("second");
  }
}
