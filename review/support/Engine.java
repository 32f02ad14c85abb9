import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.Timer;
import java.util.TimerTask;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** A model worker, which joins groups as it is ordered and streams events while it heads one. */
final class Engine implements AutoCloseable {

  static final String SERVICE = "drafter";
  static final String MODEL = "daka510000";

  /** What a test changes in the streams of a worker. */
  interface Trouble {

    /** Tells whether a stream has neither a length nor chunks and ends with its connection. */
    default boolean isUnframed(Engine worker, String attempt) {
      return false;
    }

    /** Tells whether a stream, once begun, goes on with bytes that never end an event. */
    default boolean isEndless(Engine worker, String attempt) {
      return false;
    }
  }

  static final Trouble NONE = new Trouble() {};

  private static final Timer TIMER = new Timer("engines", true);

  final String id;
  final String domain;
  private final String zone;
  private final int slots;
  private final int events;
  private final int eventMillis;
  private final int formMillis;
  private final int loadMillis;
  private final Store store;
  private final Record record;
  private final Trouble trouble;
  private final ServerSocket server;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final long born = System.currentTimeMillis();
  private String model;
  private String staged;
  private String group;
  private long epoch;
  private List<String> members = List.of();
  private String state;
  private long sequence;
  private long highestFence;
  private long highestEpoch;
  private int active;
  private boolean draining;
  private volatile boolean ended;

  Engine(
      String id,
      String zone,
      String domain,
      int slots,
      int events,
      int eventMillis,
      int loadMillis,
      Store store,
      Record record,
      Trouble trouble)
      throws IOException {
    this.id = id;
    this.zone = zone;
    this.domain = domain;
    this.slots = slots;
    this.events = events;
    this.eventMillis = eventMillis;
    this.formMillis = 300;
    this.loadMillis = loadMillis;
    this.store = store;
    this.record = record;
    this.trouble = trouble;
    this.server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    Worker.daemonThread("accept " + id, this::accept);
    publish();
  }

  synchronized boolean heads() {
    return "open".equals(state) && members.get(0).equals(id);
  }

  synchronized int active() {
    return active;
  }

  boolean isDraining() {
    return draining;
  }

  /** Says in the store that it leaves. */
  synchronized void drain() {
    draining = true;
    publish();
  }

  /**
   * Ends as a killed process does on the wire: nothing listens any more, and its connections end
   * with all that was written to them.
   */
  @Override
  public void close() throws IOException {
    ended = true;
    server.close();
    for (Socket socket : open) {
      socket.close();
    }
  }

  private synchronized void publish() {
    if (ended) {
      return;
    }
    ObjectNode entry = told();
    entry.put("service", SERVICE);
    entry.put("address", "127.0.0.1:" + server.getLocalPort());
    entry.put("zone", zone);
    entry.put("version", "v1");
    entry.put("slots", slots);
    entry.put("state", draining ? "draining" : "ready");
    entry.put("cold_remaining_ms", 0);
    store.put("servers", id, entry);
  }

  private ObjectNode told() {
    ObjectNode told = Store.JSON.createObjectNode();
    told.put("phase", "all");
    if (model == null) {
      told.putArray("models");
    } else {
      ObjectNode one = told.putArray("models").addObject();
      one.put("name", model).put("version", 1).putArray("adapters");
    }
    told.put("domain", domain);
    told.putArray("staged");
    if (staged != null) {
      told.withArray("staged").add(staged);
    }
    if (group != null) {
      told.putObject("group")
          .put("name", group)
          .put("epoch", epoch)
          .put("rank", members.indexOf(id))
          .put("state", state);
    }
    told.put("sequence", sequence);
    told.put("born", born);
    return told;
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        open.add(socket);
        Worker.daemonThread("connection " + id, () -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (Http.Message request = Http.read(in, true);
          request != null && request.whole();
          request = Http.read(in, true)) {
        if (!answer(request, out)) {
          return;
        }
      }
    } catch (IOException | InterruptedException e) {
      // The connection has ended.
    } finally {
      open.remove(socket);
    }
  }

  /** Returns whether the connection goes on. */
  private boolean answer(Http.Message request, OutputStream out)
      throws IOException, InterruptedException {
    String expected = request.header("x-target-instance");
    String path = request.start().split(" ")[1];
    if (expected != null && !expected.equals(id)) {
      write(out, "421 Misdirected Request", "X-Instance-Id: " + id + "\r\n", "");
      return true;
    }
    if (path.equals("/v1/report")) {
      String report;
      synchronized (this) {
        ObjectNode told = told();
        told.put("utilization", false).put("queued", 0).put("active", active).put("pace", 1.0);
        report = told.toString();
      }
      write(out, "200 OK", "Content-Type: application/json\r\n", report);
      return true;
    }
    if (path.equals("/v1/order")) {
      write(out, order(Store.JSON.readTree(request.body())), "", "{}");
      return true;
    }
    if (path.equals("/healthz")) {
      write(out, draining ? "503 Leaving" : "200 OK", "X-Instance-Id: " + id + "\r\n", "");
      return true;
    }
    return stream(request, out);
  }

  private static void write(OutputStream out, String status, String headers, String body)
      throws IOException {
    out.write(
        Http.bytes(
            "HTTP/1.1 "
                + status
                + "\r\n"
                + headers
                + "Content-Length: "
                + body.length()
                + "\r\n\r\n"
                + body));
    out.flush();
  }

  private synchronized String order(JsonNode order) {
    long fence = order.path("fencing_token").asLong();
    String operation = order.path("operation").asText();
    if (fence < highestFence) {
      return "412 Precondition Failed";
    }
    highestFence = fence;
    if (order.has("expected_revision") && order.path("expected_revision").asLong() != sequence) {
      return "409 Conflict";
    }
    String name = order.path("group").asText();
    long number = order.path("epoch").asLong();
    boolean mine = group != null && group.equals(name) && epoch == number;
    String status =
        switch (operation) {
          case "join" -> join(order, name, number, mine);
          case "open" -> open(mine);
          case "close" -> close(mine);
          case "leave" -> leave(mine);
          case "phase" -> stage(order.path("model").asText());
          default -> "400 Bad Request";
        };
    record.note(id + " order " + operation + " " + name + "@" + number + ": " + status);
    return status;
  }

  private String join(JsonNode order, String name, long number, boolean mine) {
    List<String> wanted = new ArrayList<>();
    order.path("members").forEach(member -> wanted.add(member.asText()));
    if (number < highestEpoch || mine && !wanted.equals(members)) {
      return "412 Precondition Failed";
    }
    if (mine) {
      return "200 OK";
    }
    String target = order.path("model").asText();
    int millis = target.equals(model) ? 200 : target.equals(staged) ? 1_100 : loadMillis;
    highestEpoch = number;
    sequence++;
    group = name;
    epoch = number;
    members = List.copyOf(wanted);
    state = "joining";
    model = target;
    publish();
    later(millis, () -> become(name, number, "joining", "ready"));
    return "202 Accepted";
  }

  private synchronized void become(String name, long number, String from, String to) {
    if (name.equals(group) && epoch == number && from.equals(state)) {
      state = to;
      staged = model;
      publish();
    }
  }

  private String open(boolean mine) {
    if (mine && "open".equals(state)) {
      return "200 OK";
    }
    if (!mine || !"ready".equals(state) || !members.get(0).equals(id)) {
      return "409 Conflict";
    }
    sequence++;
    String name = group;
    long number = epoch;
    later(formMillis, () -> become(name, number, "ready", "open"));
    return "202 Accepted";
  }

  private String close(boolean mine) {
    if (!mine || "joining".equals(state)) {
      return "409 Conflict";
    }
    if ("ready".equals(state)) {
      return "200 OK";
    }
    sequence++;
    state = active > 0 ? "closing" : "ready";
    publish();
    return "202 Accepted";
  }

  private String leave(boolean mine) {
    if (!mine) {
      return "409 Conflict";
    }
    sequence++;
    group = null;
    members = List.of();
    state = null;
    publish();
    return "202 Accepted";
  }

  private String stage(String target) {
    sequence++;
    later(
        loadMillis,
        () -> {
          synchronized (this) {
            staged = target;
            publish();
          }
        });
    return "202 Accepted";
  }

  private void later(int millis, Runnable task) {
    TIMER.schedule(
        new TimerTask() {
          @Override
          public void run() {
            task.run();
          }
        },
        millis);
  }

  private boolean stream(Http.Message request, OutputStream out)
      throws IOException, InterruptedException {
    String attempt = request.header("x-attempt-id");
    String own = "X-Attempt-Id: " + attempt + "\r\n";
    synchronized (this) {
      if (!heads() || active >= slots + 4) {
        record.note(attempt + " turned away by " + id + ", not run");
        write(out, "503 Service Unavailable", own + "X-Not-Executed: 1\r\n", "");
        return true;
      }
      active++;
    }
    boolean unframed = trouble.isUnframed(this, attempt);
    boolean endless = trouble.isEndless(this, attempt);
    try {
      String last = request.header("last-event-id");
      int first = last == null ? 1 : Integer.parseInt(last) + 1;
      record.ran(attempt, id + " from event " + first + (unframed ? ", without a length" : ""));
      out.write(
          Http.bytes(
              "HTTP/1.1 200 OK\r\n"
                  + own
                  + "X-Instance-Signature: "
                  + id
                  + "."
                  + attempt
                  + "\r\nContent-Type: text/event-stream\r\n"
                  + (unframed ? "Connection: close\r\n" : "Transfer-Encoding: chunked\r\n")
                  + "\r\n"));
      for (int event = first; event <= events; event++) {
        Thread.sleep(eventMillis);
        part(out, "id: " + event + "\ndata: " + "x".repeat(56) + "\n\n", unframed);
        if (endless) {
          endless(out, unframed);
        }
      }
      if (!unframed) {
        out.write(Http.bytes("0\r\n\r\n"));
      }
      out.flush();
      record.note(attempt + " complete at " + id);
      return !unframed;
    } finally {
      synchronized (this) {
        active--;
        if (active == 0 && "closing".equals(state)) {
          state = "ready";
          publish();
        }
      }
    }
  }

  private static void part(OutputStream out, String text, boolean unframed) throws IOException {
    String framed =
        unframed ? text : Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    out.write(Http.bytes(framed));
    out.flush();
  }

  private static void endless(OutputStream out, boolean unframed) throws IOException {
    String noise = "data: " + "y".repeat(8_000) + "\n";
    part(out, "id: 9999\n", unframed);
    while (true) {
      part(out, noise, unframed);
    }
  }

  /** Returns the configuration of a service of model workers with one resumable route. */
  static ObjectNode configuration(int version, int size, int slots, double loadSeconds) {
    ObjectNode config = Fleet.configuration(version, 8_000);
    config
        .putArray("routes")
        .addObject()
        .put("name", "r-2yhvz3p")
        .put("host", Fleet.HOST)
        .put("path_prefix", "/lohu930/")
        .put("route_type", "streaming")
        .put("timeout_ms", 8_000)
        .put("target_latency_ms", 300)
        .put("priority", 1)
        .put("service", SERVICE)
        .put("max_attempts", 2)
        .put("anonymous", false)
        .put("sticky", true)
        .put("resumable", true)
        .put("gap_target_ms", 300);
    ObjectNode service =
        config
            .withArray("services")
            .addObject()
            .put("name", SERVICE)
            .put("health_path", "/healthz")
            .put("max_connections", 474)
            .put("protocol", "h1")
            .put("tls", false);
    ObjectNode engine =
        service
            .putObject("engine")
            .put("slots", slots)
            .put("kv_capacity_tokens", 1_100_769)
            .put("stride", 7)
            .put("step_ms", 5.95)
            .put("per_seq_ms", 0.064)
            .put("context_per_k", 0.0117)
            .put("read_per_s", 50_700.0)
            .put("pairs_per_m", 0.368)
            .put("chunk", 2_048)
            .put("report_lag_ms", 200.0)
            .put("loads_per_s", 4.5)
            .put("loads_at_once", 6)
            .put("retains", 1)
            .put("far_x", 2.5)
            .put("form_ms", 300.0);
    engine
        .putArray("models")
        .addObject()
        .put("name", MODEL)
        .put("size", size)
        .put("share", 1.0)
        .put("pace", 1.0)
        .put("load_s", loadSeconds)
        .put("warm_s", 1.1);
    engine.putObject("usual").put("prompt", 1_115).put("answer", 178);
    return config;
  }

  static String head(String attempt, int deadlineMillis, int length) {
    String part = Long.toHexString(ThreadLocalRandom.current().nextLong() >>> 32);
    return Fleet.head("POST", "/lohu930/2f", attempt, deadlineMillis, length)
        .replaceFirst(
            "\r\n\r\n$",
            "\r\nX-Model: "
                + MODEL
                + "\r\nX-Token-Usage: 1460,200\r\nX-Prefix-Hash: 5c1e07a2:40,"
                + part
                + ":1420\r\n\r\n");
  }
}
