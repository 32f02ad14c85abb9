package org.fawnvale.daemon.state;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.io.UncheckedIOException;

/** Converts the values of the platform's objects from and to JSON; unknown keys are ignored. */
public final class Documents {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

  private Documents() {}

  /**
   * Serializes a value.
   *
   * @return the value as JSON
   */
  public static byte[] write(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * Parses a value.
   *
   * @param json the value as JSON
   * @param type the class of the value
   * @param <T> the type of the value
   * @throws IOException if the JSON is malformed or does not fit the type
   */
  public static <T> T read(byte[] json, Class<T> type) throws IOException {
    return MAPPER.readValue(json, type);
  }
}
