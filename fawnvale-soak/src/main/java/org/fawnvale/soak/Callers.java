package org.fawnvale.soak;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.fawnvale.standins.UsersConfiguration;
import org.fawnvale.standins.fleet.EdgeDaemon;

/**
 * Callers that reuse their connections. Each caller sends its requests to one daemon and switches
 * to a random daemon after a request without a successful response.
 */
final class Callers implements AutoCloseable {

  /** Prefix of the bodies of requests that crash each worker that runs them. */
  static final String CRASHING_BODY_PREFIX = "deadly";

  /** The body of all requests when all callers send the same one. */
  private static final String SHARED_BODY = "popular";

  private static final String UNIQUE_BODY_PREFIX = "prompt";
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(8);
  private static final int MAX_PAUSE_MILLIS = 60;
  private static final int ONE_IN_CHUNKED = 3;
  private static final int SLOW_BODY_MILLIS = 250;
  private static final double MAX_WAIT_SECONDS = 2;

  private final List<EdgeDaemon> daemons;
  private final Recorder recorder;
  private final boolean sameBodies;
  private final List<Thread> threads = new ArrayList<>();
  private final AtomicInteger numbers = new AtomicInteger();
  private volatile boolean closed;

  Callers(List<EdgeDaemon> daemons, Recorder recorder, boolean sameBodies) {
    this.daemons = daemons;
    this.recorder = recorder;
    this.sameBodies = sameBodies;
  }

  /** Returns the body of an attempt, which is the prefix of its id up to the first hyphen. */
  static String bodyOf(String attempt) {
    return attempt.substring(0, attempt.indexOf('-'));
  }

  /**
   * Returns whether a request is one of callers that use all daemons alike, and is owed an answer.
   */
  static boolean isOrdinary(String attempt) {
    String body = bodyOf(attempt);
    return PromptParts.crashingPartOf(body) == null
        && !body.startsWith(UnevenConnections.BODY_PREFIX);
  }

  void start(int count, Random random) {
    for (int number = 0; number < count; number++) {
      Random callerRandom = new Random(random.nextLong());
      Thread thread = new Thread(() -> sendLoop(callerRandom), "caller-" + number);
      thread.setDaemon(true);
      threads.add(thread);
      thread.start();
    }
  }

  private void sendLoop(Random random) {
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    int daemon = random.nextInt(daemons.size());
    RequestKind[] kinds = RequestKind.values();
    while (!closed) {
      Reply reply = sendRequest(client, daemon, kinds[random.nextInt(kinds.length)], body());
      if (!reply.answer().isSuccess()) {
        daemon = random.nextInt(daemons.size());
        pause((long) (1_000 * reply.waitSeconds()));
      }
      pause(random.nextInt(MAX_PAUSE_MILLIS));
    }
  }

  /** Sends requests of a kind to random daemons, one after the other, for some time. */
  void sendFor(long millis, RequestKind kind, Random random) {
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    while (!closed && System.nanoTime() - until < 0) {
      sendRequest(client, random.nextInt(daemons.size()), kind, body());
      pause(random.nextInt(MAX_PAUSE_MILLIS));
    }
  }

  /** Returns a new body for each request, unless all callers send the same body. */
  private String body() {
    return sameBodies ? SHARED_BODY : UNIQUE_BODY_PREFIX + numbers.incrementAndGet();
  }

  /** Sends a request with a unique body. */
  Answer probe(int daemon, RequestKind kind) {
    return sendOnce(daemon, kind, "probe" + numbers.incrementAndGet()).answer();
  }

  /**
   * A response and its Retry-After pause.
   *
   * @param waitSeconds the pause before the next request, with jitter and an upper bound
   */
  record Reply(Answer answer, double waitSeconds) {}

  /** Sends one request over a new connection. */
  Reply sendOnce(int daemon, RequestKind kind, String body) {
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    return sendRequest(client, daemon, kind, body);
  }

  private Reply sendRequest(HttpClient client, int daemon, RequestKind kind, String body) {
    String attempt = body + "-" + numbers.incrementAndGet();
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + daemons.get(daemon).frontend() + kind.path()))
            .timeout(REQUEST_TIMEOUT)
            .POST(publisher(attempt, body));
    headers(attempt, kind, body).forEach(request::header);
    recorder.sent(attempt, daemon, kind);
    try {
      Reply reply = exchange(client, request.build());
      recorder.answered(attempt, reply.answer());
      return reply;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Reply(Answer.none(), 0);
    }
  }

  /** Sends a third of the bodies in chunks, and half of these slowly. */
  private static HttpRequest.BodyPublisher publisher(String attempt, String body) {
    int number = Integer.parseInt(attempt.substring(attempt.indexOf('-') + 1));
    if (number % ONE_IN_CHUNKED != 0) {
      return HttpRequest.BodyPublishers.ofString(body);
    }
    boolean slow = number % (2 * ONE_IN_CHUNKED) == 0;
    return SlowBody.publisher(body, slow ? SLOW_BODY_MILLIS : 0);
  }

  /** Sends a request and awaits its response, which is none unless it comes whole. */
  static Reply exchange(HttpClient client, HttpRequest request) throws InterruptedException {
    try {
      HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
      Answer answer =
          new Answer(
              response.statusCode(),
              response.headers().firstValue(UsersConfiguration.ATTEMPT_HEADER).orElse(""),
              response.headers().firstValue(UsersConfiguration.SIGNATURE_HEADER).orElse(""),
              response.body());
      return new Reply(answer, waitSeconds(response));
    } catch (IOException e) {
      return new Reply(Answer.none(), 0);
    }
  }

  /** Requests to the plain service carry no model name. */
  private static Map<String, String> headers(String attempt, RequestKind kind, String body) {
    return kind == RequestKind.STREAM
        ? UsersConfiguration.headersOfACaller(attempt, PromptParts.headerOf(body))
        : UsersConfiguration.headersOfAPlainCaller(attempt);
  }

  private static double waitSeconds(HttpResponse<String> response) {
    String retryAfter = response.headers().firstValue("Retry-After").orElse("0");
    double jitter = 1 + ThreadLocalRandom.current().nextDouble() / 10;
    return Math.min(MAX_WAIT_SECONDS, Double.parseDouble(retryAfter) * jitter);
  }

  static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    closed = true;
    for (Thread thread : threads) {
      try {
        thread.join(REQUEST_TIMEOUT.toMillis());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
