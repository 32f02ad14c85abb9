import java.io.IOException;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound worker of a plain service, as the users' pages describe it. */
class Plain {
  static final String SOUND_TYPE = "text/plain; charset=utf-8";

  final String id;
  final Kit.Server server;
  final Kit.Record record;
  /** The ids of the requests that have reached a worker and were not turned away. */
  static final Set<String> RUN = ConcurrentHashMap.newKeySet();

  private final String service;
  private final int slotCount;
  private final Semaphore slots;
  private final AtomicInteger waiting = new AtomicInteger();

  Plain(String id, String service, Kit.Store store, Kit.Record record) throws IOException {
    this(id, service, 6, store, record);
  }

  Plain(String id, String service, int slotCount, Kit.Store store, Kit.Record record)
      throws IOException {
    this.slotCount = slotCount;
    this.slots = new Semaphore(slotCount, true);
    this.id = id;
    this.service = service;
    this.record = record;
    this.server = new Kit.Server(this::handle);
    store.put("servers", id, entry("ready"));
  }

  final String entry(String state) {
    return "{\"service\":\""
        + service
        + "\",\"address\":\""
        + server.address()
        + "\",\"zone\":\"heredia\",\"version\":\"v1\",\"slots\":"
        + slotCount
        + ",\"state\":\""
        + state
        + "\",\"cold_remaining_ms\":0,\"sequence\":1}";
  }

  /** How long a request works, in milliseconds. */
  long workMillis() {
    return ThreadLocalRandom.current().nextInt(8, 22);
  }

  private boolean handle(Kit.Message request, Socket connection) throws IOException {
    if (request.path().equals("/healthz")) {
      return Kit.answer(connection, 200, "X-Instance-Id: " + id + "\r\n", new byte[0]);
    }
    String attempt = request.header("x-attempt-id");
    String head = "X-Attempt-Id: " + attempt + "\r\n";
    String target = request.header("x-target-instance");
    if (target != null && !target.equals(id)) {
      return Kit.answer(connection, 421, head + "X-Instance-Id: " + id + "\r\n", new byte[0]);
    }
    if (waiting.incrementAndGet() > slotCount + 24) {
      waiting.decrementAndGet();
      return Kit.answer(connection, 503, head + "X-Not-Executed: 1\r\n", new byte[0]);
    }
    try {
      slots.acquireUninterruptibly();
      try {
        RUN.add(attempt);
        record.add(id + " runs " + attempt);
        Kit.sleep(workMillis());
      } finally {
        slots.release();
      }
    } finally {
      waiting.decrementAndGet();
    }
    String signature = "X-Instance-Signature: " + id + "." + attempt + "\r\n";
    return respond(request, connection, head + signature);
  }

  /** Writes the answer to a request that has run. */
  boolean respond(Kit.Message request, Socket connection, String head) throws IOException {
    byte[] body = Kit.ascii("answer to " + request.header("x-attempt-id"));
    return Kit.answer(connection, 200, head + "Content-Type: " + SOUND_TYPE + "\r\n", body);
  }
}
