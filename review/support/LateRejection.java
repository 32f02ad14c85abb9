import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker sends a rejection a second time, late, where the next answer is due. */
final class LateRejection {

  private static final int CLIENTS = 40;
  private static final int SECONDS = 60;
  private static final int WORK_MILLIS = 86;
  private static final int DEADLINE_MILLIS = 4_000;

  /** The trouble lasts 5 s and comes every 8 s. */
  private static final int TROUBLE_MILLIS = 5_000;

  private static final int PERIOD_MILLIS = 8_000;
  private static final double SHARE_OF_ANSWERS = 0.03;

  private LateRejection() {}

  static boolean isBroken(Record record, boolean troubled) throws Exception {
    long start = System.nanoTime();
    AtomicInteger extras = new AtomicInteger();
    Worker.Trouble late =
        () ->
            new Worker.Answers() {
              private byte[] extra;

              @Override
              public void before(OutputStream out, Http.Message request) throws IOException {
                if (extra != null) {
                  extras.incrementAndGet();
                  record.note("late answer too many before that to " + request.header("x-attempt-id"));
                  out.write(extra);
                  out.flush();
                  extra = null;
                }
              }

              @Override
              public void after(Http.Message request, byte[] answer) {
                long millis = (System.nanoTime() - start) / 1_000_000;
                boolean now = troubled && millis % PERIOD_MILLIS < TROUBLE_MILLIS;
                if (now && ThreadLocalRandom.current().nextDouble() < SHARE_OF_ANSWERS) {
                  extra = answer;
                }
              }
            };
    try (Fleet fleet = new Fleet()) {
      fleet.configure(7, DEADLINE_MILLIS, "/puxa403/", "non_idempotent");
      List<Worker> workers = new ArrayList<>();
      for (int number = 0; number < 3; number++) {
        workers.add(
            new Worker(
                "i-7f3a91c" + number,
                Fleet.ZONES.get(number),
                6,
                2,
                WORK_MILLIS,
                record,
                number == 0 ? late : Worker.NONE));
        workers.get(number).publish(fleet.store, "ready");
      }
      fleet.start(3);
      List<Thread> clients = new ArrayList<>();
      long end = System.nanoTime() + SECONDS * 1_000_000_000L;
      for (int number = 0; number < CLIENTS; number++) {
        int client = number;
        Edge edge = fleet.edges.get(number % fleet.edges.size());
        Thread thread = new Thread(() -> run(client, edge, record, end));
        clients.add(thread);
        thread.start();
      }
      for (Thread client : clients) {
        client.join();
      }
      for (Edge edge : fleet.edges) {
        if (!edge.isAlive()) {
          record.note(edge.name + " has ended");
        }
      }
    }
    int broken = 0;
    for (Map.Entry<String, List<String>> run : record.runs().entrySet()) {
      if (run.getValue().size() > 1) {
        broken++;
        record.note("TWICE " + run.getKey() + " ran at " + run.getValue());
      }
    }
    int refused = 0;
    long served = 0;
    for (Map.Entry<String, String> answer : record.answers().entrySet()) {
      served += answer.getValue().startsWith("200") ? 1 : 0;
      if (answer.getValue().startsWith("503") && record.runs().containsKey(answer.getKey())) {
        refused++;
        record.note("REFUSED " + answer.getKey() + " got 503, but ran");
      }
    }
    if (served == 0 || troubled && extras.get() == 0) {
      throw new IllegalStateException("nothing was served, or no answer came too often");
    }
    record.note(
        "requests=%d served=%d turned_away=%d answers_too_many=%d ran_twice=%d refused_but_ran=%d"
            .formatted(
                record.answers().size(), served, record.rejections(), extras.get(), broken, refused));
    return broken + refused > 0;
  }

  private static void run(int client, Edge edge, Record record, long end) {
    try (Client connection = new Client(edge.host, edge.port)) {
      for (int number = 0; System.nanoTime() < end; number++) {
        String attempt = "%04x%012x".formatted(client, number);
        String path = "/puxa403/" + client;
        record.sent(attempt, "POST " + path + " to " + edge.name);
        int wait = 40;
        try {
          Http.Message answer =
              connection.send(
                  Fleet.head("POST", path, attempt, DEADLINE_MILLIS, 5),
                  Http.bytes("place"),
                  DEADLINE_MILLIS + 500);
          record.answered(attempt, answer.status() + " " + answer.header("x-instance-signature"));
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
}
