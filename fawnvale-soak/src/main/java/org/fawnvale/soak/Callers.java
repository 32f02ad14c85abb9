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
import java.util.concurrent.atomic.AtomicInteger;
import org.fawnvale.standins.UsersConfiguration;
import org.fawnvale.standins.fleet.EdgeDaemon;

/**
 * Callers that reuse their connections. Each caller sends its requests to one daemon and switches
 * to a random daemon after a request without a successful response.
 */
final class Callers implements AutoCloseable {

  /** Prefix of the bodies of requests that crash each worker that runs them. */
  static final String DEADLY_BODY = "deadly";

  /** The body of all requests when all callers send the same one. */
  private static final String POPULAR_BODY = "popular";

  private static final String OWN_BODY = "prompt";
  private static final Duration PATIENCE = Duration.ofSeconds(8);
  private static final int MOST_PAUSE_MILLIS = 60;
  private static final double LONGEST_WAIT_SECONDS = 2;

  private final List<EdgeDaemon> daemons;
  private final Recorder recorder;
  private final boolean sameBodies;
  private final List<Thread> threads = new ArrayList<>();
  private final AtomicInteger numbers = new AtomicInteger();
  private volatile boolean over;

  Callers(List<EdgeDaemon> daemons, Recorder recorder, boolean sameBodies) {
    this.daemons = daemons;
    this.recorder = recorder;
    this.sameBodies = sameBodies;
  }

  /** Returns the body of an attempt, which is the prefix of its id up to the first hyphen. */
  static String bodyOf(String attempt) {
    return attempt.substring(0, attempt.indexOf('-'));
  }

  void start(int count, Random draws) {
    for (int number = 0; number < count; number++) {
      Random own = new Random(draws.nextLong());
      Thread thread = new Thread(() -> call(own), "caller-" + number);
      thread.setDaemon(true);
      threads.add(thread);
      thread.start();
    }
  }

  private void call(Random draws) {
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    int daemon = draws.nextInt(daemons.size());
    Kind[] kinds = Kind.values();
    while (!over) {
      Reply reply = ask(client, daemon, kinds[draws.nextInt(kinds.length)], body());
      if (!reply.answer().isSuccess()) {
        daemon = draws.nextInt(daemons.size());
        pause((long) (1_000 * reply.waitSeconds()));
      }
      pause(draws.nextInt(MOST_PAUSE_MILLIS));
    }
  }

  /** Returns a new body for each request, unless all callers send the same body. */
  private String body() {
    return sameBodies ? POPULAR_BODY : OWN_BODY + numbers.incrementAndGet();
  }

  /** Sends a request with a unique body. */
  Answer probe(int daemon, Kind kind) {
    return askOnce(daemon, kind, "probe" + numbers.incrementAndGet()).answer();
  }

  /**
   * A response and its Retry-After pause.
   *
   * @param waitSeconds the pause before the next request, with jitter and an upper bound
   */
  record Reply(Answer answer, double waitSeconds) {}

  /** Sends one request over a new connection. */
  Reply askOnce(int daemon, Kind kind, String body) {
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    return ask(client, daemon, kind, body);
  }

  private Reply ask(HttpClient client, int daemon, Kind kind, String body) {
    String attempt = body + "-" + numbers.incrementAndGet();
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + daemons.get(daemon).frontend() + kind.path()))
            .timeout(PATIENCE)
            .POST(HttpRequest.BodyPublishers.ofString(body));
    headers(attempt, kind).forEach(request::header);
    recorder.sent(attempt, daemon, kind);
    try {
      HttpResponse<String> response =
          client.send(request.build(), HttpResponse.BodyHandlers.ofString());
      Answer answer =
          new Answer(
              response.statusCode(),
              response.headers().firstValue(UsersConfiguration.ATTEMPT_HEADER).orElse(""),
              response.headers().firstValue(UsersConfiguration.SIGNATURE_HEADER).orElse(""),
              response.body());
      recorder.answered(attempt, answer);
      return new Reply(answer, waitSeconds(response));
    } catch (IOException e) {
      recorder.answered(attempt, Answer.none());
      return new Reply(Answer.none(), 0);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Reply(Answer.none(), 0);
    }
  }

  /** Requests to the plain service carry no model name. */
  private static Map<String, String> headers(String attempt, Kind kind) {
    return kind == Kind.STREAM
        ? UsersConfiguration.headersOfACaller(attempt)
        : UsersConfiguration.headersOfAPlainCaller(attempt);
  }

  private static double waitSeconds(HttpResponse<String> response) {
    String told = response.headers().firstValue("Retry-After").orElse("0");
    double spread = 1 + ThreadLocalRandom.current().nextDouble() / 10;
    return Math.min(LONGEST_WAIT_SECONDS, Double.parseDouble(told) * spread);
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
    over = true;
    for (Thread thread : threads) {
      try {
        thread.join(PATIENCE.toMillis());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
