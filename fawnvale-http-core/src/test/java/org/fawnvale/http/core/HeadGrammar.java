package org.fawnvale.http.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;

/** Texts by the grammar of RFC 9110 and RFC 9112, for tests. */
final class HeadGrammar {

  /** The characters of a token (RFC 9110, section 5.6.2). */
  static final String TOKEN =
      "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";

  private HeadGrammar() {}

  static Arbitrary<String> token() {
    return Arbitraries.strings().withChars(TOKEN.toCharArray()).ofMinLength(1).ofMaxLength(12);
  }

  /** Names of fields that say nothing about the body, nor about the host. */
  static Arbitrary<String> name() {
    return token()
        .filter(
            name ->
                !List.of("content-length", "transfer-encoding", "host")
                    .contains(name.toLowerCase(Locale.ROOT)));
  }

  /** Visible characters, blanks, tabs and bytes above ASCII. */
  static Arbitrary<String> text() {
    return Arbitraries.strings()
        .withCharRange(' ', '~')
        .withCharRange((char) 0x80, (char) 0xff)
        .withChars('\t')
        .ofMaxLength(20);
  }

  /** Targets hold anything but blanks and control characters. */
  static Arbitrary<String> target() {
    return Arbitraries.strings()
        .withCharRange('!', '~')
        .withCharRange((char) 0x80, (char) 0xff)
        .ofMinLength(1)
        .ofMaxLength(20);
  }

  static Arbitrary<String> field() {
    return Combinators.combine(name(), blanks(), text(), blanks())
        .as((name, before, value, behind) -> name + ":" + before + value + behind);
  }

  private static Arbitrary<String> blanks() {
    return Arbitraries.strings().withChars(' ', '\t').ofMaxLength(2);
  }

  static Arbitrary<String> statusLine() {
    return Combinators.combine(
            Arbitraries.integers().between(0, 9),
            Arbitraries.integers().between(100, 599),
            text().injectNull(0.2))
        .as(
            (version, status, reason) ->
                "HTTP/1." + version + " " + status + (reason == null ? "" : " " + reason));
  }

  static Arbitrary<String> requestLine() {
    return Combinators.combine(token(), target(), Arbitraries.integers().between(0, 9))
        .as((method, target, version) -> method + " " + target + " HTTP/1." + version);
  }

  /** The framing that a message of any version may have. */
  static Arbitrary<String> framing() {
    return Arbitraries.of("", "Content-Length: 0", "content-length:20", "CONTENT-LENGTH: \t007 ");
  }

  /** Heads: a first line, fields with the framing among them, and an empty line. */
  static Arbitrary<List<String>> head(Arbitrary<String> firstLine) {
    return Combinators.combine(
            firstLine, field().list().ofMaxSize(4), framing(), field().list().ofMaxSize(4))
        .as(
            (first, before, framing, behind) -> {
              List<String> lines = new ArrayList<>();
              lines.add(first);
              lines.addAll(before);
              if (!framing.isEmpty()) {
                lines.add(framing);
              }
              lines.addAll(behind);
              lines.add("");
              return lines;
            });
  }

  /** Bytes that stand in no text: control characters but the tab. */
  static Arbitrary<Character> control() {
    return Arbitraries.chars()
        .range('\u0000', '\u001f')
        .with('\u007f')
        .filter(character -> character != '\t');
  }

  /** Bytes that end no name and stand in none. */
  static Arbitrary<Character> noToken() {
    return Arbitraries.chars()
        .range('\u0000', '\u00ff')
        .filter(character -> character != ':' && TOKEN.indexOf(character) < 0);
  }
}
