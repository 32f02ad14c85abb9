package org.fawnvale.http.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against spoilt heads that are believed, and against sound ones that are not. */
class HeadCheckTest {

  private static final int TRIES = 2_000;

  private static boolean isTaken(HeadCheck check, List<String> lines) {
    try {
      for (String line : lines) {
        check.line(line);
      }
      return true;
    } catch (MalformedMessageException e) {
      return false;
    }
  }

  private static boolean isAnswer(List<String> lines) {
    return isTaken(HeadCheck.ofAnswers(), lines);
  }

  private static boolean isRequest(List<String> lines) {
    return isTaken(HeadCheck.ofRequests(), lines);
  }

  @Provide
  Arbitrary<List<String>> answers() {
    return HeadGrammar.head(HeadGrammar.statusLine());
  }

  @Provide
  Arbitrary<List<String>> requests() {
    return HeadGrammar.head(HeadGrammar.requestLine());
  }

  @Provide
  Arbitrary<Character> noToken() {
    return HeadGrammar.noToken();
  }

  @Provide
  Arbitrary<Character> control() {
    return HeadGrammar.control();
  }

  @Property(tries = TRIES, seed = "9401")
  void soundAnswersAreTaken(@ForAll("answers") List<String> head) {
    assertThat(isAnswer(head)).isTrue();
    List<String> twice = new ArrayList<>(head);
    twice.addAll(head);
    assertThat(isAnswer(twice)).as("one after the other").isTrue();
  }

  @Property(tries = TRIES, seed = "9402")
  void soundRequestsAreTaken(@ForAll("requests") List<String> head) {
    assertThat(isRequest(head)).isTrue();
  }

  @Property(tries = TRIES, seed = "9403")
  void nameWithAByteThatIsNoTokenSpoilsTheHead(
      @ForAll("answers") List<String> head,
      @ForAll @IntRange(max = 1_000) int place,
      @ForAll("noToken") char odd) {
    List<String> spoilt = new ArrayList<>(head);
    spoilt.add(1, "X-Tone: 1");
    int line = 1 + place % (spoilt.size() - 2);
    String field = spoilt.get(line);
    int index = place % (field.indexOf(':') + 1);
    spoilt.set(line, field.substring(0, index) + odd + field.substring(index));
    assertThat(isAnswer(spoilt)).as(spoilt.toString()).isFalse();
  }

  @Property(tries = TRIES, seed = "9404")
  void controlCharacterAnywhereSpoilsTheHead(
      @ForAll("answers") List<String> answer,
      @ForAll("requests") List<String> request,
      @ForAll @IntRange(max = 1_000) int place,
      @ForAll("control") char odd) {
    assertThat(isAnswer(with(answer, place, odd))).isFalse();
    assertThat(isRequest(with(request, place, odd))).isFalse();
  }

  private static List<String> with(List<String> head, int place, char odd) {
    List<String> spoilt = new ArrayList<>(head);
    int line = place % (spoilt.size() - 1);
    String text = spoilt.get(line);
    int index = place % (text.length() + 1);
    spoilt.set(line, text.substring(0, index) + odd + text.substring(index));
    return spoilt;
  }

  @Property(tries = TRIES, seed = "9405")
  void requestWhoseNameHoldsAByteThatIsNoTokenIsRefused(
      @ForAll("requests") List<String> head, @ForAll("noToken") char odd) {
    List<String> spoilt = new ArrayList<>(head);
    spoilt.add(1, "X-To" + odd + "ne: 1");
    assertThat(isRequest(spoilt)).isFalse();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 000 OK",
        "HTTP/1.1 001 OK",
        "HTTP/1.1 099 OK",
        "HTTP/1.1 600 OK",
        "HTTP/1.1 999 OK",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 -20 OK",
        "HTTP/1.1 +20 OK",
        "HTTP/1.1 2x0 OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1\t200 OK",
        " HTTP/1.1 200 OK",
        "HTTP/1.1200 OK",
        "HTTP/0.9 200 OK",
        "HTTP/2.0 200 OK",
        "HTTP/1.x 200 OK",
        "HTTP/1. 200 OK",
        "HTTP/1.10 200 OK",
        "http/1.1 200 OK",
        "HTTP/1.1 200OK",
        "HTTP/1.1",
        "200 OK",
        "garbage"
      })
  void firstLineThatIsNoStatusLineSpoilsTheAnswer(String line) {
    assertThat(isAnswer(List.of(line, ""))).isFalse();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Content-Length: +20",
        "Content-Length: -20",
        "Content-Length:",
        "Content-Length: 2 0",
        "Content-Length: 20,20",
        "Content-Length: 20;x",
        "Content-Length: 0x14",
        "Content-Length: 20.0",
        "Content-Length: 99999999999999999999",
        "Content-Length : 20",
        "Content-Length: 20\nContent-Length: 20",
        "Content-Length: 20\nContent-Length: 21",
        "Content-Length: 20\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\nContent-Length: 20",
        "Transfer-Encoding: chunked\nTransfer-Encoding: chunked",
        "Transfer-Encoding: gzip, chunked",
        "Transfer-Encoding: chunked, chunked",
        "Transfer-Encoding: identity",
        "Transfer-Encoding: chunke",
        "Transfer-Encoding:",
        "Transfer-Encoding : chunked",
        "X-Tone: 1\n Content-Length: 20",
        "X-Tone: 1\n\tTransfer-Encoding: chunked",
        "X-Tone 1",
        ": 1",
        "X-Tone"
      })
  void fieldThatLeavesTheEndOfTheBodyOpenSpoilsTheAnswer(String lines) {
    List<String> head = new ArrayList<>(List.of("HTTP/1.1 200 OK"));
    head.addAll(List.of(lines.split("\n")));
    head.add("");
    assertThat(isAnswer(head)).isFalse();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "GET /a b HTTP/1.1",
        "GET  /a HTTP/1.1",
        "GET /a  HTTP/1.1",
        "GET /a",
        "GET HTTP/1.1",
        " GET /a HTTP/1.1",
        "G T /a HTTP/1.1",
        "G(T /a HTTP/1.1",
        "GET /a HTTP/2.0",
        "GET /a HTTP/1.1 ",
        "GET /a\tHTTP/1.1",
        "/a HTTP/1.1"
      })
  void firstLineThatIsNoRequestLineIsRefused(String line) {
    assertThat(isRequest(List.of(line, ""))).isFalse();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "Host: a\nHost: a",
        "Host: a\n b",
        "Content-Length: 1\n 2",
        "Transfer-Encoding: chunked\nContent-Length: 3",
        "Content-Length: 3\nContent-Length: 3",
        "Transfer-Encoding: chunked\n , gzip",
        " X-Tone: 1",
        "X-Tone : 1"
      })
  void requestWhoseHostOrEndIsOpenIsRefused(String lines) {
    List<String> head = new ArrayList<>(List.of("POST /a HTTP/1.1"));
    head.addAll(List.of(lines.split("\n")));
    head.add("");
    assertThat(isRequest(head)).isFalse();
  }

  @ParameterizedTest
  @ValueSource(strings = {"X-Tone: 1\n 2\n\t3", "X-Tone:\n \n 3"})
  void valueOfARequestMayGoOnInTheNextLine(String lines) {
    List<String> head = new ArrayList<>(List.of("", "", "POST /a HTTP/1.1", "Host: a"));
    head.addAll(List.of(lines.split("\n")));
    head.add("");
    assertThat(isRequest(head)).isTrue();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {"HTTP/1.0 200 OK", "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.1 204 \u00fc"})
  void unusualButSoundStatusLinesAreTaken(String line) {
    assertThat(isAnswer(List.of(line, "Content-Length: 0", ""))).isTrue();
  }
}
