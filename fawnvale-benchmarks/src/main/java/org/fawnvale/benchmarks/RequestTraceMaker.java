package org.fawnvale.benchmarks;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.fawnvale.core.replay.RequestTrace;

/**
 * Generates the committed, synthetic request traces of two fleets: a few large workspaces, long and
 * short outputs, shared prompt prefixes, and bursts.
 */
public final class RequestTraceMaker {

  private static final long SEED = 20261202;
  private static final double SECONDS = 120;
  private static final int REPLICAS = 14;
  private static final int CONCURRENT = 8;
  private static final double TOKEN_MILLIS = 30;
  private static final double PREFILL_MICROS = 100;

  private final RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(SEED);

  /** A request type: its share of the load, its prefix families and its sizes in tokens. */
  private record Kind(
      String workspace,
      String requestClass,
      double weight,
      int families,
      int shared,
      int own,
      int tokens,
      double deadlineMillis) {}

  private static final List<Kind> SEMILLA_VIVA =
      List.of(
          new Kind("counter", "interactive", 0.30, 12, 2048, 600, 120, 8000),
          new Kind("care-sheets", "standard", 0.15, 6, 4096, 900, 350, 25000),
          new Kind("planting", "standard", 0.10, 8, 3072, 1500, 300, 25000),
          new Kind("stock", "interactive", 0.30, 4, 1024, 200, 25, 3000),
          new Kind("newsletter", "batch", 0.15, 2, 2048, 3000, 500, 60000));

  private static final List<Kind> TAVUA =
      List.of(
          new Kind("cause-lists", "standard", 0.25, 10, 4096, 2500, 300, 25000),
          new Kind("notices", "interactive", 0.25, 8, 2048, 500, 120, 8000),
          new Kind("affidavits", "batch", 0.20, 3, 1024, 9000, 400, 60000),
          new Kind("listing-pages", "interactive", 0.30, 5, 1536, 150, 30, 3000));

  private RequestTraceMaker() {}

  /**
   * Writes the traces.
   *
   * @param arguments the output folder
   * @throws IOException when it cannot be written
   */
  public static void main(String[] arguments) throws IOException {
    Path folder = Path.of(arguments[0]);
    Files.createDirectories(folder);
    write(folder, "semilla-viva-normal", SEMILLA_VIVA, 0.6, 1, -1, stated(0.99, 600, 0.98));
    write(folder, "semilla-viva-overload", SEMILLA_VIVA, 1.5, 1, -1, stated(0.58, 45_000, 0.45));
    write(folder, "tavua-normal", TAVUA, 0.6, 1, -1, stated(0.99, 1300, 0.98));
    write(folder, "tavua-overload", TAVUA, 1.5, 1, -1, stated(0.72, 45_000, 0.55));
    write(folder, "tavua-slow-engine", TAVUA, 0.6, 4, -1, stated(0.97, 1300, 0.92));
    write(folder, "tavua-replica-lost", TAVUA, 0.8, 1, 40_000, stated(0.98, 1900, 0.96));
  }

  private static RequestTrace.Expectation stated(
      double goodput, double firstToken95Millis, double workspaceGoodput) {
    return new RequestTrace.Expectation(goodput, firstToken95Millis, workspaceGoodput);
  }

  private static void write(
      Path folder,
      String name,
      List<Kind> kinds,
      double load,
      double slow,
      double lostAt,
      RequestTrace.Expectation expect)
      throws IOException {
    RequestTrace trace = new RequestTraceMaker().make(name, kinds, load, slow, lostAt, expect);
    Files.writeString(folder.resolve(name + ".jsonl"), trace.format());
  }

  private RequestTrace make(
      String name,
      List<Kind> kinds,
      double load,
      double slow,
      double lostAt,
      RequestTrace.Expectation expect) {
    double meanSeconds = 0;
    Map<String, Double> shares = new TreeMap<>();
    for (Kind kind : kinds) {
      double millis =
          kind.tokens() * TOKEN_MILLIS + (kind.shared() / 2.0 + kind.own()) * PREFILL_MICROS / 1000;
      meanSeconds += kind.weight() * millis / 1000;
      shares.put(kind.workspace(), 1.0 / kinds.size());
    }
    double rate = load * REPLICAS * CONCURRENT / meanSeconds;
    RequestTrace.Fleet fleet =
        new RequestTrace.Fleet(
            name,
            3,
            REPLICAS,
            CONCURRENT,
            TOKEN_MILLIS,
            PREFILL_MICROS,
            120,
            500,
            slow,
            lostAt,
            shares,
            expect);
    return new RequestTrace(fleet, requests(kinds, rate));
  }

  private List<RequestTrace.Request> requests(List<Kind> kinds, double rate) {
    List<RequestTrace.Request> requests = new ArrayList<>();
    for (double at = 0; at < SECONDS * 1000; at += gapMillis(rate, at)) {
      requests.add(request(choose(kinds), Math.rint(at * 10) / 10));
    }
    requests.sort(Comparator.comparingDouble(RequestTrace.Request::atMillis));
    return requests;
  }

  /** Returns an interarrival time; the first 4 s of every 20 s have twice the mean rate. */
  private double gapMillis(double rate, double at) {
    boolean burst = at % 20_000 < 4000;
    double factor = burst ? 2 : 0.75;
    return -Math.log(1 - random.nextDouble()) * 1000 / (rate * factor);
  }

  private Kind choose(List<Kind> kinds) {
    double point = random.nextDouble();
    for (Kind kind : kinds) {
      point -= kind.weight();
      if (point < 0) {
        return kind;
      }
    }
    return kinds.get(kinds.size() - 1);
  }

  private RequestTrace.Request request(Kind kind, double at) {
    double skew = Math.pow(random.nextDouble(), 2);
    int family = (int) (skew * kind.families());
    double size = 0.5 + random.nextDouble();
    return new RequestTrace.Request(
        at,
        kind.workspace(),
        kind.requestClass(),
        kind.workspace() + "-" + family,
        kind.shared(),
        kind.shared() + (int) (kind.own() * size),
        Math.max(1, (int) (kind.tokens() * size)),
        kind.deadlineMillis());
  }
}
