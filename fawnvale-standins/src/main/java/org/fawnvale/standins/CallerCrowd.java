package org.fawnvale.standins;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * Clients on loopback that misbehave in the same way, each over a connection of its own. One whose
 * connection the server closes comes back after a pause, until the crowd is closed. One thread
 * serves all of them.
 */
public final class CallerCrowd implements AutoCloseable {

  /** The pause between two rounds in which each client sends what its connection accepts. */
  private static final int ROUND_MILLIS = 100;

  /** The rounds between two bytes of a client that sends one byte at a time: 0.4 s. */
  private static final int ROUNDS_PER_BYTE = 4;

  /** The most bytes that a client sends over one connection. */
  private static final int MAX_BYTES = 4 << 20;

  /** Keeps answers out of the system's buffers, so that an unread one stays with the server. */
  private static final int RECEIVE_BUFFER_BYTES = 4 << 10;

  private static final int READ_BYTES = 16 << 10;
  private static final int LONG_LINE_BYTES = 60_000;
  private static final int MANY_LINES = 1_000;
  private static final String END_OF_LINE = "\r\n";
  private static final String SHORT_LINE = "a:" + END_OF_LINE;
  private static final String CHUNKED = "Transfer-Encoding: chunked" + END_OF_LINE + END_OF_LINE;
  private static final String LENGTH_OF_TEN = "Content-Length: 10" + END_OF_LINE;

  /** Stands for the attempt's id where a kind tells what is sent. */
  private static final String ATTEMPT = "crowd";

  private static final AtomicLong NEXT_ATTEMPT = new AtomicLong();

  private final InetSocketAddress address;
  private final Kind kind;
  private final List<Client> clients = new ArrayList<>();
  private final ByteBuffer answers = ByteBuffer.allocate(READ_BYTES);
  private final Thread thread;
  private volatile boolean closed;
  private volatile long connections;

  /** What each client of a crowd does. */
  public enum Kind {
    /** Sends a whole head of very many short lines, and all of its body but the last byte. */
    MANY_LINES_WITHOUT_LAST_BYTE(
        plain() + LENGTH_OF_TEN + SHORT_LINE.repeat(MANY_LINES) + END_OF_LINE + "x".repeat(9)),
    /** Sends a head of very many short lines, but for its end. */
    MANY_LINES_WITHOUT_END(plain() + SHORT_LINE.repeat(MANY_LINES)),
    /** Sends a head of very many folded lines, but for its end. */
    FOLDED_LINES_WITHOUT_END(plain() + SHORT_LINE + (" a" + END_OF_LINE).repeat(MANY_LINES)),
    /** Sends a whole body in chunks, and a trailer of very many lines without its end. */
    TRAILERS_WITHOUT_END(plain() + CHUNKED + "1\r\nx\r\n0\r\n" + SHORT_LINE.repeat(MANY_LINES)),
    /** Sends a head with one very long line that does not end. */
    LONG_LINE_WITHOUT_END(plain() + "a: " + "x".repeat(LONG_LINE_BYTES)),
    /** Sends a very long line behind the size of its first chunk. */
    LONG_CHUNK_LINE_WITHOUT_END(plain() + CHUNKED + "1;a=" + "x".repeat(LONG_LINE_BYTES)),
    /** Sends a whole request of very many lines for a stream, and does not read the answer. */
    STREAMS_UNREAD(
        stream() + LENGTH_OF_TEN + SHORT_LINE.repeat(900) + END_OF_LINE + "large-1234", "", false),
    /** Sends requests that are refused, one behind the other, and reads no answer. */
    REFUSED_REQUESTS_AHEAD(
        "",
        "GET /nowhere HTTP/1.1\r\nHost: "
            + UsersConfiguration.HOST
            + "\r\n"
            + UsersConfiguration.ATTEMPT_HEADER
            + ": ahead\r\n\r\n",
        false),
    /** Sends empty lines where a request is due. */
    EMPTY_LINES("", END_OF_LINE, true),
    /** Sends a head byte by byte. */
    HEAD_BYTE_BY_BYTE(plain() + "a: "),
    /** Sends a body byte by byte. */
    BODY_BYTE_BY_BYTE(plain() + "Content-Length: 9000" + END_OF_LINE + END_OF_LINE),
    /** Opens a connection and sends nothing. */
    IDLE("");

    private final String once;
    private final byte[] repeated;
    private final boolean reads;

    Kind(String once) {
      this(once, "", true);
    }

    Kind(String once, String repeated, boolean reads) {
      this.once = once;
      this.repeated = repeated.getBytes(StandardCharsets.US_ASCII);
      this.reads = reads;
    }

    /** Returns what a connection sends first, with an id of its own as each attempt has. */
    private byte[] bytesOf(long attempt) {
      return once.replace(ATTEMPT, ATTEMPT + attempt).getBytes(StandardCharsets.US_ASCII);
    }

    private boolean isByteByByte() {
      return this == HEAD_BYTE_BY_BYTE || this == BODY_BYTE_BY_BYTE;
    }

    private static String plain() {
      return head(UsersConfiguration.SAFE_PATH, UsersConfiguration.headersOfAPlainCaller(ATTEMPT));
    }

    private static String stream() {
      return head(UsersConfiguration.STREAM_PATH, UsersConfiguration.headersOfACaller(ATTEMPT));
    }

    private static String head(String path, Map<String, String> headers) {
      StringBuilder head = new StringBuilder("POST " + path + "x HTTP/1.1" + END_OF_LINE);
      headers.forEach(
          (name, value) -> head.append(name).append(": ").append(value).append(END_OF_LINE));
      return head.toString();
    }
  }

  private CallerCrowd(InetSocketAddress address, Kind kind, int size) {
    this.address = address;
    this.kind = kind;
    for (int number = 0; number < size; number++) {
      clients.add(new Client());
    }
    thread = new Thread(this::run, "caller-crowd");
    thread.setDaemon(true);
  }

  /**
   * Sends a crowd to a server.
   *
   * @param address the server as {@code host:port}
   * @param kind what each client does
   * @param size the number of clients
   * @return the crowd, which stays until it is closed
   */
  public static CallerCrowd send(String address, Kind kind, int size) {
    String[] parts = address.split(":");
    CallerCrowd crowd =
        new CallerCrowd(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), kind, size);
    crowd.thread.start();
    return crowd;
  }

  /**
   * Returns how many connections of the clients the server has accepted.
   *
   * @return their number; more than there are clients once some have come back
   */
  public long connections() {
    return connections;
  }

  /** Closes all connections. */
  @Override
  public void close() {
    closed = true;
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    try {
      for (int round = 0; !closed; round++) {
        for (Client client : clients) {
          client.act(round);
        }
        TimeUnit.MILLISECONDS.sleep(ROUND_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    clients.forEach(Client::disconnect);
  }

  /** One client; used by the crowd's thread. */
  private final class Client {
    private @Nullable SocketChannel channel;
    private ByteBuffer unsent = ByteBuffer.allocate(0);
    private int sent;
    private boolean counted;

    void act(int round) {
      try {
        SocketChannel open = channel == null ? connect() : channel;
        if (open.finishConnect()) {
          countConnection();
          send(open, round);
          read(open);
        }
      } catch (IOException e) {
        disconnect();
      }
    }

    private void countConnection() {
      if (!counted) {
        counted = true;
        connections++;
      }
    }

    private SocketChannel connect() throws IOException {
      SocketChannel opened = SocketChannel.open();
      channel = opened;
      opened.configureBlocking(false);
      if (!kind.reads) {
        opened.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BUFFER_BYTES);
      }
      opened.connect(address);
      counted = false;
      unsent = ByteBuffer.wrap(kind.bytesOf(NEXT_ATTEMPT.incrementAndGet()));
      sent = 0;
      return opened;
    }

    private void send(SocketChannel open, int round) throws IOException {
      sent += open.write(unsent);
      if (kind.isByteByByte() && !unsent.hasRemaining() && round % ROUNDS_PER_BYTE == 0) {
        unsent = ByteBuffer.wrap(new byte[] {'x'});
      }
      boolean accepts = true;
      while (accepts && kind.repeated.length > 0 && sent < MAX_BYTES) {
        if (!unsent.hasRemaining()) {
          unsent = ByteBuffer.wrap(kind.repeated);
        }
        int written = open.write(unsent);
        sent += written;
        accepts = written > 0;
      }
    }

    private void read(SocketChannel open) throws IOException {
      if (!kind.reads) {
        return;
      }
      answers.clear();
      if (open.read(answers) < 0) {
        disconnect();
      }
    }

    private void disconnect() {
      SocketChannel open = channel;
      channel = null;
      if (open != null) {
        try {
          open.close();
        } catch (IOException e) {
          // It is closed all the same.
        }
      }
    }
  }
}
