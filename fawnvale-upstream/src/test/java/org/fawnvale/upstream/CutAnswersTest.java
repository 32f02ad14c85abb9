package org.fawnvale.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against answers that the end of their connection cuts and that count as whole. */
class CutAnswersTest {

  private static final String HOP = "\r\nFawnvale-Hop: hop\r\n";

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

  private OpenResult open(String answer) {
    server.script(answer.getBytes(StandardCharsets.US_ASCII), false, true);
    UpstreamRequest request =
        new UpstreamRequest(
            server.address(), "POST", "/x", Map.of(), new byte[] {'{', '}'}, "hop", false, true);
    return client.open(request, Deadline.in(System::nanoTime, 5000));
  }

  /** Returns whether an answer counts as lost or its body as cut. */
  private boolean isFailure(String answer) {
    OpenResult result = open(answer);
    if (result instanceof OpenResult.Opened opened) {
      try (OpenAnswer head = opened.answer()) {
        return !(head.copyTo(new ByteArrayOutputStream(), 1_000) instanceof CopyResult.Whole);
      }
    }
    return result instanceof OpenResult.Failed;
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "204 No Content" + HOP + "\r\n",
        "503 Unavailable" + HOP + "Fawnvale-Not-Run: 1\r\nRetry-After: 120\r\n\r\n",
        "200 OK" + HOP + "Content-Length: 12\r\n\r\n123456789012",
        "200 OK" + HOP + "Transfer-Encoding: chunked\r\n\r\n05\r\nwhole\r\n0\r\nT-End: 1\r\n\r\n"
      })
  void answerThatItsConnectionsEndCutsIsNone(String rest) {
    String whole = "HTTP/1.1 " + rest;
    List<String> believed = new ArrayList<>();
    for (int end = 0; end < whole.length(); end++) {
      String cut = whole.substring(0, end);
      if (!isFailure(cut)) {
        believed.add(cut);
      }
    }
    assertThat(believed).isEmpty();
  }

  @Test
  void streamWithoutChunksStillEndsWithItsConnection() throws IOException {
    String head = "HTTP/1.1 200 OK" + HOP + "Content-Type: text/event-stream\r\n\r\n";
    assertThat(isFailure(head + "data: 1\n\ndata: [DONE]\n\n")).isFalse();
  }

  @Test
  void wholeRejectionIsStillBelieved() {
    String answer =
        "HTTP/1.1 503 Unavailable" + HOP + "Fawnvale-Not-Run: 1\r\nRetry-After: 120\r\n\r\n";
    assertThat(open(answer)).isEqualTo(new OpenResult.Refused(503, 120));
  }
}
