package org.fawnvale.standins;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;

/** Reads and writes JSON. */
final class Json {

  static final ObjectMapper MAPPER = new ObjectMapper();

  private Json() {}

  static byte[] bytes(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e);
    }
  }

  static JsonNode tree(byte[] body) throws IOException {
    return MAPPER.readTree(body);
  }
}
