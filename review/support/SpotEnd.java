import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;

/** Model workers say that they leave and are gone two seconds later, amid their streams. */
final class SpotEnd {

  private static final int SIZE = 3;
  private static final int DOMAIN = 9;
  private static final int SLOTS = 18;

  /** A long answer: 80 events, one each 80 ms. */
  private static final int EVENTS = 80;

  private static final int EVENT_MILLIS = 80;
  private static final int DEADLINE_MILLIS = 8_000;
  private static final int CLIENTS = 90;
  private static final int SECONDS = 80;

  /** The notice of a reclaimed worker. */
  private static final int NOTICE_MILLIS = 2_000;

  private static final int PERIOD_MILLIS = 15_000;

  /** The share of the workers that are taken away at a time. */
  private static final double SHARE = 0.15;

  /** For so long before the notice, some answers of these workers have no length. */
  private static final int GARBLED_MILLIS = 5_000;

  /** The share of these answers. */
  private static final double UNFRAMED = 0.05;

  private SpotEnd() {}

  static boolean isBroken(Record record, boolean troubled) throws Exception {
    Set<String> garbled = ConcurrentHashMap.newKeySet();
    Engine.Trouble unframed =
        new Engine.Trouble() {
          @Override
          public boolean isUnframed(Engine worker, String attempt) {
            return garbled.contains(worker.id)
                && ThreadLocalRandom.current().nextDouble() < UNFRAMED;
          }
        };
    List<Engine> workers = new CopyOnWriteArrayList<>();
    Map<String, String> bodies = new ConcurrentHashMap<>();
    try (Fleet fleet = new Fleet()) {
      fleet.store.put("config", "main", Engine.configuration(7, SIZE, SLOTS, 12));
      for (int number = 0; number < 3 * DOMAIN; number++) {
        workers.add(worker(number, number / DOMAIN, 1_200, fleet, record, unframed));
      }
      fleet.start(3);
      long heads = 0;
      for (int wait = 0; wait < 150 && heads < 3 * DOMAIN / SIZE; wait++) {
        Thread.sleep(100);
        heads = workers.stream().filter(Engine::heads).count();
      }
      record.note(heads + " groups are open");
      Thread.sleep(1_500);
      long end = System.nanoTime() + SECONDS * 1_000_000_000L;
      List<Thread> clients = new ArrayList<>();
      for (int number = 0; number < CLIENTS; number++) {
        int client = number;
        Edge edge = fleet.edges.get(number % fleet.edges.size());
        Thread thread = new Thread(() -> run(client, edge, record, bodies, end));
        clients.add(thread);
        thread.start();
      }
      int added = 3 * DOMAIN;
      while (troubled && System.nanoTime() < end - 15_000_000_000L) {
        Thread.sleep(PERIOD_MILLIS - GARBLED_MILLIS - NOTICE_MILLIS);
        List<Engine> leaving =
            workers.stream()
                .filter(Engine::heads)
                .sorted((a, b) -> b.active() - a.active())
                .limit((long) (SHARE * workers.size()))
                .toList();
        leaving.forEach(each -> garbled.add(each.id));
        record.note("some answers of " + garbled + " have no length");
        Thread.sleep(GARBLED_MILLIS);
        garbled.clear();
        leaving.forEach(Engine::drain);
        leaving.forEach(each -> record.note(each.id + " says that it leaves"));
        Thread.sleep(NOTICE_MILLIS);
        for (Engine each : leaving) {
          record.note(each.id + " is gone, with " + each.active() + " streams");
          each.close();
          workers.remove(each);
          fleet.store.remove("servers", each.id);
          int domain = Integer.parseInt(each.domain.substring(1));
          workers.add(worker(added++, domain, 2_000, fleet, record, unframed));
        }
      }
      for (Thread client : clients) {
        client.join();
      }
    }
    return judge(record, bodies);
  }

  private static Engine worker(
      int number, int domain, int loadMillis, Fleet fleet, Record record, Engine.Trouble trouble)
      throws IOException {
    return new Engine(
        "i-%08x".formatted(0x2d9e6b4 + 7919 * number),
        Fleet.ZONES.get(domain),
        "d" + domain,
        SLOTS,
        EVENTS,
        EVENT_MILLIS,
        loadMillis,
        fleet.store,
        record,
        trouble);
  }

  private static void run(
      int client, Edge edge, Record record, Map<String, String> bodies, long end) {
    try (Client connection = new Client(edge.host, edge.port)) {
      for (int number = 0; System.nanoTime() < end; number++) {
        String attempt = "%04x%012x".formatted(client, number);
        record.sent(attempt, "POST /lohu930/2f to " + edge.name);
        int wait = 40;
        try {
          Http.Message answer =
              connection.send(
                  Engine.head(attempt, DEADLINE_MILLIS, 22),
                  Http.bytes("draft " + attempt),
                  DEADLINE_MILLIS + 500);
          String body = new String(answer.body(), StandardCharsets.ISO_8859_1);
          boolean whole = answer.status() == 200 && answer.whole();
          int last = body.lastIndexOf("id: ");
          String events = last < 0 ? "no event" : body.substring(last, body.indexOf('\n', last));
          record.answered(
              attempt, answer.status() + (answer.whole() ? " complete, " : " cut, ") + events);
          if (whole) {
            bodies.put(attempt, body);
          }
          String after = answer.header("retry-after");
          wait = after == null ? wait : (int) (Double.parseDouble(after) * 1000);
        } catch (IOException e) {
          record.answered(attempt, "nothing: " + e.getMessage());
        }
        Thread.sleep(Math.min(wait, 1_000));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static boolean judge(Record record, Map<String, String> bodies) {
    StringBuilder expected = new StringBuilder();
    for (int event = 1; event <= EVENTS; event++) {
      expected.append("id: ").append(event).append("\ndata: ").append("x".repeat(56)).append("\n\n");
    }
    int broken = 0;
    for (Map.Entry<String, String> body : bodies.entrySet()) {
      if (!body.getValue().contentEquals(expected)) {
        broken++;
        record.note("ORDER " + body.getKey() + " got a complete stream without all its events");
      }
    }
    if (bodies.isEmpty()) {
      throw new IllegalStateException("no stream was served");
    }
    record.note(
        "streams=%d complete=%d complete_but_events_missing=%d"
            .formatted(record.answers().size(), bodies.size(), broken));
    return broken > 0;
  }
}
