package org.fawnvale.http.core;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bodies whose spoilt sizes or trailers are believed. */
class ChunkCheckTest {

  private static boolean isTaken(List<String> lines) {
    ChunkCheck check = new ChunkCheck();
    try {
      for (String line : lines) {
        check.line(line);
      }
      return check.isInTrailer();
    } catch (MalformedMessageException e) {
      return false;
    }
  }

  @Provide
  Arbitrary<String> sizes() {
    return Combinators.combine(
            Arbitraries.longs().between(1, 0xffff_ffff_ffffL),
            Arbitraries.of("", " ", "\t", ";x", " ; x=1", ";x=\"a b\";y"),
            Arbitraries.of(true, false))
        .as((size, behind, upper) -> hex(size, upper) + behind);
  }

  private static String hex(long size, boolean upper) {
    String text = Long.toHexString(size);
    return upper ? text.toUpperCase(java.util.Locale.ROOT) : text;
  }

  @Provide
  Arbitrary<String> fields() {
    return HeadGrammar.field();
  }

  @Property(tries = 1_000, seed = "9406")
  void soundChunksAndTrailersAreTaken(
      @ForAll List<@net.jqwik.api.From("sizes") String> sizes,
      @ForAll List<@net.jqwik.api.From("fields") String> trailer) {
    List<String> lines = new ArrayList<>();
    for (String size : sizes) {
      lines.add(size);
      lines.add("");
    }
    lines.add("000;last");
    lines.addAll(trailer);
    lines.add("");
    assertThat(isTaken(lines)).isTrue();
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "+14",
        "-14",
        " 14",
        "0x14",
        "14h",
        "1 4",
        "g",
        ";x",
        "14 x",
        "14\u0000",
        "14;\u0001",
        "fffffffffffffffff",
        "14,",
        "\u00b9"
      })
  void sizeThatIsNoNumberSpoilsTheBody(String size) {
    assertThat(isTaken(List.of(size, "", "0", ""))).isFalse();
    assertThat(isTaken(List.of("1", "", size, "", "0", ""))).isFalse();
  }

  @ParameterizedTest
  @ValueSource(strings = {"X", "X Tone: 1", "X-Tone : 1", " X-Tone: 1", ": 1", "X-Tone: \u0001"})
  void trailerThatIsNoFieldSpoilsTheBody(String line) {
    assertThat(isTaken(List.of("0", line, ""))).isFalse();
  }

  @ParameterizedTest
  @ValueSource(strings = {"x", "0", " "})
  void bytesBehindAChunkSpoilTheBody(String line) {
    assertThat(isTaken(List.of("5", line, "0", ""))).isFalse();
  }
}
