import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A daemon as the deploy file starts it, with its settings template filled in. */
final class Edge implements AutoCloseable {

  private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
  private static final Pattern SECTION =
      Pattern.compile("\\{\\{#([a-z_.]+)\\}\\}(.*?)\\{\\{/\\1\\}\\}", Pattern.DOTALL);
  private static final Pattern GAP = Pattern.compile("\\{\\{([a-z_.0-9]+)(\\|json)?\\}\\}");

  /** The caller's variables that a daemon gets, as DEPLOY.md says. */
  private static final Set<String> VARIABLES = Set.of("PATH", "HOME", "JAVA_HOME", "LANG");

  final String name;
  final String zone;
  final String host;
  final int port;
  final int readyPort;
  private final Path folder;
  private final ObjectNode fields;
  private Process process;

  /**
   * Prepares a daemon.
   *
   * @param folder a temporary folder
   * @param network third octet of the loopback addresses of this run
   */
  Edge(Path folder, int network, int number, String zone, int storePort) {
    this.folder = folder;
    this.name = "edge-" + zone + "-" + (number + 1);
    this.zone = zone;
    this.host = "127.77." + network + "." + (number + 1);
    this.port = 8227;
    this.readyPort = 8220;
    ObjectNode all = Store.JSON.createObjectNode();
    all.put("node_name", name);
    all.put("ip", host);
    all.put("zone", zone);
    all.putObject("listen").put("frontend", host + ":" + port).put("ready", host + ":" + readyPort);
    all.putArray("internal_ports").add(7340).add(7355);
    for (int seed = 1; seed <= 3; seed++) {
      all.withArray("seeds").add("127.77." + network + "." + seed + ":8229");
    }
    all.putObject("platform").put("address", "127.0.0.1:" + storePort);
    all.put("bootstrap", true);
    all.putObject("bounds")
        .put("stall_ms", 4000)
        .put("grace_s", 8)
        .put("retry_budget_ratio", 0.2)
        .put("retry_slack", 136)
        .put("budget_window_s", 10)
        .put("ceiling_window_s", 5)
        .put("drain_ms", 2000);
    this.fields = all;
  }

  void start() throws IOException {
    Path settings = folder.resolve(name + ".json");
    Files.writeString(settings, fill(Files.readString(Path.of("deploy/settings.json"))));
    Matcher run = RUN.matcher(Files.readString(Path.of("deploy/system.toml")));
    if (!run.find()) {
      throw new IOException("deploy/system.toml has no start command.");
    }
    ProcessBuilder builder = new ProcessBuilder(List.of(run.group(1).split(" ")));
    builder.environment().keySet().retainAll(VARIABLES);
    builder.environment().put("FAWNVALE_SETTINGS", settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
    process = builder.start();
    fields.put("bootstrap", false);
  }

  private String fill(String template) {
    Matcher sections = SECTION.matcher(template);
    String flat =
        sections.replaceAll(
            found ->
                at(found.group(1)).isMissingNode()
                    ? ""
                    : Matcher.quoteReplacement(found.group(2)));
    return GAP.matcher(flat)
        .replaceAll(
            found -> {
              JsonNode value = at(found.group(1));
              String text = found.group(2) == null ? value.asText() : value.toString();
              return Matcher.quoteReplacement(text);
            });
  }

  private JsonNode at(String path) {
    return fields.at("/" + path.replace('.', '/'));
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  Process process() {
    return process;
  }

  void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
  }

  /** Ends the process and waits for its end. */
  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor(10, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** Starts daemons, with their zones in turn. */
  static List<Edge> startAll(Path folder, int network, int count, List<String> zones, int storePort)
      throws IOException {
    List<Edge> edges = new ArrayList<>();
    for (int number = 0; number < count; number++) {
      Edge edge = new Edge(folder, network, number, zones.get(number % zones.size()), storePort);
      edges.add(edge);
      edge.start();
    }
    return edges;
  }
}
