package org.fawnvale.soak;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.fawnvale.standins.UsersConfiguration;
import org.fawnvale.standins.fleet.EdgeDaemon;

/**
 * A load balancer that hands most new connections to one daemon and then to another, while callers
 * open a connection for each request; checks that what these daemons read is served.
 */
final class UnevenConnections {

  /** Prefix of the bodies of these requests. */
  static final String BODY_PREFIX = "uneven";

  /** About 120 connections a second, which the four plain workers can serve. */
  private static final int CALLERS = 12;

  private static final long MILLIS_EACH = 6_000;
  private static final int MAX_PAUSE_MILLIS = 200;
  private static final int TIMEOUT_MILLIS = 5_000;

  /** How long the daemons may take to cope. */
  private static final long CONTACT_NANOS = 3_000_000_000L;

  /** The longest time for which workers refuse requests, which begins before the span. */
  private static final long REFUSAL_NANOS = 9_000_000_000L;

  private static final int MIN_COMPARED = 20;
  private static final double LEAST_SHARE = 0.75;
  private static final String END_OF_HEAD = "\r\n\r\n";
  private static final int END = -1;

  private UnevenConnections() {}

  /** Does nothing while an earlier balancer of this kind is at work. */
  static String send(FaultContext context, Random random) {
    EdgeDaemon first = FaultContext.randomElement(context.daemons(), random);
    EdgeDaemon second = FaultContext.randomElement(context.daemons(), random);
    String run = BODY_PREFIX + random.nextInt(1_000_000) + "x";
    long now = System.nanoTime();
    if (now - context.unevenUntilNanos().get() < 0) {
      return "none, one is at work";
    }
    context.unevenUntilNanos().set(now + TimeUnit.MILLISECONDS.toNanos(2 * MILLIS_EACH));
    for (int number = 0; number < CALLERS; number++) {
      Caller caller = new Caller(context, run + number, new Random(random.nextLong()));
      Thread thread = new Thread(() -> caller.send(first, second), "uneven");
      thread.setDaemon(true);
      thread.start();
    }
    return "daemons " + first.number() + " and " + second.number() + ", each " + MILLIS_EACH;
  }

  /** Opens a connection for each request, and leaves every second one open. */
  private static final class Caller {
    private final FaultContext context;
    private final String body;
    private final Random random;
    private final List<Socket> kept = new ArrayList<>();
    private int requests;

    Caller(FaultContext context, String body, Random random) {
      this.context = context;
      this.body = body;
      this.random = random;
    }

    void send(EdgeDaemon first, EdgeDaemon second) {
      sendTo(first);
      sendTo(second);
      kept.forEach(Caller::close);
    }

    private void sendTo(EdgeDaemon daemon) {
      long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MILLIS_EACH);
      while (System.nanoTime() - until < 0) {
        requests++;
        String attempt = body + "n" + requests + "-" + requests;
        context.recorder().sent(attempt, daemon.number(), RequestKind.SAFE);
        request(daemon, attempt);
        Callers.pause(random.nextInt(MAX_PAUSE_MILLIS));
      }
    }

    private void request(EdgeDaemon daemon, String attempt) {
      Socket socket = new Socket();
      try {
        socket.setSoTimeout(TIMEOUT_MILLIS);
        String[] address = daemon.frontend().split(":");
        socket.connect(
            new InetSocketAddress(address[0], Integer.parseInt(address[1])), TIMEOUT_MILLIS);
        socket.getOutputStream().write(head(attempt));
        String answer = readAnswer(socket.getInputStream());
        if (answer.isEmpty()) {
          context.recorder().closedUnread(attempt);
        } else {
          context.recorder().answered(attempt, answerOf(answer));
        }
      } catch (java.net.SocketTimeoutException e) {
        context.recorder().answered(attempt, Answer.none());
      } catch (IOException e) {
        context.recorder().closedUnread(attempt);
      }
      if (random.nextBoolean()) {
        kept.add(socket);
      } else {
        close(socket);
      }
    }

    /** Reads up to the end of the body that the head announces, or of the connection. */
    private static String readAnswer(InputStream input) throws IOException {
      StringBuilder answer = new StringBuilder();
      int next = input.read();
      while (next >= 0) {
        answer.append((char) next);
        next = isWhole(answer.toString()) ? END : input.read();
      }
      return answer.toString();
    }

    private static boolean isWhole(String text) {
      int headEnd = text.indexOf(END_OF_HEAD);
      if (headEnd < 0) {
        return false;
      }
      String length = header(text, "Content-Length");
      return !length.isEmpty()
          && text.length() >= headEnd + END_OF_HEAD.length() + Integer.parseInt(length);
    }

    private static Answer answerOf(String text) {
      if (!isWhole(text)) {
        return Answer.none();
      }
      return new Answer(
          Integer.parseInt(text.split(" ")[1]),
          header(text, UsersConfiguration.ATTEMPT_HEADER),
          header(text, UsersConfiguration.SIGNATURE_HEADER),
          text.substring(text.indexOf(END_OF_HEAD) + END_OF_HEAD.length()));
    }

    private static String header(String text, String name) {
      int start = text.indexOf(name + ": ");
      return start < 0 ? "" : text.substring(start + name.length() + 2).lines().findFirst().get();
    }

    private static byte[] head(String attempt) {
      StringBuilder head = new StringBuilder("GET " + RequestKind.SAFE.path() + " HTTP/1.1\r\n");
      UsersConfiguration.headersOfAPlainCaller(attempt)
          .forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
      return head.append("\r\n").toString().getBytes(StandardCharsets.US_ASCII);
    }

    private static void close(Socket socket) {
      try {
        socket.close();
      } catch (IOException e) {
        // It is closed all the same.
      }
    }
  }

  /**
   * From 3 s after such callers came to a daemon, their requests that it has read are served at
   * least three quarters as often as those of other callers elsewhere at the same time. Times are
   * left out in which workers limit or refuse requests or are out of reach: what they refuse says
   * nothing about the daemon.
   */
  static Verdict served(RunHistory history) {
    Verdict.Builder verdict = new Verdict.Builder();
    Set<String> unread = new HashSet<>();
    history.all(Event.ClosedUnread.class).forEach(event -> unread.add(event.attempt()));
    Map<String, Boolean> served = new HashMap<>();
    history
        .all(Event.Answered.class)
        .forEach(event -> served.put(event.attempt(), event.answer().isSuccess()));
    spans(history)
        .forEach(
            (key, span) -> {
              if (!workersRefuse(span, history)) {
                judge(key, span, history, new Outcomes(unread, served), verdict);
              }
            });
    return verdict.build();
  }

  private record Outcomes(Set<String> unread, Map<String, Boolean> served) {}

  /** The first and the last request of such callers at one daemon. */
  private record Span(int daemon, long beginNanos, long endNanos) {}

  /** Returns the spans by the run of the callers and the daemon. */
  private static Map<String, Span> spans(RunHistory history) {
    Map<String, Span> spans = new HashMap<>();
    for (Event.Sent request : history.all(Event.Sent.class)) {
      if (request.attempt().startsWith(BODY_PREFIX)) {
        String run = request.attempt().substring(0, request.attempt().indexOf('x'));
        long at = request.atNanos();
        spans.merge(
            run + " at daemon " + request.daemon(),
            new Span(request.daemon(), at, at),
            (before, now) -> new Span(before.daemon(), before.beginNanos(), at));
      }
    }
    return spans;
  }

  private static boolean workersRefuse(Span span, RunHistory history) {
    return history.events().stream()
        .filter(
            event ->
                event instanceof Event.Asked
                    || event instanceof Event.NamedLimit
                    || event instanceof Event.WorkersCut
                    || event instanceof Event.ReturnedCold)
        .anyMatch(
            event ->
                event.atNanos() >= span.beginNanos() - REFUSAL_NANOS
                    && event.atNanos() <= span.endNanos());
  }

  private static Set<Integer> signalledAround(Span span, RunHistory history) {
    Set<Integer> daemons = new HashSet<>();
    for (Event.Signalled event : history.all(Event.Signalled.class)) {
      if (event.atNanos() >= span.beginNanos() - CONTACT_NANOS
          && event.atNanos() <= span.endNanos() + CONTACT_NANOS) {
        daemons.add(event.daemon());
      }
    }
    return daemons;
  }

  private static void judge(
      String key, Span span, RunHistory history, Outcomes outcomes, Verdict.Builder verdict) {
    ServedShare here = new ServedShare();
    ServedShare elsewhere = new ServedShare();
    Set<Integer> disturbed = signalledAround(span, history);
    for (Event.Sent request : history.all(Event.Sent.class)) {
      long at = request.atNanos();
      boolean uneven = request.attempt().startsWith(BODY_PREFIX);
      boolean compared =
          request.kind() == RequestKind.SAFE
              && at >= span.beginNanos() + CONTACT_NANOS
              && at <= span.endNanos()
              && !outcomes.unread().contains(request.attempt())
              && !disturbed.contains(request.daemon());
      if (compared && uneven && request.daemon() == span.daemon()) {
        here.count(outcomes.served().getOrDefault(request.attempt(), false));
      } else if (compared && !uneven && request.daemon() != span.daemon()) {
        elsewhere.count(outcomes.served().getOrDefault(request.attempt(), false));
      }
    }
    if (here.sent() < MIN_COMPARED || elsewhere.sent() < MIN_COMPARED) {
      return;
    }
    verdict.countCase();
    if (here.share() < LEAST_SHARE * elsewhere.share()) {
      verdict.addBreach(key + " served " + here + ", others elsewhere " + elsewhere);
    }
  }
}
