package org.fawnvale.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import org.fawnvale.core.model.Order;

/** Stand-in for model engines; one process simulates many nodes, each under its own path. */
final class Engine implements StandInServer.Handler {

  static final String HOP = "Fawnvale-Hop";
  static final String NOT_RUN = "Fawnvale-Not-Run";
  static final String REQUEST = "Fawnvale-Request-Id";

  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int UNAVAILABLE = 503;
  private static final int DEFAULT_TOKENS = 16;
  private static final String NODES = "/nodes/";

  private final Map<String, EngineNode> nodes = new LinkedHashMap<>();
  private final Map<String, Semaphore> slots = new ConcurrentHashMap<>();
  private final Timing timing;

  /**
   * The speed of the engine.
   *
   * @param tokenMillis time for each token in milliseconds
   * @param prefillMicrosPerCharacter time for each uncached prompt character in microseconds
   * @param maximumConcurrent the maximum number of requests that run at once
   */
  record Timing(long tokenMillis, long prefillMicrosPerCharacter, int maximumConcurrent) {}

  Engine(List<String> names, WeightStore weights, boolean checksFences, Timing timing) {
    names.forEach(name -> nodes.put(name, new EngineNode(name, weights, checksFences)));
    this.timing = timing;
  }

  @Override
  public Reply handle(Call call) throws IOException {
    if ("/control".equals(call.path())) {
      return control(call);
    }
    if (!call.path().startsWith(NODES)) {
      return Reply.empty(NOT_FOUND);
    }
    String rest = call.path().substring(NODES.length());
    int slash = rest.indexOf('/');
    EngineNode node = slash < 0 ? null : nodes.get(rest.substring(0, slash));
    if (node == null) {
      return Reply.empty(NOT_FOUND);
    }
    node.faults().enter();
    Reply reply = answer(node, rest.substring(slash), call);
    String hop = call.header(HOP);
    if (hop == null) {
      return reply;
    }
    Map<String, String> headers = new LinkedHashMap<>(reply.headers());
    headers.putIfAbsent(HOP, hop);
    return reply.with(headers);
  }

  private Reply answer(EngineNode node, String path, Call call) throws IOException {
    return switch (path) {
      case "/report" -> Reply.json(OK, node.report());
      case "/order" -> order(node, call);
      case "/cache-events" -> Reply.json(OK, node.cache().eventsAfter(call.number("after", 0)));
      case "/v1/chat/completions" -> chat(node, call);
      default -> Reply.empty(NOT_FOUND);
    };
  }

  private Reply order(EngineNode node, Call call) throws IOException {
    Order order = Json.MAPPER.readValue(call.body(), Order.class);
    return Reply.empty(node.accept(order) ? OK : CONFLICT);
  }

  private Reply chat(EngineNode node, Call call) throws IOException {
    JsonNode request = Json.tree(call.body());
    List<String> members = node.membersIfHead(request.path("model").asText());
    if (members.isEmpty() || node.faults().takeRefusal()) {
      return Reply.empty(UNAVAILABLE).with(Map.of(NOT_RUN, "1", "Retry-After", "1"));
    }
    if (!allMembersReady(node, members)) {
      node.counts().recordIncomplete();
      throw new IOException("a member of the replica is missing");
    }
    String identifier = String.valueOf(call.header(REQUEST));
    Generation generation = new Generation(node, members, request, identifier);
    if (request.path("stream").asBoolean()) {
      return Reply.events(generation::stream);
    }
    Reply reply = generation.whole();
    if (node.faults().takeDrop()) {
      throw new IOException("the response is dropped");
    }
    if (node.faults().takeSwap()) {
      return reply.with(Map.of(HOP, "somebody:else"));
    }
    return reply;
  }

  private boolean allMembersReady(EngineNode head, List<String> members) {
    return members.stream()
        .allMatch(member -> nodes.containsKey(member) && nodes.get(member).isReadyWith(head));
  }

  private Reply control(Call call) throws IOException {
    if ("GET".equals(call.method())) {
      Map<String, Object> counts = new LinkedHashMap<>();
      nodes.forEach((name, node) -> counts.put(name, node.counts().toMap()));
      return Reply.json(OK, counts);
    }
    JsonNode order = Json.tree(call.body());
    EngineNode node = nodes.get(order.path("node").asText());
    if (node == null) {
      return Reply.empty(NOT_FOUND);
    }
    if ("restart".equals(order.path("fault").asText())) {
      node.restart();
    } else {
      node.faults().set(order);
    }
    return Reply.empty(OK);
  }

  /** A chat completion in progress. */
  private final class Generation {

    private final EngineNode node;
    private final List<String> members;
    private final String prompt;
    private final String identifier;
    private final int tokens;

    Generation(EngineNode node, List<String> members, JsonNode request, String identifier) {
      this.node = node;
      this.members = members;
      this.identifier = identifier;
      this.tokens = request.path("max_tokens").asInt(DEFAULT_TOKENS);
      StringBuilder text = new StringBuilder();
      for (JsonNode message : request.path("messages")) {
        text.append(message.path("content").asText()).append('\n');
      }
      this.prompt = text.toString();
    }

    Reply whole() throws IOException {
      StringBuilder content = new StringBuilder();
      int cached = run((index, token) -> content.append(token));
      Map<String, Object> message = Map.of("role", "assistant", "content", content.toString());
      return Reply.json(
          OK,
          Map.of(
              "id",
              identifier,
              "object",
              "chat.completion",
              "choices",
              List.of(Map.of("index", 0, "message", message, "finish_reason", "stop")),
              "usage",
              Map.of("completion_tokens", tokens, "cached_characters", cached)));
    }

    void stream(OutputStream out) throws IOException {
      run(
          (index, token) -> {
            if (node.faults().truncatesAt(index)) {
              throw new IOException("torn");
            }
            Map<String, Object> delta = Map.of("content", token);
            Map<String, Object> event =
                Map.of("id", identifier, "choices", List.of(Map.of("index", 0, "delta", delta)));
            out.write(("data: " + Json.MAPPER.writeValueAsString(event) + "\n\n").getBytes(UTF_8));
            out.flush();
          });
      out.write("data: [DONE]\n\n".getBytes(UTF_8));
      out.flush();
    }

    private int run(TokenSink sink) throws IOException {
      Semaphore slot =
          slots.computeIfAbsent(
              node.name(), name -> new Semaphore(timing.maximumConcurrent(), true));
      node.addWaiting(1);
      slot.acquireUninterruptibly();
      node.addWaiting(-1);
      node.addRunning(1);
      node.counts().recordStart(identifier);
      try {
        int cached = node.cache().use(prompt);
        long micros = (prompt.length() - cached) * timing.prefillMicrosPerCharacter();
        Platform.pause(micros / 1000);
        emit(sink);
        return cached;
      } finally {
        node.addRunning(-1);
        slot.release();
      }
    }

    private void emit(TokenSink sink) throws IOException {
      String[] words = ("answer to: " + prompt.strip()).split("\\s+");
      for (int i = 0; i < tokens; i++) {
        Platform.pause(timing.tokenMillis());
        node.faults().enter();
        if (!allMembersReady(node, members)) {
          throw new IOException("a member of the replica is missing");
        }
        sink.accept(i, i < words.length ? words[i] + " " : "t" + i + " ");
      }
    }
  }

  @FunctionalInterface
  private interface TokenSink {
    void accept(int index, String token) throws IOException;
  }

  private static final java.nio.charset.Charset UTF_8 = StandardCharsets.UTF_8;
}
