package org.fawnvale.platform;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.fawnvale.json.core.ListElement;
import org.fawnvale.json.core.ListParts;
import org.fawnvale.json.core.ListSplitter;
import org.jspecify.annotations.Nullable;

/**
 * Reads the result of a watch. An object that can't be read, whoever wrote it, is skipped; the
 * others are read, and the watch goes on behind all of them.
 */
final class ChangesReader {

  private static final Logger LOG = LogManager.getLogger(ChangesReader.class);
  private static final ObjectMapper MAPPER =
      new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
  private static final String OBJECTS = "objects";
  private static final String REVISION = "revision";
  private static final ListSplitter<JsonNode> SPLITTER =
      new ListSplitter<>(
          Set.of(OBJECTS), Set.of("name", "version", "value"), ChangesReader::readTree);

  private ChangesReader() {}

  /**
   * Reads a result.
   *
   * @param body a JSON object with a revision and a list of objects
   * @throws IOException if the body is no such object
   */
  static Changes read(byte[] body) throws IOException {
    ListParts<JsonNode> parts = SPLITTER.split(body);
    JsonNode revision = parts.frame().path(REVISION);
    if (!revision.isIntegralNumber()) {
      throw new IOException("The changes name no revision.");
    }
    List<StoredObject> objects = new ArrayList<>();
    for (ListElement<JsonNode> element : parts.elements()) {
      StoredObject object = object(element.value());
      if (object == null) {
        LOG.warn("revision={} bytes={} outcome=object_skipped", revision, element.text().length);
      } else {
        objects.add(object);
      }
    }
    return new Changes(revision.longValue(), objects);
  }

  private static @Nullable JsonNode readTree(byte[] text) {
    try {
      JsonNode tree = MAPPER.readTree(text);
      return tree.isMissingNode() ? null : tree;
    } catch (IOException e) {
      return null;
    }
  }

  private static @Nullable StoredObject object(@Nullable JsonNode tree) {
    try {
      StoredObject object = tree == null ? null : MAPPER.treeToValue(tree, StoredObject.class);
      boolean whole = object != null && object.name() != null && object.value() != null;
      return whole ? object : null;
    } catch (IOException e) {
      return null;
    }
  }
}
