import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** A sound stand-in for the platform's metadata store, as PROTOCOL.md describes it. */
final class Store implements AutoCloseable {

  static final ObjectMapper JSON = new ObjectMapper();

  private record Entry(long revision, long created, JsonNode spec) {}

  /** How long the store remembers changes, as the settings of a small deployment say. */
  private static final long HISTORY_NANOS = 20_000_000_000L;

  private record Event(
      long revision, long atNanos, String kind, boolean deleted, ObjectNode object) {}

  private final HttpServer server;
  private final TreeMap<String, Entry> objects = new TreeMap<>();
  private final List<Event> events = new ArrayList<>();
  private long revision = 1;

  private Store(HttpServer server) {
    this.server = server;
  }

  static Store start() throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 512);
    Store store = new Store(server);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "store");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/v1/objects/", store::handle);
    server.start();
    return store;
  }

  int port() {
    return server.getAddress().getPort();
  }

  @Override
  public void close() {
    server.stop(0);
  }

  synchronized void put(String kind, String name, JsonNode spec) {
    String key = kind + "/" + name;
    Entry before = objects.get(key);
    if (before != null && before.spec().equals(spec)) {
      return;
    }
    revision++;
    Entry entry = new Entry(revision, before == null ? revision : before.created(), spec);
    objects.put(key, entry);
    events.add(new Event(revision, System.nanoTime(), kind, false, object(name, entry)));
    notifyAll();
  }

  synchronized boolean remove(String kind, String name) {
    Entry before = objects.remove(kind + "/" + name);
    if (before == null) {
      return false;
    }
    revision++;
    Entry last = new Entry(revision, before.created(), before.spec());
    events.add(new Event(revision, System.nanoTime(), kind, true, object(name, last)));
    notifyAll();
    return true;
  }

  private static ObjectNode object(String name, Entry entry) {
    ObjectNode object = JSON.createObjectNode();
    ObjectNode metadata = object.putObject("metadata");
    metadata.put("name", name);
    metadata.put("revision", entry.revision());
    metadata.put("created", entry.created());
    metadata.putArray("finalizers");
    metadata.put("deletion_pending", false);
    object.set("spec", entry.spec());
    object.putNull("status");
    return object;
  }

  private void handle(HttpExchange call) throws IOException {
    try {
      byte[] body = call.getRequestBody().readAllBytes();
      String rest = call.getRequestURI().getPath().substring("/v1/objects/".length());
      int slash = rest.indexOf('/');
      String kind = slash < 0 ? rest : rest.substring(0, slash);
      String name = slash < 0 ? null : rest.substring(slash + 1);
      Map<String, String> query = query(call.getRequestURI().getRawQuery());
      switch (call.getRequestMethod()) {
        case "GET" -> get(call, kind, name, query);
        case "POST" -> post(call, kind, JSON.readTree(body));
        case "PUT" -> replace(call, kind, name, JSON.readTree(body));
        case "DELETE" -> answer(call, remove(kind, name) ? 200 : 404, JSON.createObjectNode());
        default -> answer(call, 400, JSON.createObjectNode());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      call.close();
    }
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> query = new HashMap<>();
    for (String part : raw == null ? new String[0] : raw.split("&")) {
      int equals = part.indexOf('=');
      if (equals > 0) {
        query.put(
            part.substring(0, equals),
            URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return query;
  }

  private void get(HttpExchange call, String kind, String name, Map<String, String> query)
      throws IOException, InterruptedException {
    if (name != null) {
      Entry entry;
      synchronized (this) {
        entry = objects.get(kind + "/" + name);
      }
      answer(call, entry == null ? 404 : 200, entry == null ? JSON.createObjectNode() : object(name, entry));
    } else if (query.containsKey("watch")) {
      long wait = Math.min(30_000, Long.parseLong(query.getOrDefault("wait_ms", "0")));
      ObjectNode changes = watch(kind, Long.parseLong(query.get("watch")), wait);
      answer(call, changes == null ? 410 : 200, changes == null ? JSON.createObjectNode() : changes);
    } else {
      answer(call, 200, list(kind, query.getOrDefault("after_revision", "")));
    }
  }

  private synchronized ObjectNode list(String kind, String after) {
    ObjectNode reply = JSON.createObjectNode();
    ArrayNode items = reply.putArray("items");
    for (Map.Entry<String, Entry> each : objects.subMap(kind + "/", kind + "0").entrySet()) {
      String name = each.getKey().substring(kind.length() + 1);
      if (name.compareTo(after) > 0) {
        items.add(object(name, each.getValue()));
      }
    }
    reply.put("has_more", false);
    reply.put("timestamp", revision);
    return reply;
  }

  /** Returns all changes since a revision, or null if the store has forgotten some of them. */
  private synchronized ObjectNode watch(String kind, long since, long waitMillis)
      throws InterruptedException {
    if (isForgotten(since)) {
      return null;
    }
    long until = System.nanoTime() + waitMillis * 1_000_000;
    ArrayNode found = since(kind, since);
    while (found.isEmpty() && System.nanoTime() < until) {
      wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
      found = since(kind, since);
    }
    ObjectNode reply = JSON.createObjectNode();
    reply.set("events", found);
    reply.put("timestamp", revision);
    return reply;
  }

  private boolean isForgotten(long since) {
    for (Event event : events) {
      if (event.revision() > since) {
        return System.nanoTime() - event.atNanos() > HISTORY_NANOS;
      }
    }
    return false;
  }

  private ArrayNode since(String kind, long since) {
    ArrayNode found = JSON.createArrayNode();
    for (int index = events.size() - 1; index >= 0 && events.get(index).revision() > since; index--) {
      Event event = events.get(index);
      if (event.kind().equals(kind)) {
        ObjectNode one = JSON.createObjectNode();
        one.put("deleted", event.deleted());
        one.set("object", event.object());
        found.insert(0, one);
      }
    }
    return found;
  }

  private void post(HttpExchange call, String kind, JsonNode object) throws IOException {
    String name = object.path("metadata").path("name").asText();
    boolean exists;
    synchronized (this) {
      exists = objects.containsKey(kind + "/" + name);
      if (!exists) {
        put(kind, name, object.path("spec"));
      }
    }
    answer(call, exists ? 409 : 200, JSON.createObjectNode());
  }

  private void replace(HttpExchange call, String kind, String name, JsonNode object)
      throws IOException {
    int status;
    ObjectNode reply;
    synchronized (this) {
      Entry entry = objects.get(kind + "/" + name);
      JsonNode expected = object.path("metadata").path("revision");
      boolean matches = entry != null && (!expected.isNumber() || expected.asLong() == entry.revision());
      if (matches) {
        put(kind, name, object.path("spec"));
      }
      status = entry == null ? 404 : matches ? 200 : 409;
      reply = entry == null ? JSON.createObjectNode() : object(name, objects.get(kind + "/" + name));
    }
    answer(call, status, reply);
  }

  private static void answer(HttpExchange call, int status, JsonNode body) throws IOException {
    byte[] bytes = JSON.writeValueAsBytes(body);
    call.getResponseHeaders().add("Content-Type", "application/json");
    call.sendResponseHeaders(status, bytes.length);
    call.getResponseBody().write(bytes);
  }
}
