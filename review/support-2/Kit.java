import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** What the scripts of this review share: a store, a server for workers, a client, a daemon. */
final class Kit {

  static final String LOOPBACK = "127.0.0.1";
  static final long START = System.nanoTime();

  private Kit() {}

  /** Milliseconds since the start of the script. */
  static long now() {
    return (System.nanoTime() - START) / 1_000_000L;
  }

  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** A thread that doesn't keep the script alive. */
  static Thread start(Runnable task) {
    Thread thread = new Thread(task);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  /** The record of a script: what was sent, answered and run. */
  static final class Record {
    private final PrintWriter out;

    Record(Path file) throws IOException {
      out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void add(String line) {
      out.printf(Locale.ROOT, "%7d ms  %s%n", now(), line);
      out.flush();
    }
  }

  /** A request or an answer: first line, headers in lower case, body. */
  static final class Message {
    String first = "";
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    String path() {
      return first.split(" ")[1];
    }

    String method() {
      return first.split(" ")[0];
    }

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int read = in.read(); read != '\n'; read = in.read()) {
      if (read < 0) {
        throw new EOFException("the connection ended");
      }
      line.write(read);
    }
    String text = line.toString(StandardCharsets.ISO_8859_1);
    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
  }

  /** Reads a whole message; null if the connection ends before its first byte. */
  static Message read(InputStream in) throws IOException {
    Message message = new Message();
    in.mark(1);
    if (in.read() < 0) {
      return null;
    }
    in.reset();
    message.first = line(in);
    for (String line = line(in); !line.isEmpty(); line = line(in)) {
      int colon = line.indexOf(':');
      message.headers.put(
          line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
          line.substring(colon + 1).trim());
    }
    String encoding = message.header("transfer-encoding");
    String length = message.header("content-length");
    if (encoding != null && encoding.toLowerCase(Locale.ROOT).contains("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      for (int size = size(in); size > 0; size = size(in)) {
        body.write(in.readNBytes(size));
        line(in);
      }
      while (!line(in).isEmpty()) {
        // A trailer is dropped.
      }
      message.body = body.toByteArray();
    } else if (length != null) {
      int bytes = Integer.parseInt(length);
      message.body = in.readNBytes(bytes);
      if (message.body.length < bytes) {
        throw new EOFException("the body was cut");
      }
    }
    return message;
  }

  private static int size(InputStream in) throws IOException {
    return Integer.parseInt(line(in).split(";")[0].trim(), 16);
  }

  /** Answers one request by writing to its connection; false closes the connection. */
  interface Handler {
    boolean handle(Message request, Socket connection) throws IOException;
  }

  /** A server on loopback with a thread for each connection. */
  static final class Server implements Closeable {
    private final ServerSocket socket;
    private final Handler handler;
    private volatile boolean closed;

    Server(Handler handler) throws IOException {
      this.socket = new ServerSocket(0, 512, InetAddress.getByName(LOOPBACK));
      this.handler = handler;
      start(this::accept);
    }

    String address() {
      return LOOPBACK + ":" + socket.getLocalPort();
    }

    private void accept() {
      while (!closed) {
        try {
          Socket connection = socket.accept();
          start(() -> serve(connection));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket connection) {
      try (connection) {
        connection.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(connection.getInputStream());
        for (Message request = read(in); request != null; request = read(in)) {
          if (!handler.handle(request, connection)) {
            return;
          }
        }
      } catch (IOException e) {
        // The other side has closed the connection.
      }
    }

    @Override
    public void close() throws IOException {
      closed = true;
      socket.close();
    }
  }

  static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  static boolean answer(Socket connection, int status, String headers, byte[] body)
      throws IOException {
    String head =
        "HTTP/1.1 "
            + status
            + " Status\r\n"
            + headers
            + "Content-Length: "
            + body.length
            + "\r\n\r\n";
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.write(ascii(head));
    bytes.write(body);
    connection.getOutputStream().write(bytes.toByteArray());
    connection.getOutputStream().flush();
    return true;
  }

  /** The platform's store: objects by kind and name, lists, watches, one counter of revisions. */
  static final class Store {
    private static final String JSON = "Content-Type: application/json\r\n";
    private final Map<String, Map<String, long[]>> revisions = new TreeMap<>();
    private final Map<String, String> specs = new TreeMap<>();
    private final List<String[]> events = new ArrayList<>();
    private long revision = 100;
    final Server server;

    Store() throws IOException {
      server = new Server(this::handle);
    }

    /** Writes an object, as the operator and the workers do. */
    synchronized void put(String kind, String name, String spec) {
      revision++;
      long[] known = revisions.computeIfAbsent(kind, key -> new TreeMap<>()).get(name);
      long created = known == null ? revision : known[1];
      revisions.get(kind).put(name, new long[] {revision, created});
      specs.put(kind + "/" + name, spec);
      events.add(new String[] {kind, String.valueOf(revision), "false", object(kind, name)});
      notifyAll();
    }

    synchronized boolean delete(String kind, String name) {
      if (!revisions.getOrDefault(kind, Map.of()).containsKey(name)) {
        return false;
      }
      revision++;
      String last = object(kind, name);
      revisions.get(kind).remove(name);
      specs.remove(kind + "/" + name);
      events.add(new String[] {kind, String.valueOf(revision), "true", last});
      notifyAll();
      return true;
    }

    private String object(String kind, String name) {
      long[] known = revisions.get(kind).get(name);
      return "{\"metadata\":{\"name\":\""
          + name
          + "\",\"revision\":"
          + known[0]
          + ",\"created\":"
          + known[1]
          + ",\"finalizers\":[],\"deletion_pending\":false},\"spec\":"
          + specs.get(kind + "/" + name)
          + ",\"status\":null}";
    }

    private boolean handle(Message request, Socket connection) throws IOException {
      String[] target = request.path().split("\\?", 2);
      String[] parts = target[0].split("/");
      String kind = parts.length > 3 ? parts[3] : "";
      String name = parts.length > 4 ? parts[4] : "";
      Map<String, String> query = new LinkedHashMap<>();
      if (target.length > 1) {
        for (String pair : target[1].split("&")) {
          query.put(pair.split("=")[0], pair.substring(pair.indexOf('=') + 1));
        }
      }
      String body = null;
      int status = 200;
      if (request.method().equals("GET") && name.isEmpty()) {
        body = query.containsKey("watch") ? watch(kind, query) : list(kind);
      } else if (request.method().equals("GET")) {
        synchronized (this) {
          boolean known = revisions.getOrDefault(kind, Map.of()).containsKey(name);
          status = known ? 200 : 404;
          body = known ? object(kind, name) : "{}";
        }
      } else if (request.method().equals("POST")) {
        String text = request.text();
        String created = text.replaceAll("(?s).*?\"name\":\"([^\"]*)\".*", "$1");
        String spec = text.substring(text.indexOf("\"spec\":") + 7, text.length() - 1);
        synchronized (this) {
          if (revisions.getOrDefault(kind, Map.of()).containsKey(created)) {
            status = 409;
          } else {
            put(kind, created, spec);
          }
          body = object(kind, created);
        }
      } else if (request.method().equals("DELETE")) {
        status = delete(kind, name) ? 200 : 404;
        body = "{}";
      } else {
        status = 404;
        body = "{}";
      }
      // A character is a byte, so that an entry may hold any bytes; all others are ASCII.
      return answer(connection, status, JSON, ascii(body));
    }

    private synchronized String list(String kind) {
      List<String> items = new ArrayList<>();
      revisions
          .getOrDefault(kind, Map.of())
          .keySet()
          .forEach(name -> items.add(object(kind, name)));
      return "{\"items\":["
          + String.join(",", items)
          + "],\"has_more\":false,\"timestamp\":"
          + revision
          + "}";
    }

    private synchronized String watch(String kind, Map<String, String> query) {
      long since = Long.parseLong(query.get("watch"));
      long until = now() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
      while (true) {
        List<String> found = new ArrayList<>();
        for (String[] event : events) {
          if (event[0].equals(kind) && Long.parseLong(event[1]) > since) {
            found.add("{\"deleted\":" + event[2] + ",\"object\":" + event[3] + "}");
          }
        }
        long left = until - now();
        if (!found.isEmpty() || left <= 0) {
          return "{\"events\":[" + String.join(",", found) + "],\"timestamp\":" + revision + "}";
        }
        try {
          wait(left);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          return "{\"events\":[],\"timestamp\":" + since + "}";
        }
      }
    }
  }

  /** A daemon, started with the command of the deploy file. */
  static final class Daemon implements Closeable {
    final String frontend;
    final String ready;
    final Process process;
    private final Path folder;

    /** Starts the only daemon of a deployment, at its first start. */
    Daemon(String name, Store store, Path log) throws IOException {
      this(name, LOOPBACK, freePorts(LOOPBACK), true, store, log);
    }

    /**
     * Starts a daemon.
     *
     * @param base the first of ten free ports in a row, the same on all machines
     */
    Daemon(String name, String address, int base, boolean firstStart, Store store, Path log)
        throws IOException {
      frontend = address + ":" + base;
      ready = address + ":" + (base + 1);
      folder = Files.createTempDirectory("review");
      Path settings = folder.resolve("settings.json");
      Files.writeString(
          settings,
          "{\"name\":\""
              + name
              + "\",\"address\":\""
              + address
              + "\",\"dataCentre\":\"heredia\",\"listen\":{\"frontend\":\""
              + frontend
              + "\",\"ready\":\""
              + ready
              + "\",\"metrics\":\""
              + address
              + ":"
              + (base + 2)
              + "\"},\"peers\":{\"port\":"
              + (base + 3)
              + ",\"seeds\":[\""
              + LOOPBACK
              + ":"
              + (base + 9)
              + "\"]},\"store\":{\"address\":\""
              + store.server.address()
              + "\"},\"bounds\":{\"stallMillis\":4000,\"graceSeconds\":8,\"retryRatio\":0.2,"
              + "\"retrySlack\":136,\"retryWindowSeconds\":10,\"loadWindowSeconds\":5,"
              + "\"leavingMillis\":2000},\"firstStart\":"
              + firstStart
              + "}");
      ProcessBuilder builder = new ProcessBuilder(System.getenv("EDGE_COMMAND").split(" "));
      builder.environment().put("FAWNVALE_SETTINGS", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      process = builder.start();
      Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    /** The first of ten ports in a row that nobody uses at some addresses. */
    static int freePorts(String... addresses) {
      for (int base = 20_000 + (int) (System.nanoTime() / 1000 % 10_000); ; base += 11) {
        boolean free = true;
        for (String address : addresses) {
          for (int port = base; free && port < base + 10; port++) {
            try (ServerSocket socket = new ServerSocket()) {
              socket.bind(new InetSocketAddress(address, port));
            } catch (IOException e) {
              free = false;
            }
          }
        }
        if (free) {
          return base;
        }
      }
    }

    /** Whether GET /v1/readyz is answered with 200. */
    boolean isReady() {
      try (Connection connection = new Connection(ready)) {
        Message answer =
            connection.send("GET /v1/readyz HTTP/1.1\r\nHost: " + ready + "\r\n\r\n", 1_000);
        return answer != null && answer.status() == 200;
      } catch (IOException e) {
        return false;
      }
    }

    boolean awaitReady(long millis) {
      for (long end = now() + millis; now() < end; sleep(50)) {
        if (isReady()) {
          return true;
        }
      }
      return false;
    }

    @Override
    public void close() throws IOException {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      Files.deleteIfExists(folder.resolve("settings.json"));
      Files.deleteIfExists(folder);
    }
  }

  /** A client's connection. */
  static final class Connection implements Closeable {
    final Socket socket = new Socket();
    private final InputStream in;

    Connection(String address) throws IOException {
      int colon = address.indexOf(':');
      socket.setTcpNoDelay(true);
      socket.connect(
          new InetSocketAddress(
              address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
          1_000);
      in = new BufferedInputStream(socket.getInputStream());
    }

    /**
     * Sends a request and reads its answer.
     *
     * @return the answer; null if the connection ended without one
     * @throws SocketTimeoutException if nothing came in time
     */
    Message send(String request, int timeoutMillis) throws IOException {
      socket.getOutputStream().write(ascii(request));
      socket.getOutputStream().flush();
      socket.setSoTimeout(timeoutMillis);
      return read(in);
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
