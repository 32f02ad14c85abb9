package org.fawnvale.standins;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.regex.Pattern;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against spoilt answers that are sound, which callers would rightly be given. */
class SpoiltAnswerTest {

  private static final int DRAWS = 3_000;
  private static final Pattern STATUS = Pattern.compile("HTTP/1\\.1 [1-5][0-9]{2} .*");
  private static final Pattern FIELD =
      Pattern.compile("[!#$%&'*+.^_`|~0-9A-Za-z-]+:[ \\t]*[\\x20-\\x7e\\t]*");
  private static final Pattern LENGTH = Pattern.compile("Content-Length: [0-9]+");
  private static final Pattern CHUNK = Pattern.compile("[0-9A-Fa-f]+\r\n(?s:.*)");

  private static Reply reply(String framing) {
    Reply events = Reply.events(out -> out.write(0)).and("X-Request-Tone", "a");
    Reply json = Reply.json(200, "a body").and("X-Request-Tone", "a");
    return switch (framing) {
      case "length" -> json;
      case "chunks" -> events;
      case "unframed" -> json.endingWithConnection();
      default -> events.endingWithConnection();
    };
  }

  private static boolean isSound(String text) {
    String[] parts = text.split("\r\n\r\n", 2);
    List<String> lines = List.of(parts[0].split("\r\n"));
    List<String> fields = lines.subList(1, lines.size());
    boolean chunked = fields.contains("Transfer-Encoding: chunked");
    return STATUS.matcher(lines.get(0)).matches()
        && fields.stream().allMatch(field -> FIELD.matcher(field).matches())
        && fields.stream()
            .filter(field -> field.startsWith("Content-Length"))
            .allMatch(field -> LENGTH.matcher(field).matches())
        && fields.stream().noneMatch(field -> field.matches("Transfer-Encoding: (?!chunked).*"))
        && (!chunked || CHUNK.matcher(parts[1]).matches());
  }

  @ParameterizedTest
  @ValueSource(strings = {"length", "chunks", "unframed", "unframed events"})
  void everySpoiltAnswerBreaksTheGrammar(String framing) {
    for (int draw = 0; draw < DRAWS; draw++) {
      assertThat(SpoiltAnswer.spoilt(reply(framing)))
          .satisfies(text -> assertThat(isSound(text)).isFalse());
    }
  }
}
