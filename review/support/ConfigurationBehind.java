import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Open connections to the store go silent while configurations come in quick succession. */
final class ConfigurationBehind {

  /** The bounds of a small deployment. */
  private static final int CONFIG_APPLY_MILLIS = 2_000;

  private static final int CONTACT_MILLIS = 3_000;

  /** 110 routes that the sites have, and twice what the largest big_config adds. */
  private static final int ROUTES = 110 + 2 * 420;

  /** The quickest storms of the sites: one change each 0.08 s for 2 s. */
  private static final int CHANGES = 25;

  private static final int GAP_MILLIS = 80;
  private static final int DEADLINE_MILLIS = 4_000;
  private static final int QUESTION_MILLIS = 250;
  private static final int WATCHED_MILLIS = 30_000;

  private ConfigurationBehind() {}

  static boolean isBroken(Record record, boolean troubled) throws Exception {
    try (Fleet fleet = new Fleet();
        Relay relay = new Relay(fleet.store.port())) {
      fleet.storePort = relay.port();
      fleet.store.put("config", "main", configuration(7, "/puxa403/"));
      for (int number = 0; number < 3; number++) {
        new Worker("i-7f3a91c" + number, Fleet.ZONES.get(number), 6, 24, 20, record, Worker.NONE)
            .publish(fleet.store, "ready");
      }
      fleet.start(3);
      Thread.sleep(4_000);
      long silentNanos = System.nanoTime();
      if (troubled) {
        record.note("all open connections to the store go silent; new ones work");
        relay.silenceOpen();
      }
      Thread.sleep(100);
      for (int change = 1; change <= CHANGES; change++) {
        String path = change == CHANGES ? "/newest/" : "/puxa403/";
        ObjectNode next = configuration(7 + 3 * change, path);
        fleet.store.put("config", "main", next);
        Thread.sleep(GAP_MILLIS);
      }
      long acknowledged = System.nanoTime();
      record.note("the store has acknowledged version " + (7 + 3 * CHANGES) + ", with /newest/");
      long binding =
          Math.max(
              acknowledged + CONFIG_APPLY_MILLIS * 1_000_000L,
              silentNanos + CONTACT_MILLIS * 1_000_000L);
      return ask(fleet, record, acknowledged, binding);
    }
  }

  private static boolean ask(Fleet fleet, Record record, long acknowledged, long binding)
      throws Exception {
    int late = 0;
    int served = 0;
    Map<String, Long> lastRefusal = new TreeMap<>();
    int number = 0;
    long end = acknowledged + WATCHED_MILLIS * 1_000_000L;
    while (System.nanoTime() < end) {
      for (Edge edge : fleet.edges) {
        String attempt = "%016x".formatted(++number);
        long sent = System.nanoTime();
        record.sent(attempt, "GET /newest/1 to " + edge.name);
        try (Client client = new Client(edge.host, edge.port)) {
          Http.Message answer =
              client.send(
                  Fleet.head("GET", "/newest/1", attempt, DEADLINE_MILLIS, 0),
                  new byte[0],
                  DEADLINE_MILLIS);
          record.answered(attempt, answer.status() + " " + answer.header("x-instance-signature"));
          served += answer.status() == 200 ? 1 : 0;
          if (answer.status() == 404) {
            lastRefusal.put(edge.name, (sent - acknowledged) / 1_000_000);
            late += sent > binding ? 1 : 0;
          }
        } catch (IOException e) {
          record.answered(attempt, "nothing: " + e.getMessage());
        }
      }
      Thread.sleep(QUESTION_MILLIS);
    }
    if (served == 0) {
      throw new IllegalStateException("the newest route was never served");
    }
    record.note(
        "asked=%d served=%d refused_with_404_past_the_bound=%d last_404_ms_after_acknowledgement=%s"
            .formatted(number, served, late, lastRefusal));
    return late > 0;
  }

  private static ObjectNode configuration(int version, String path) {
    List<String> routes = new ArrayList<>(List.of("/puxa403/", "idempotent"));
    if (!path.equals("/puxa403/")) {
      routes.addAll(List.of(path, "idempotent"));
    }
    for (int number = 0; number < ROUTES; number++) {
      routes.addAll(List.of("/idle%04d/".formatted(number), "idempotent"));
    }
    return Fleet.configuration(version, DEADLINE_MILLIS, routes.toArray(String[]::new));
  }
}
