package org.fawnvale.platform;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.core.model.Node;
import org.fawnvale.json.core.ListElement;
import org.fawnvale.json.core.ListSplitter;
import org.jspecify.annotations.Nullable;

/**
 * Reads the platform's list of nodes. An entry that is no node, whoever wrote it, is skipped; the
 * entries before and after it are read.
 */
final class NodeListReader {

  private static final Logger LOG = LogManager.getLogger(NodeListReader.class);

  /** Bounds each entry on its own: depth, and length of texts and numbers. */
  private static final ObjectMapper ENTRIES =
      new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

  private static final ListSplitter<JsonNode> SPLITTER =
      new ListSplitter<>(
          Set.of(),
          Set.of("name", "dataCentre", "domain", "address", "path", "service", "leaving"),
          NodeListReader::readTree);

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
    List<Node> nodes = new ArrayList<>();
    for (ListElement<JsonNode> entry : SPLITTER.split(body).elements()) {
      Node node = node(entry.value());
      if (node != null) {
        nodes.add(node);
      }
    }
    return nodes;
  }

  private static @Nullable JsonNode readTree(byte[] text) {
    try {
      JsonNode tree = ENTRIES.readTree(text);
      return tree.isMissingNode() ? null : tree;
    } catch (IOException e) {
      LOG.warn("outcome=entry_unreadable cause={}", e.getMessage());
      return null;
    }
  }

  private static @Nullable Node node(@Nullable JsonNode entry) {
    if (entry == null || !entry.isObject()) {
      LOG.warn("outcome=entry_skipped cause=\"The entry is no JSON object; write one.\"");
      return null;
    }
    try {
      Node node = ENTRIES.treeToValue(entry, Node.class);
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
