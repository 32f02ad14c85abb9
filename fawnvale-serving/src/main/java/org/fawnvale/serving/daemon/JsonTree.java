package org.fawnvale.serving.daemon;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/**
 * Reads JSON into a tree without the library's mapper. Callers find nobody until the settings are
 * read, and the mapper's set-up loads some 600 classes, 42 of the 200 ms of processor time until a
 * daemon listened.
 */
final class JsonTree {

  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private JsonTree() {}

  /**
   * Reads a text that holds one value.
   *
   * @param text the text
   * @return its tree
   * @throws IOException when it is not JSON
   */
  static JsonNode read(String text) throws IOException {
    try (JsonParser parser = new JsonFactory().createParser(text)) {
      if (parser.nextToken() == null) {
        throw new JsonParseException(parser, "there is no value");
      }
      JsonNode root = value(parser);
      if (parser.nextToken() != null) {
        throw new JsonParseException(parser, "more follows after the value");
      }
      return root;
    }
  }

  private static JsonNode value(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> object(parser);
      case START_ARRAY -> array(parser);
      case VALUE_STRING -> NODES.textNode(parser.getText());
      case VALUE_NUMBER_INT -> NODES.numberNode(parser.getLongValue());
      case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
      case VALUE_TRUE, VALUE_FALSE -> NODES.booleanNode(parser.getBooleanValue());
      default -> NODES.nullNode();
    };
  }

  private static JsonNode object(JsonParser parser) throws IOException {
    ObjectNode object = NODES.objectNode();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      parser.nextToken();
      object.set(name, value(parser));
    }
    return object;
  }

  private static JsonNode array(JsonParser parser) throws IOException {
    ArrayNode array = NODES.arrayNode();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      array.add(value(parser));
    }
    return array;
  }
}
