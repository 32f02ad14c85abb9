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

/** Guards against answers with a spoilt head, chunk size or trailer that are taken for sound. */
class SpoiltAnswersTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\nFawnvale-Hop: hop\r\n";
  private static final String LENGTH = "Content-Length: 5\r\n";
  private static final String CODING = "Transfer-Encoding: chunked\r\n";
  private static final String CHUNKS = "5\r\nsound\r\n0\r\n\r\n";

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
    server.script(answer.getBytes(StandardCharsets.ISO_8859_1), false, true);
    UpstreamRequest request =
        new UpstreamRequest(
            server.address(), "POST", "/x", Map.of(), new byte[] {'{', '}'}, "hop", false, true);
    return client.open(request, Deadline.in(System::nanoTime, 5000));
  }

  /** Returns the body of an answer that counts as whole; null if it counts as lost or cut. */
  private String body(String answer) {
    if (!(open(answer) instanceof OpenResult.Opened opened)) {
      return null;
    }
    try (OpenAnswer head = opened.answer()) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      return head.copyTo(body, 1_000) instanceof CopyResult.Whole
          ? body.toString(StandardCharsets.UTF_8)
          : null;
    }
  }

  private static List<String> spoiltAnswers() {
    List<String> answers = new ArrayList<>();
    for (char odd : " \t\u0000\u0001\u007f\u0080\u00ff/([=".toCharArray()) {
      answers.add(HEAD + LENGTH + "X" + odd + "Tone: 1\r\n\r\nsound");
      answers.add(HEAD + "Content" + odd + "Length: 5\r\n\r\nsound");
      answers.add(HEAD + "Transfer" + odd + "Encoding: chunked\r\n\r\n" + CHUNKS);
    }
    for (String line :
        List.of(
            "X-Tone : 1",
            " X-Tone: 1",
            "X-Tone",
            ": 1",
            "X-Tone: \u0000",
            "Content-Length: 5",
            "Content-Length: 6",
            "Transfer-Encoding: chunked")) {
      answers.add(HEAD + LENGTH + line + "\r\n\r\nsound");
    }
    for (String length : List.of("+5", "-5", "5x", "", "5,5", "99999999999999999999")) {
      answers.add(HEAD + "Content-Length: " + length + "\r\n\r\nsound");
    }
    for (String size : List.of("+5", "-5", "5h", "0x5", "", "5\u0000")) {
      answers.add(HEAD + CODING + "\r\n" + CHUNKS.replaceFirst("5", size));
    }
    for (String trailer : List.of("X", "X Tone: 1", "X-Tone : 1", " X-Tone: 1")) {
      answers.add(HEAD + CODING + "\r\n5\r\nsound\r\n0\r\n" + trailer + "\r\n\r\n");
    }
    for (String first :
        List.of("HTTP/1.1 000 OK", "HTTP/1.1 600 OK", "HTTP/1.1 20 OK", "HTTP/0.9 200 OK")) {
      answers.add(HEAD.replace("HTTP/1.1 200 OK", first) + LENGTH + "\r\nsound");
    }
    return answers;
  }

  @Test
  void spoiltAnswerCountsAsLost() {
    List<String> taken = spoiltAnswers().stream().filter(answer -> body(answer) != null).toList();
    assertThat(taken).isEmpty();
  }

  @Test
  void refusalInASpoiltHeadIsNotBelieved() {
    String line = "Fawnvale-Hop: hop\r\nFawnvale-Not-Run";
    for (String spoilt : List.of(" : 1", ": 1\r\nX Tone: 1", ": 1\r\n X-Tone: 1")) {
      String answer = "HTTP/1.1 503 Full\r\n" + line + spoilt + "\r\nContent-Length: 0\r\n\r\n";
      assertThat(open(answer)).as(spoilt).isInstanceOf(OpenResult.Failed.class);
    }
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        HEAD + "Content-Length:\t 05 \r\n\r\nsound",
        HEAD + "transfer-encoding: Chunked\r\n\r\n05;a=\"b c\"\r\nsound\r\n00;x\r\nX-End:\r\n\r\n",
        "HTTP/1.0 200\r\nFawnvale-Hop: hop\r\n" + LENGTH + "\r\nsound",
        "HTTP/1.1 103 Early\r\nX-Tone: 1\r\n\r\n" + HEAD + LENGTH + "\r\nsound"
      })
  void unusualButSoundAnswerIsTaken(String answer) {
    assertThat(body(answer)).isEqualTo("sound");
  }
}
