package org.fawnvale.core.replay;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;
import org.fawnvale.core.result.Problem;
import org.fawnvale.core.result.Result;

/**
 * JSON lines: a header, then entries of one type.
 *
 * @param header the header, from the first line
 * @param entries the entries, from the other lines
 * @param <H> the type of the header
 * @param <E> the type of the entries
 */
record JsonLines<H, E>(H header, List<E> entries) {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  JsonLines {
    entries = List.copyOf(entries);
  }

  /** Parses a text, or returns a problem with the first invalid line. */
  static <H, E> Result<JsonLines<H, E>> parse(String text, Class<H> headType, Class<E> entryType) {
    String[] lines = text.split("\n");
    List<E> entries = new ArrayList<>();
    int number = 1;
    try {
      H header = MAPPER.readValue(lines[0], headType);
      while (number < lines.length) {
        number++;
        if (!lines[number - 1].isBlank()) {
          entries.add(MAPPER.readValue(lines[number - 1], entryType));
        }
      }
      return Result.success(new JsonLines<>(header, entries));
    } catch (JsonProcessingException e) {
      return Result.failure(
          Problem.invalid(
              "line " + number,
              null,
              e.getOriginalMessage() + ".",
              "Use the format that docs/TRACES.md describes."));
    }
  }

  /** Formats the header and the entries as JSON lines. */
  String format() {
    StringBuilder text = new StringBuilder();
    try {
      text.append(MAPPER.writeValueAsString(header)).append('\n');
      for (E entry : entries) {
        text.append(MAPPER.writeValueAsString(entry)).append('\n');
      }
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
    return text.toString();
  }
}
