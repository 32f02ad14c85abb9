package org.fawnvale.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against requests that end without a result because of a type that nobody reads here. */
class OddContentTypesTest {

  private static final String ODD = "application/json; charset=utf#8";

  @Test
  void requestAndAnswerWithAnOddTypeArePassedOnAsTheyAre() throws IOException {
    String answer =
        "HTTP/1.1 200 OK\r\nFawnvale-Hop: hop\r\nContent-Length: 5\r\nContent-Type: "
            + ODD
            + "\r\n\r\nsound";
    try (ScriptedServer server = new ScriptedServer()) {
      server.script(answer.getBytes(StandardCharsets.US_ASCII), false, true);
      UpstreamRequest request =
          new UpstreamRequest(
              server.address(),
              "POST",
              "/x",
              Map.of("Content-Type", ODD),
              new byte[] {'{', '}'},
              "hop",
              false,
              true);
      OpenResult result =
          UpstreamClient.create(5000, 5000).open(request, Deadline.in(System::nanoTime, 5000));
      assertThat(result).isInstanceOf(OpenResult.Opened.class);
      try (OpenAnswer opened = ((OpenResult.Opened) result).answer()) {
        assertThat(opened.contentType()).isEqualTo(ODD);
        assertThat(opened.readWhole(100).isSuccess()).isTrue();
      }
    }
  }
}
