package org.fawnvale.dist;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Guards against lost requests during planned daemon stops, member drains and rollouts. */
class PlannedStopTest {

  private static final int CLIENTS = 6;
  private static Fleet fleet;

  @BeforeAll
  static void start() throws IOException {
    fleet = Fleet.start();
  }

  @AfterAll
  static void stop() {
    fleet.close();
  }

  /** Clients that stream continuously, each through a daemon that reports itself ready. */
  private static final class Load implements AutoCloseable {
    private final AtomicBoolean stopped = new AtomicBoolean();
    private final AtomicInteger whole = new AtomicInteger();
    private final Queue<String> lost = new ConcurrentLinkedQueue<>();
    private final List<Thread> clients = new ArrayList<>();

    Load() {
      for (int i = 0; i < CLIENTS; i++) {
        int number = i;
        Thread client = new Thread(() -> run(number));
        client.start();
        clients.add(client);
      }
    }

    private void run(int number) {
      List<String> daemons = fleet.local().daemons();
      for (int i = 0; !stopped.get(); i++) {
        String daemon = daemons.get((number + i) % daemons.size());
        if (isReady(daemon)) {
          stream(daemon, "client " + number + " request " + i);
        }
      }
    }

    private static boolean isReady(String daemon) {
      try {
        HttpRequest.Builder health =
            HttpRequest.newBuilder(fleet.local().url(daemon, "/health")).GET();
        return fleet.local().send(health).statusCode() == 200;
      } catch (IOException e) {
        return false;
      }
    }

    private void stream(String daemon, String text) {
      try {
        HttpResponse<String> answer = fleet.chat(daemon, text, 30, true);
        if (answer.statusCode() == 200 && answer.body().endsWith("data: [DONE]\n\n")) {
          whole.incrementAndGet();
        } else {
          lost.add(daemon + ": " + answer.statusCode() + " " + answer.body());
        }
      } catch (IOException e) {
        lost.add(daemon + ": " + e);
      }
    }

    void awaitSome() throws IOException {
      int target = whole.get() + 2 * CLIENTS;
      fleet.await("answers come in", () -> whole.get() >= target);
    }

    @Override
    public void close() {
      stopped.set(true);
      for (Thread client : clients) {
        try {
          client.join();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
  }

  @Test
  void restartingEachDaemonInTurnLosesNoRequest() throws IOException {
    Load load = new Load();
    try (load) {
      for (String daemon : fleet.local().daemons()) {
        load.awaitSome();
        fleet.local().child(daemon).terminate();
        assertThat(fleet.local().child(daemon).await()).as("exit of " + daemon).isZero();
        fleet.local().startDaemon(daemon);
        fleet.await(daemon + " serves again", () -> fleet.serves(currentRevision()));
      }
      load.awaitSome();
    }
    assertThat(load.lost).isEmpty();
  }

  private static long currentRevision() throws IOException {
    String daemon = fleet.daemon(Fleet.SOUTH, 1);
    return fleet.local().status(daemon).path("rollout").path("accepted").asLong();
  }

  @Test
  void aReplicaWithAMemberThatLeaves() throws IOException {
    String daemon = fleet.daemon(Fleet.NORTH, 1);
    JsonNode replica = fleet.local().status(daemon).path("replicas").get(0);
    String leaving = replica.path("members").get(1).asText();
    Load load = new Load();
    try (load) {
      load.awaitSome();
      fleet.local().control("platform", "{\"fault\": \"leaving\", \"node\": \"" + leaving + "\"}");
      fleet.await("replaced " + leaving, () -> servesWithout(leaving));
      load.awaitSome();
    }
    assertThat(load.lost).isEmpty();
  }

  private static boolean servesWithout(String node) throws IOException {
    JsonNode status = fleet.local().status(fleet.daemon(Fleet.NORTH, 2));
    return Fleet.servingReplicas(status) == 2
        && !status.path("replicas").toString().contains("\"" + node + "\"");
  }

  @Test
  void aRolloutLosesNoRequest() throws IOException {
    long next = currentRevision() + 1;
    Load load = new Load();
    try (load) {
      load.awaitSome();
      fleet.rollOut(Fleet.bundle("2"), next);
      fleet.await("all of version 2", PlannedStopTest::allOfVersionTwo);
      load.awaitSome();
    }
    assertThat(load.lost).isEmpty();
  }

  private static boolean allOfVersionTwo() throws IOException {
    for (String daemon : fleet.local().daemons()) {
      JsonNode status = fleet.local().status(daemon);
      for (JsonNode replica : status.path("replicas")) {
        if (!"2".equals(replica.path("version").asText())) {
          return false;
        }
      }
      if (Fleet.servingReplicas(status) != 2) {
        return false;
      }
    }
    return true;
  }
}
