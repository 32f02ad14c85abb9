import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The platform's balancer: asks each daemon every second whether it is ready, and hands new
 * connections of the whole region to one of those that are in, to another once that one is out.
 */
final class Ingress {

  private static final int PERIOD_MILLIS = 1_000;
  private static final int MISSES = 2;

  private final List<Edge> edges;
  private final Map<Edge, Integer> missed = new ConcurrentHashMap<>();

  Ingress(List<Edge> edges) {
    this.edges = edges;
    for (Edge edge : edges) {
      missed.put(edge, 0);
      Worker.daemonThread("ingress", () -> watch(edge));
    }
  }

  /** Returns the daemon that takes a new connection now. */
  Edge next() {
    return edges.stream().filter(this::isIn).findFirst().orElse(edges.get(0));
  }

  /** Returns another daemon, for a retry. */
  Edge other(Edge than) {
    List<Edge> others = edges.stream().filter(edge -> edge != than && isIn(edge)).toList();
    return others.isEmpty() ? than : others.get((int) (System.nanoTime() % others.size()));
  }

  private boolean isIn(Edge edge) {
    return missed.get(edge) < MISSES;
  }

  private void watch(Edge edge) {
    while (true) {
      boolean ready = isReady(edge);
      missed.merge(edge, 0, (before, none) -> ready ? 0 : before + 1);
      try {
        Thread.sleep(PERIOD_MILLIS);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  static boolean isReady(Edge edge) {
    try (Client client = new Client(edge.host, edge.readyPort)) {
      String request = "GET /v1/readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
      return client.send(request, new byte[0], 1_000).status() == 200;
    } catch (IOException e) {
      return false;
    }
  }
}
