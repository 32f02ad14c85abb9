package org.fawnvale.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParseException;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.core.model.Node;
import org.jspecify.annotations.Nullable;

/**
 * Reads the platform's list of nodes. An entry that is no node, whoever wrote it, is skipped; the
 * entries before and after it are read.
 */
final class NodeListReader {

  private static final Logger LOG = LogManager.getLogger(NodeListReader.class);

  /** Bounds each entry on its own: depth, and length of texts and numbers. */
  private static final ObjectMapper ENTRIES = new ObjectMapper();

  /** Finds the entries. Has no bounds, which would make the list of one odd entry unreadable. */
  private static final JsonFactory LIST =
      JsonFactory.builder()
          .streamReadConstraints(
              StreamReadConstraints.builder()
                  .maxNestingDepth(Integer.MAX_VALUE)
                  .maxStringLength(Integer.MAX_VALUE)
                  .maxNumberLength(Integer.MAX_VALUE)
                  .build())
          .build();

  private static final Pattern ADDRESS =
      Pattern.compile("([^\\s:/?#@\\[\\]]+|\\[[^\\s\\]]+]):(\\d{1,5})");
  private static final int PORT_GROUP = 2;
  private static final int MAX_PORT = 65_535;

  private NodeListReader() {}

  /**
   * Reads a list.
   *
   * @param body a JSON array
   * @throws IOException if the body is no JSON array
   */
  static List<Node> read(byte[] body) throws IOException {
    try {
      return readEntries(body);
    } catch (IOException e) {
      LOG.warn("outcome=read_with_replacements cause={}", e.toString());
      String replaced = new String(body, StandardCharsets.UTF_8);
      return readEntries(replaced.getBytes(StandardCharsets.UTF_8));
    }
  }

  private static List<Node> readEntries(byte[] body) throws IOException {
    List<Node> nodes = new ArrayList<>();
    try (JsonParser parser = LIST.createParser(body)) {
      if (parser.nextToken() != JsonToken.START_ARRAY) {
        throw new JsonParseException(parser, "the list of nodes is no JSON array");
      }
      while (parser.nextToken() != JsonToken.END_ARRAY) {
        Node node = entry(parser, body);
        if (node != null) {
          nodes.add(node);
        }
      }
      if (parser.nextToken() != null) {
        throw new JsonParseException(parser, "unexpected content after the list of nodes");
      }
    }
    return nodes;
  }

  private static @Nullable Node entry(JsonParser parser, byte[] body) throws IOException {
    if (parser.currentToken() != JsonToken.START_OBJECT) {
      parser.skipChildren();
      LOG.warn("outcome=entry_skipped cause=\"The entry is no object.\"");
      return null;
    }
    int start = (int) parser.currentTokenLocation().getByteOffset();
    parser.skipChildren();
    int end = (int) parser.currentLocation().getByteOffset();
    return node(Arrays.copyOfRange(body, start, end));
  }

  private static @Nullable Node node(byte[] entry) {
    try {
      Node node = ENTRIES.readValue(entry, Node.class);
      requireText("name", node.name());
      requireText("dataCentre", node.dataCentre());
      requireText("domain", node.domain());
      requireAddress(node.address());
      return node.path() == null ? withoutPath(node) : node;
    } catch (IOException | IllegalArgumentException e) {
      LOG.warn("outcome=entry_skipped cause={}", e.getMessage());
      return null;
    }
  }

  private static Node withoutPath(Node node) {
    return new Node(
        node.name(),
        node.dataCentre(),
        node.domain(),
        node.address(),
        "",
        node.service(),
        node.leaving());
  }

  private static void requireText(String key, @Nullable String text) {
    if (text == null) {
      throw new IllegalArgumentException(key + " is missing; write a text.");
    }
  }

  private static void requireAddress(@Nullable String address) {
    Matcher matcher = ADDRESS.matcher(address == null ? "" : address);
    int port = matcher.matches() ? Integer.parseInt(matcher.group(PORT_GROUP)) : 0;
    if (port < 1 || port > MAX_PORT) {
      throw new IllegalArgumentException("address = " + address + " is refused; write IP:port.");
    }
  }
}
