package org.fawnvale.dist;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import org.fawnvale.standins.UsersConfiguration;
import org.fawnvale.standins.UsersPlatformStandIn;
import org.fawnvale.standins.WorkerObserver;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * A request rate limit named by a node binds all daemons together.
 *
 * <p>Guards against daemons that ignore a node's limit, or that each use the whole limit.
 */
class SharedLimitTest {

  /** Callers of each daemon; all callers together use half of one plain node's capacity. */
  private static final int LOW_LOAD_CALLERS = 1;

  private static final int HIGH_LOAD_CALLERS = 4;

  /** Concurrent requests: twice a plain node's capacity. */
  private static final int CONCURRENT_REQUESTS = 12;

  private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(4);
  private static final long OBSERVATION_NANOS = TimeUnit.SECONDS.toNanos(7);

  /** Maximum time until all daemons observe a limit, as the users specify it. */
  private static final long PROPAGATION_NANOS = TimeUnit.SECONDS.toNanos(3);

  private static final double ALLOWED_SHARE = 1.5;
  private static final int ALLOWED_BESIDE = 5;

  private final Arrivals arrivals = new Arrivals();
  private EdgeFleet fleet;
  private UsersPlatformStandIn platform;

  /** Records when requests reach workers. */
  private static final class Arrivals implements WorkerObserver {
    private final Map<String, Queue<Long>> times = new ConcurrentHashMap<>();

    @Override
    public void arrived(String attempt, String worker) {
      times.computeIfAbsent(worker, id -> new ConcurrentLinkedQueue<>()).add(System.nanoTime());
    }

    List<Long> at(String worker) {
      return new ArrayList<>(times.getOrDefault(worker, new ArrayDeque<>()));
    }

    /** Returns the maximum number of arrivals in any window that starts after the given time. */
    int most(String worker, long sinceNanos) {
      List<Long> later = at(worker).stream().filter(at -> at - sinceNanos >= 0).sorted().toList();
      int most = 0;
      for (long first : later) {
        int within = 0;
        for (long at : later) {
          within += at - first >= 0 && at - first < WINDOW_NANOS ? 1 : 0;
        }
        most = Math.max(most, within);
      }
      return most;
    }
  }

  @BeforeEach
  void start() throws IOException {
    fleet = EdgeFleet.start();
    platform = fleet.platform();
    platform.observe(arrivals);
    platform.addPlainWorker("p-a", "a");
    platform.addPlainWorker("p-b", "b");
  }

  @AfterEach
  void stop() {
    fleet.close();
  }

  private static int allowed(double limit) {
    double seconds = TimeUnit.NANOSECONDS.toSeconds(WINDOW_NANOS);
    return (int) (ALLOWED_SHARE * limit * seconds) + ALLOWED_BESIDE;
  }

  /**
   * Waits until each daemon sends requests to both plain nodes. A daemon may discover one node
   * before the other, and prefers the nearer one unless many requests are concurrent.
   */
  private void awaitBothPlainNodes() throws InterruptedException {
    ExecutorService callers = Executors.newFixedThreadPool(CONCURRENT_REQUESTS);
    try {
      for (int daemon = 0; daemon < fleet.size(); daemon++) {
        int asked = daemon;
        int[] round = {0};
        EdgeFleet.await(() -> beganWithin("wait" + asked + "-" + round[0]++, asked, callers) == 2);
      }
    } finally {
      callers.shutdownNow();
    }
  }

  /** Returns the number of nodes that start the concurrent requests sent to a daemon. */
  private int beganWithin(String round, int daemon, ExecutorService callers) {
    List<CompletableFuture<Void>> answers = new ArrayList<>();
    Set<String> began = ConcurrentHashMap.newKeySet();
    for (int number = 0; number < CONCURRENT_REQUESTS; number++) {
      String id = round + "-" + number;
      answers.add(
          CompletableFuture.runAsync(
              () -> {
                fleet.statusOf(daemon, UsersConfiguration.SAFE_PATH, id);
                began.addAll(platform.beganAt(id));
              },
              callers));
    }
    answers.forEach(CompletableFuture::join);
    return began.size();
  }

  /** Sends sequential requests to each daemon while recording arrivals at the workers. */
  private Map<Integer, AtomicInteger> askAll(
      String path, int callersADaemon, Predicate<Integer> each) throws InterruptedException {
    Map<Integer, AtomicInteger> byStatus = new ConcurrentHashMap<>();
    long until = System.nanoTime() + PROPAGATION_NANOS + OBSERVATION_NANOS;
    List<Thread> callers = new ArrayList<>();
    for (int number = 0; number < callersADaemon * fleet.size(); number++) {
      int caller = number;
      Thread thread =
          new Thread(
              () -> {
                for (int turn = 0; until - System.nanoTime() > 0; turn++) {
                  String id = "ask" + caller + "-" + turn;
                  int status = fleet.statusOf(caller % fleet.size(), path, id);
                  byStatus.computeIfAbsent(status, any -> new AtomicInteger()).incrementAndGet();
                  if (!each.test(status)) {
                    return;
                  }
                }
              });
      thread.start();
      callers.add(thread);
    }
    for (Thread thread : callers) {
      thread.join();
    }
    return byStatus;
  }

  private void assertWithin(String worker, double limit, long namedNanos) {
    assertThat(arrivals.most(worker, namedNanos + PROPAGATION_NANOS))
        .as("requests at %s in 4 s", worker)
        .isLessThanOrEqualTo(allowed(limit));
  }

  @Test
  void aPlainNodeGetsWhatItsLimitAllowsFromAllDaemonsTogetherAndCallersLoseNothing()
      throws Exception {
    awaitBothPlainNodes();
    platform.nameLimit("p-a", "1.6");
    long named = System.nanoTime();
    Map<Integer, AtomicInteger> byStatus =
        askAll(UsersConfiguration.SAFE_PATH, LOW_LOAD_CALLERS, status -> status == 200);
    assertWithin("p-a", 1.6, named);
    assertThat(byStatus.keySet()).containsExactly(200);
  }

  @Test
  void groupHeadsGetNoMoreThanTheirLimitsAllow() throws Exception {
    fleet.awaitServing();
    List<String> heads = platform.openGroups().stream().map(members -> members.get(0)).toList();
    platform.nameLimit(heads.get(0), "1");
    platform.nameLimit(heads.get(1), "1");
    long named = System.nanoTime();
    Map<Integer, AtomicInteger> byStatus = askAll("/chat/x", HIGH_LOAD_CALLERS, status -> true);
    assertWithin(heads.get(0), 1, named);
    assertWithin(heads.get(1), 1, named);
    assertThat(byStatus.get(200).get()).isPositive();
  }

  @Test
  void ifAllNodesNameLimitsTheirSumIsServedAndTheRestIsRejectedAtOnce() throws Exception {
    awaitBothPlainNodes();
    platform.nameLimit("p-a", "1");
    platform.nameLimit("p-b", "2");
    long named = System.nanoTime();
    Map<Integer, AtomicInteger> byStatus =
        askAll(UsersConfiguration.SAFE_PATH, HIGH_LOAD_CALLERS, SharedLimitTest::pauseAfter);
    assertWithin("p-a", 1, named);
    assertWithin("p-b", 2, named);
    assertThat(byStatus.keySet()).containsExactlyInAnyOrder(200, 503);
  }

  /** Pauses after a rejection, so that callers retry with a delay; false if interrupted. */
  private static boolean pauseAfter(int status) {
    try {
      Thread.sleep(status == 200 ? 0 : 50);
      return true;
    } catch (InterruptedException e) {
      return false;
    }
  }

  @Test
  void aLimitEndsWhenResponsesNoLongerNameIt() throws Exception {
    awaitBothPlainNodes();
    platform.nameLimit("p-a", "1");
    platform.nameLimit("p-b", "1");
    long named = System.nanoTime();
    askAll(UsersConfiguration.SAFE_PATH, HIGH_LOAD_CALLERS, SharedLimitTest::pauseAfter);
    assertWithin("p-a", 1, named);
    platform.nameLimit("p-a", null);
    platform.nameLimit("p-b", null);
    for (int daemon = 0; daemon < fleet.size(); daemon++) {
      awaitManyInARow(daemon);
    }
  }

  /** Waits for more consecutive successes than both limits would allow during a test. */
  private void awaitManyInARow(int daemon) throws InterruptedException {
    int[] inARow = {0};
    int[] number = {0};
    EdgeFleet.await(
        () -> {
          String id = "after" + daemon + "-" + number[0]++;
          int status = fleet.statusOf(daemon, UsersConfiguration.SAFE_PATH, id);
          inARow[0] = status == 200 ? inARow[0] + 1 : 0;
          return inARow[0] >= 200;
        });
  }
}
