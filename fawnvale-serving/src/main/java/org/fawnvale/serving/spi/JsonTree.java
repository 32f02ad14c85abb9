package org.fawnvale.serving.spi;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/**
 * Reads JSON into a tree without Jackson's {@code ObjectMapper}, whose initialisation loads 434
 * classes and takes a tenth of the processor time of the daemon's start.
 */
public final class JsonTree {

  /**
   * Has no size limits: an oversized entry of one writer must not make a page with others' entries
   * unreadable.
   */
  private static final JsonFactory FACTORY =
      JsonFactory.builder()
          .streamReadConstraints(
              StreamReadConstraints.builder()
                  .maxNestingDepth(Integer.MAX_VALUE)
                  .maxStringLength(Integer.MAX_VALUE)
                  .maxNumberLength(Integer.MAX_VALUE)
                  .build())
          .build();

  /**
   * Maximum nesting depth; deeper values are read as null. No format in use nests deeper than ten.
   */
  private static final int MAX_DEPTH = 64;

  /** Maximum length of an integer; longer ones are read as null. No format in use needs them. */
  private static final int MAX_INTEGER_LENGTH = 40;

  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

  private JsonTree() {}

  /**
   * Parses a single JSON value.
   *
   * @param bytes JSON in UTF-8
   * @return tree of the value
   * @throws IOException if the bytes are not exactly one JSON value
   */
  public static JsonNode read(byte[] bytes) throws IOException {
    try (JsonParser parser = FACTORY.createParser(bytes)) {
      if (parser.nextToken() == null) {
        throw new JsonParseException(parser, "the input contains no JSON value");
      }
      JsonNode root = value(parser, 0);
      if (parser.nextToken() != null) {
        throw new JsonParseException(parser, "unexpected content after the JSON value");
      }
      return root;
    }
  }

  private static JsonNode value(JsonParser parser, int depth) throws IOException {
    if (depth > MAX_DEPTH) {
      parser.skipChildren();
      return NODES.nullNode();
    }
    return switch (parser.currentToken()) {
      case START_OBJECT -> object(parser, depth + 1);
      case START_ARRAY -> array(parser, depth + 1);
      case VALUE_STRING -> NODES.textNode(parser.getText());
      case VALUE_NUMBER_INT -> integer(parser);
      case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
      case VALUE_TRUE, VALUE_FALSE -> NODES.booleanNode(parser.getBooleanValue());
      default -> NODES.nullNode();
    };
  }

  private static JsonNode integer(JsonParser parser) throws IOException {
    if (parser.getTextLength() > MAX_INTEGER_LENGTH) {
      return NODES.nullNode();
    }
    return parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER
        ? NODES.numberNode(parser.getBigIntegerValue())
        : NODES.numberNode(parser.getLongValue());
  }

  private static JsonNode object(JsonParser parser, int depth) throws IOException {
    ObjectNode object = NODES.objectNode();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      parser.nextToken();
      object.set(name, value(parser, depth));
    }
    return object;
  }

  private static JsonNode array(JsonParser parser, int depth) throws IOException {
    ArrayNode array = NODES.arrayNode();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      array.add(value(parser, depth));
    }
    return array;
  }
}
