import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker of a plain service. It works on {@code slots} requests at once and queues a few. */
final class Worker implements AutoCloseable {

  static final String SERVICE = "stock";

  /** What a test changes in a worker's answers, for one connection. */
  interface Answers {

    /** Called before the answer to a request is written. */
    default void before(OutputStream out, Http.Message request) throws IOException {}

    /** Called after the answer to a request was written. */
    default void after(Http.Message request, byte[] answer) {}
  }

  /** Creates what changes the answers of one connection. */
  interface Trouble {
    Answers connection();
  }

  /** No change. */
  static final Trouble NONE = () -> new Answers() {};

  final String id;
  final String zone;
  final int slots;
  private final int queue;
  private final int workMillis;
  private final Record record;
  private final Trouble trouble;
  private final ServerSocket server;
  private final AtomicInteger inside = new AtomicInteger();
  private final java.util.concurrent.Semaphore running;
  private long sequence;

  Worker(
      String id, String zone, int slots, int queue, int workMillis, Record record, Trouble trouble)
      throws IOException {
    this.id = id;
    this.zone = zone;
    this.slots = slots;
    this.queue = queue;
    this.workMillis = workMillis;
    this.record = record;
    this.trouble = trouble;
    this.running = new java.util.concurrent.Semaphore(slots, true);
    this.server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    daemonThread("accept " + id, this::accept);
  }

  static void daemonThread(String name, Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.start();
  }

  /** Writes the worker's entry, as it does about every heartbeat. */
  void publish(Store store, String state) {
    ObjectNode entry = Store.JSON.createObjectNode();
    entry.put("service", SERVICE);
    entry.put("address", "127.0.0.1:" + server.getLocalPort());
    entry.put("zone", zone);
    entry.put("version", "v1");
    entry.put("slots", slots);
    entry.put("state", state);
    entry.put("cold_remaining_ms", 0);
    entry.put("sequence", sequence);
    store.put("servers", id, entry);
  }

  private void accept() {
    while (!server.isClosed()) {
      try {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        daemonThread("connection " + id, () -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    Answers answers = trouble.connection();
    try (socket) {
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (Http.Message request = Http.read(in, true); request != null; request = Http.read(in, true)) {
        if (!request.whole()) {
          return;
        }
        answers.before(out, request);
        byte[] answer = answer(request);
        out.write(answer);
        out.flush();
        answers.after(request, answer);
      }
    } catch (IOException e) {
      // The daemon has closed the connection.
    }
  }

  private byte[] answer(Http.Message request) throws IOException {
    String attempt = request.header("x-attempt-id");
    String expected = request.header("x-target-instance");
    if (expected != null && !expected.equals(id)) {
      return text("421 Misdirected Request", "X-Instance-Id: " + id + "\r\n", attempt, "");
    }
    if (request.start().startsWith("GET /healthz")) {
      return text("200 OK", "X-Instance-Id: " + id + "\r\n", attempt, "");
    }
    if (inside.incrementAndGet() > slots + queue) {
      inside.decrementAndGet();
      record.rejected(attempt, id);
      return text("503 Service Unavailable", "X-Not-Executed: 1\r\n", attempt, "");
    }
    try {
      running.acquireUninterruptibly();
      try {
        record.ran(attempt, id);
        Thread.sleep(workMillis);
      } finally {
        running.release();
      }
    } catch (InterruptedException e) {
      throw new IOException(e);
    } finally {
      inside.decrementAndGet();
    }
    return text(
        "200 OK", "X-Instance-Signature: " + id + "." + attempt + "\r\n", attempt, "done " + attempt);
  }

  static byte[] text(String status, String headers, String attempt, String body) {
    String own = attempt == null ? "" : "X-Attempt-Id: " + attempt + "\r\n";
    return Http.bytes(
        "HTTP/1.1 "
            + status
            + "\r\n"
            + headers
            + own
            + "Content-Type: text/plain\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body);
  }

  @Override
  public void close() throws IOException {
    server.close();
  }
}
