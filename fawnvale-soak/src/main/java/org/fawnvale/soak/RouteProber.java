package org.fawnvale.soak;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicLong;
import org.fawnvale.standins.UsersConfiguration;
import org.fawnvale.standins.fleet.EdgeDaemon;

/** Requests the newest route from random daemons and records whether they serve it yet. */
final class RouteProber implements AutoCloseable {

  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(3);
  private static final int PAUSE_MILLIS = 40;

  private final List<EdgeDaemon> daemons;
  private final Recorder recorder;
  private final AtomicLong newest;
  private final Thread thread;
  private volatile boolean closed;

  /**
   * Creates a prober that is not started yet.
   *
   * @param newest the newest configuration version whose write to the store has started
   * @param random selects the daemon for each probe
   */
  RouteProber(List<EdgeDaemon> daemons, Recorder recorder, AtomicLong newest, Random random) {
    this.daemons = daemons;
    this.recorder = recorder;
    this.newest = newest;
    this.thread = new Thread(() -> probeLoop(random), "prober");
    thread.setDaemon(true);
  }

  void start() {
    thread.start();
  }

  private void probeLoop(Random random) {
    HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    int number = 0;
    while (!closed) {
      int daemon = random.nextInt(daemons.size());
      long version = newest.get();
      if (version > 1) {
        number++;
        probe(client, daemon, version, "route" + number);
      }
      Callers.pause(PAUSE_MILLIS);
    }
  }

  private void probe(HttpClient client, int daemon, long version, String attempt) {
    String address = "http://" + daemons.get(daemon).frontend();
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(address + UsersConfiguration.pathSince(version) + "x"))
            .timeout(REQUEST_TIMEOUT)
            .POST(HttpRequest.BodyPublishers.ofString(attempt));
    UsersConfiguration.headersOfAPlainCaller(attempt).forEach(request::header);
    long sent = recorder.now();
    recorder.probed(sent, daemon, version, statusOf(client, request.build()));
  }

  private static int statusOf(HttpClient client, HttpRequest request) {
    try {
      return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    } catch (IOException e) {
      return 0;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return 0;
    }
  }

  @Override
  public void close() {
    closed = true;
    try {
      thread.join(REQUEST_TIMEOUT.toMillis());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
