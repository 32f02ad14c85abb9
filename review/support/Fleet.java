import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** The store and the daemons of one small deployment. */
final class Fleet implements AutoCloseable {

  static final String HOST = "lists.example";
  static final String KEY = "n2ctnfzs989anu6wsjnb";
  static final List<String> ZONES = List.of("suva-hall", "lautoka-hall", "nadi-hall");

  final Path folder;
  final Store store;
  int storePort;
  List<Edge> edges = List.of();

  Fleet() throws IOException {
    folder = Files.createTempDirectory("fawnvale-review");
    store = Store.start();
    storePort = store.port();
  }

  /** Writes a configuration with routes of the plain service. */
  void configure(int version, int timeoutMillis, String... typesByPath) {
    store.put("config", "main", configuration(version, timeoutMillis, typesByPath));
  }

  static ObjectNode configuration(int version, int timeoutMillis, String... typesByPath) {
    ObjectNode config = Store.JSON.createObjectNode();
    config.put("version", version);
    for (int index = 0; index < typesByPath.length; index += 2) {
      config
          .withArray("routes")
          .addObject()
          .put("name", "r" + index)
          .put("host", HOST)
          .put("path_prefix", typesByPath[index])
          .put("route_type", typesByPath[index + 1])
          .put("timeout_ms", timeoutMillis)
          .put("target_latency_ms", 386)
          .put("priority", 2)
          .put("service", Worker.SERVICE)
          .put("max_attempts", "idempotent".equals(typesByPath[index + 1]) ? 2 : 1)
          .put("anonymous", false);
    }
    config
        .putArray("services")
        .addObject()
        .put("name", Worker.SERVICE)
        .put("health_path", "/healthz")
        .put("max_connections", 110)
        .put("protocol", "h1")
        .put("tls", false);
    config
        .putObject("limits")
        .put("max_header_bytes", 16_384)
        .put("max_body_bytes", 4_194_304)
        .put("header_timeout_ms", 3_000)
        .put("idle_timeout_ms", 15_000);
    ObjectNode tenant = config.putArray("tenants").addObject().put("name", "hule930");
    tenant.putArray("api_keys").add(KEY);
    tenant.put("priority", 1);
    return config;
  }

  void start(int count) throws IOException, InterruptedException {
    int network = freeNetwork();
    edges = Edge.startAll(folder, network, count, ZONES, storePort);
    List<Edge> started = edges;
    Runtime.getRuntime().addShutdownHook(new Thread(() -> started.forEach(Edge::close)));
    for (Edge edge : edges) {
      awaitReady(edge);
    }
  }

  /** Returns the third octet of loopback addresses at which no other run listens. */
  private static int freeNetwork() throws IOException {
    int first = (int) (ProcessHandle.current().pid() % 250);
    for (int tries = 0; tries < 250; tries++) {
      int network = 1 + (first + tries) % 250;
      InetAddress address = InetAddress.getByName("127.77." + network + ".1");
      try (ServerSocket free = new ServerSocket(8227, 1, address)) {
        return network;
      } catch (IOException e) {
        // Another run listens there.
      }
    }
    throw new IOException("no free loopback addresses");
  }

  static void awaitReady(Edge edge) throws IOException, InterruptedException {
    for (int tries = 0; tries < 200; tries++) {
      try (Client client = new Client(edge.host, edge.readyPort)) {
        Http.Message answer =
            client.send("GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n", new byte[0], 1_000);
        if (answer.status() == 200) {
          return;
        }
      } catch (IOException e) {
        // It does not listen yet.
      }
      Thread.sleep(100);
    }
    throw new IOException(edge.name + " does not become ready.");
  }

  static String head(String method, String path, String attempt, int deadlineMillis, int length) {
    return method
        + " "
        + path
        + " HTTP/1.1\r\nHost: "
        + HOST
        + "\r\nX-Attempt-Id: "
        + attempt
        + "\r\nX-Deadline-Ms: "
        + deadlineMillis
        + "\r\nAuthorization: Bearer "
        + KEY
        + "\r\n"
        + ("GET".equals(method) ? "" : "Content-Length: " + length + "\r\n")
        + "\r\n";
  }

  @Override
  public void close() throws IOException {
    edges.forEach(Edge::close);
    store.close();
    String keep = System.getenv("KEEP");
    if (keep != null) {
      return;
    }
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.deleteIfExists(file);
      }
    }
  }
}
