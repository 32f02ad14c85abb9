import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Workers in trouble send streams whose event never ends. */
final class EndlessEvents {

  private static final int SIZE = 3;
  private static final int DOMAIN = 9;
  private static final int SLOTS = 18;
  private static final int EVENTS = 25;
  private static final int EVENT_MILLIS = 80;
  private static final int DEADLINE_MILLIS = 8_000;
  private static final int CLIENTS = 100;

  /** So many of the nine heads are in trouble, 0.56 of them. */
  private static final int FAULTY = 5;

  private static final int FAULTY_MILLIS = 5_000;

  /** How long after the trouble a daemon has to serve again. */
  private static final int RECOVER_MILLIS = 12_000;

  private static final int SECONDS = 5 + FAULTY_MILLIS / 1_000 + RECOVER_MILLIS / 1_000;

  /** The rule breaks at more. */
  private static final int MOST_LOST = 3;

  private EndlessEvents() {}

  static boolean isBroken(Record record, boolean troubled) throws Exception {
    Set<String> everFaulty = ConcurrentHashMap.newKeySet();
    Set<String> faulty = ConcurrentHashMap.newKeySet();
    Engine.Trouble endless =
        new Engine.Trouble() {
          @Override
          public boolean isEndless(Engine worker, String attempt) {
            return faulty.contains(worker.id);
          }
        };
    List<Engine> workers = new ArrayList<>();
    int hanging = 0;
    try (Fleet fleet = new Fleet()) {
      fleet.store.put("config", "main", Engine.configuration(7, SIZE, SLOTS, 12));
      for (int number = 0; number < 3 * DOMAIN; number++) {
        int domain = number / DOMAIN;
        workers.add(
            new Engine(
                "i-%08x".formatted(0x2d9e6b4 + 7919 * number),
                Fleet.ZONES.get(domain),
                "d" + domain,
                SLOTS,
                EVENTS,
                EVENT_MILLIS,
                1_200,
                fleet.store,
                record,
                endless));
      }
      fleet.start(3);
      for (int wait = 0;
          wait < 150 && workers.stream().filter(Engine::heads).count() < 3 * DOMAIN / SIZE;
          wait++) {
        Thread.sleep(100);
      }
      Thread.sleep(1_500);
      long end = System.nanoTime() + SECONDS * 1_000_000_000L;
      Ingress ingress = new Ingress(fleet.edges);
      List<Thread> clients = new ArrayList<>();
      for (int number = 0; number < CLIENTS; number++) {
        int client = number;
        Thread thread = new Thread(() -> run(client, ingress, record, end));
        clients.add(thread);
        thread.start();
      }
      Thread.sleep(5_000);
      if (troubled) {
        workers.stream().filter(Engine::heads).limit(FAULTY).forEach(each -> faulty.add(each.id));
        everFaulty.addAll(faulty);
        record.note(faulty + " send events without end");
        Thread.sleep(FAULTY_MILLIS);
        faulty.clear();
        record.note("all workers are sound again");
      }
      for (Thread client : clients) {
        client.join();
      }
      for (Edge edge : fleet.edges) {
        String last = isServing(edge) ? " serves" : " does not answer any more";
        boolean alive = edge.isAlive();
        hanging += last.startsWith(" does") ? 1 : 0;
        record.note(edge.name + last + ", its process " + (alive ? "runs" : "has ended"));
      }
    }
    long served = record.answers().values().stream().filter(a -> a.startsWith("200")).count();
    int lost = 0;
    for (Map.Entry<String, String> answer : record.answers().entrySet()) {
      List<String> runs = record.runs().getOrDefault(answer.getKey(), List.of());
      boolean atSound =
          !runs.isEmpty() && everFaulty.stream().noneMatch(runs.toString()::contains);
      lost += atSound && !answer.getValue().equals("200 complete") ? 1 : 0;
    }
    record.note(
        "requests=%d served=%d lost_at_sound_workers=%d daemons_that_hang=%d"
            .formatted(record.answers().size(), served, lost, hanging));
    return hanging > 0 || lost > MOST_LOST;
  }

  /** Asks a daemon for a few seconds. */
  private static boolean isServing(Edge edge) throws InterruptedException {
    for (int tries = 0; tries < 30; tries++) {
      if (Ingress.isReady(edge)) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  private static void run(int client, Ingress ingress, Record record, long end) {
    try {
      for (int number = 0; System.nanoTime() < end; ) {
        Edge edge = ingress.next();
        try (Client connection = new Client(edge.host, edge.port)) {
          boolean kept = true;
          for (; kept && System.nanoTime() < end; number++) {
            kept = isServed("%04x%012x".formatted(client, number), edge, connection, record);
          }
        }
        // The retry, with an id of its own, meets another daemon.
        Edge other = ingress.other(edge);
        try (Client connection = new Client(other.host, other.port)) {
          isServed("%04x%012x".formatted(client, number++), other, connection, record);
        }
        Thread.sleep(100);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends a request; returns whether its connection may carry the next one. */
  private static boolean isServed(String attempt, Edge edge, Client connection, Record record)
      throws InterruptedException {
    record.sent(attempt, "POST /lohu930/2f to " + edge.name);
    int wait = 40;
    boolean kept = false;
    try {
      Http.Message answer =
          connection.send(
              Engine.head(attempt, DEADLINE_MILLIS, 22),
              Http.bytes("draft " + attempt),
              DEADLINE_MILLIS + 500);
      record.answered(attempt, answer.status() + (answer.whole() ? " complete" : " cut"));
      String after = answer.header("retry-after");
      wait = after == null ? wait : (int) (Double.parseDouble(after) * 1000);
      kept = answer.whole();
    } catch (IOException e) {
      record.answered(attempt, "nothing: " + e.getMessage());
    }
    Thread.sleep(Math.min(wait, 1_000));
    return kept;
  }
}
