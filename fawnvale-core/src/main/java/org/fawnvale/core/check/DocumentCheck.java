package org.fawnvale.core.check;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.networknt.schema.InputFormat;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import com.networknt.schema.serialization.JsonNodeReader;
import com.networknt.schema.utils.JsonNodes;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.fawnvale.core.result.Problem;

/**
 * Validates a JSON document against its schema, then against rules that a schema cannot express.
 */
final class DocumentCheck<T> {

  private static final ObjectMapper MAPPER =
      JsonMapper.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();

  private final JsonSchema schema;
  private final Class<T> type;
  private final Function<T, List<Problem>> rules;

  DocumentCheck(String schemaResource, Class<T> type, Function<T, List<Problem>> rules) {
    this.schema = load(schemaResource);
    this.type = type;
    this.rules = rules;
  }

  private static JsonSchema load(String resource) {
    JsonSchemaFactory factory =
        JsonSchemaFactory.getInstance(
            SpecVersion.VersionFlag.V202012,
            builder -> builder.jsonNodeReader(JsonNodeReader.builder().locationAware().build()));
    try (InputStream in = DocumentCheck.class.getResourceAsStream(resource)) {
      return factory.getSchema(in);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  CheckedDocument<T> check(String text) {
    try {
      MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      return failed(List.of(malformed(e)));
    }
    List<Problem> problems = new ArrayList<>();
    for (ValidationMessage message : schema.validate(text, InputFormat.JSON)) {
      problems.add(problem(message));
    }
    if (!problems.isEmpty()) {
      return failed(problems);
    }
    try {
      T value = MAPPER.readValue(text, type);
      List<Problem> ruleProblems = rules.apply(value);
      return ruleProblems.isEmpty()
          ? new CheckedDocument<>(value, List.of())
          : failed(ruleProblems);
    } catch (JsonProcessingException e) {
      return failed(List.of(malformed(e)));
    }
  }

  private static <T> CheckedDocument<T> failed(List<Problem> problems) {
    return new CheckedDocument<>(null, problems);
  }

  private static Problem malformed(JsonProcessingException e) {
    JsonLocation location = e.getLocation();
    String position =
        location == null ? "document" : position(location.getLineNr(), location.getColumnNr());
    return Problem.invalid(
        position, null, e.getOriginalMessage() + ".", "Correct the JSON at this position.");
  }

  private static Problem problem(ValidationMessage message) {
    JsonNode node = message.getInstanceNode();
    JsonLocation location = node == null ? null : JsonNodes.tokenLocationOf(node);
    String locationSuffix =
        location == null ? "" : " (" + position(location.getLineNr(), location.getColumnNr()) + ")";
    String key = message.getInstanceLocation().toString();
    if (message.getProperty() != null) {
      key = key + "." + message.getProperty();
    }
    String value = node == null || node.isContainerNode() ? null : node.asText();
    return Problem.invalid(
        key + locationSuffix, value, message.getError() + ".", Remedies.forRule(message.getType()));
  }

  private static String position(int line, int column) {
    return "line " + line + ", column " + column;
  }
}
