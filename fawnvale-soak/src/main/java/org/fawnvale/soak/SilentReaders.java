package org.fawnvale.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.fawnvale.standins.UsersConfiguration;
import org.fawnvale.standins.fleet.EdgeDaemon;

/** Callers that request large streams of one daemon, stop reading for a while, and read on. */
final class SilentReaders {

  private static final int MIN_READERS = 4;
  private static final int READERS_RANGE = 9;
  private static final int MIN_DURATION_MILLIS = 1_000;
  private static final int DURATION_RANGE_MILLIS = 7_000;
  private static final int RECEIVE_BUFFER_BYTES = 4 << 10;
  private static final int TIMEOUT_MILLIS = 1_000;
  private static final int READ_BYTES = 64 << 10;

  /** How long before the silence a signal excuses the daemon: its restart may take that long. */
  private static final long EXCUSE_NANOS = 10_000_000_000L;

  /** The fewest requests of other callers that show whether the daemon responds. */
  private static final int MIN_REQUESTS = 5;

  private SilentReaders() {}

  static String stopReading(FaultContext context, Random random) {
    EdgeDaemon daemon = FaultContext.randomElement(context.daemons(), random);
    int count = MIN_READERS + random.nextInt(READERS_RANGE);
    long duration = MIN_DURATION_MILLIS + random.nextInt(DURATION_RANGE_MILLIS);
    int number = random.nextInt(1_000_000);
    List<Socket> sockets = new ArrayList<>();
    context.recorder().readersSilent(daemon.number(), true, isAlive(daemon));
    for (int reader = 0; reader < count; reader++) {
      request(daemon, UsersConfiguration.LARGE_BODY_PREFIX + number + "-" + reader, sockets);
    }
    context.schedule(
        duration,
        () -> {
          context.recorder().readersSilent(daemon.number(), false, isAlive(daemon));
          Thread reader = new Thread(() -> sockets.forEach(SilentReaders::readOn), "late-reader");
          reader.setDaemon(true);
          reader.start();
        });
    return sockets.size() + " at daemon " + daemon.number() + " for " + duration + " ms";
  }

  private static boolean isAlive(EdgeDaemon daemon) {
    return ProcessHandle.of(daemon.pid()).map(ProcessHandle::isAlive).orElse(false);
  }

  /** Sends a request and reads nothing; a daemon that is down gets none. */
  private static void request(EdgeDaemon daemon, String attempt, List<Socket> sockets) {
    String[] address = daemon.frontend().split(":");
    StringBuilder head = new StringBuilder("POST " + RequestKind.STREAM.path() + " HTTP/1.1\r\n");
    UsersConfiguration.headersOfACaller(attempt)
        .forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    String body = Callers.bodyOf(attempt);
    head.append("Content-Length: ").append(body.length()).append("\r\n\r\n").append(body);
    try {
      Socket socket = new Socket();
      socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      socket.setSoTimeout(TIMEOUT_MILLIS);
      sockets.add(socket);
      socket.connect(
          new InetSocketAddress(address[0], Integer.parseInt(address[1])), TIMEOUT_MILLIS);
      socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.US_ASCII));
    } catch (IOException e) {
      // Another fault has stopped the daemon.
    }
  }

  private static void readOn(Socket socket) {
    try (socket) {
      InputStream in = socket.getInputStream();
      byte[] part = new byte[READ_BYTES];
      int count = 0;
      while (count >= 0) {
        count = in.read(part);
      }
    } catch (IOException e) {
      // The daemon has closed the connection, or has nothing more to send.
    }
  }

  /** While some callers do not read, the daemon's process stays and others get responses. */
  static Verdict othersAreServed(RunHistory history) {
    Verdict.Builder verdict = new Verdict.Builder();
    Map<Integer, Event.ReadersSilent> begun = new HashMap<>();
    for (Event.ReadersSilent event : history.all(Event.ReadersSilent.class)) {
      if (event.begins()) {
        begun.putIfAbsent(event.daemon(), event);
      } else {
        Event.ReadersSilent begin = begun.remove(event.daemon());
        if (begin != null) {
          judge(history, begin, event, verdict);
        }
      }
    }
    return verdict.build();
  }

  private static void judge(
      RunHistory history,
      Event.ReadersSilent begin,
      Event.ReadersSilent end,
      Verdict.Builder verdict) {
    int daemon = begin.daemon();
    if (history.wasSignalled(daemon, begin.atNanos() - EXCUSE_NANOS, end.atNanos())) {
      return;
    }
    verdict.countCase();
    if (!end.alive()) {
      verdict.addBreach("daemon " + daemon + " ended while callers did not read");
    }
    Map<String, Event.Sent> sent = new HashMap<>();
    for (Event.Sent request : history.all(Event.Sent.class)) {
      if (request.daemon() == daemon && isWithin(request, begin, end)) {
        sent.put(request.attempt(), request);
      }
    }
    long answered =
        history.all(Event.Answered.class).stream()
            .filter(event -> sent.containsKey(event.attempt()) && event.answer().status() > 0)
            .count();
    if (sent.size() >= MIN_REQUESTS && answered == 0) {
      verdict.addBreach(
          "daemon " + daemon + " answered none of " + sent.size() + " beside silent readers");
    }
  }

  private static boolean isWithin(Event event, Event from, Event until) {
    return event.atNanos() >= from.atNanos() && event.atNanos() <= until.atNanos();
  }
}
