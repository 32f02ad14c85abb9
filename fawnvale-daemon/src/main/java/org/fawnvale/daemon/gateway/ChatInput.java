package org.fawnvale.daemon.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.fawnvale.core.result.Problem;
import org.fawnvale.core.result.Result;
import org.fawnvale.core.routing.Prefix;

/**
 * The parts of a chat completion request that routing uses.
 *
 * @param model the name of the requested model
 * @param prefix the prompt's prefixes, by which the router finds cached blocks
 */
record ChatInput(String model, Prefix prefix) {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  static Result<ChatInput> parse(byte[] body) {
    JsonNode root;
    try {
      root = MAPPER.readTree(body);
    } catch (JsonProcessingException e) {
      return invalid("body", "The body is not valid JSON: " + e.getOriginalMessage() + ".");
    } catch (IOException e) {
      return invalid("body", "The body cannot be read.");
    }
    if (root == null || !root.isObject()) {
      return invalid("body", "The body is not a JSON object.");
    }
    if (!root.path("model").isTextual()) {
      return invalid("model", "The key 'model' is missing or not a string.");
    }
    if (!root.path("messages").isArray() || root.path("messages").isEmpty()) {
      return invalid("messages", "The key 'messages' is missing, empty or not an array.");
    }
    StringBuilder prompt = new StringBuilder();
    for (JsonNode message : root.path("messages")) {
      JsonNode content = message.path("content");
      prompt.append(message.path("role").asText()).append('\n');
      prompt.append(content.isTextual() ? content.asText() : content.toString()).append('\n');
    }
    return Result.success(new ChatInput(root.path("model").asText(), Prefix.of(prompt)));
  }

  private static Result<ChatInput> invalid(String key, String message) {
    return Result.failure(
        Problem.invalid(
            key, null, message, "Send {\"model\": …, \"messages\": [{\"role\", \"content\"}]}."));
  }
}
