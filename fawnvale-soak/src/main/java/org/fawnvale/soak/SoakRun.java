package org.fawnvale.soak;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.fawnvale.standins.UsersPlatformStandIn;
import org.fawnvale.standins.fleet.EdgeDaemon;

/** One run: starts a fleet, sends load, injects faults, awaits recovery and runs the checks. */
final class SoakRun {

  /** The check for violations that workers report about their groups. */
  static final String GROUPS_WHOLE = "groups-whole";

  /** The check that each daemon serves requests again after the last fault. */
  static final String RECOVERY = "recovery";

  private static final int CALLERS = 16;
  private static final int GROUP_WORKERS = 8;
  private static final int PLAIN_WORKERS = 4;
  private static final long RECOVERY_SECONDS = 60;
  private static final int LOOK_MILLIS = 100;

  /** How long requests may reach a worker after it reports that it is leaving. */
  private static final long LEAVING_MILLIS = 4_000;

  private final SoakOptions options;
  private final long seed;
  private final Path folder;
  private final Recorder recorder = new Recorder();
  private final List<EdgeDaemon> daemons = new ArrayList<>();
  private final ScheduledExecutorService timer =
      Executors.newScheduledThreadPool(
          4,
          task -> {
            Thread thread = new Thread(task, "trouble");
            thread.setDaemon(true);
            return thread;
          });

  /**
   * The result of a run.
   *
   * @param seed the seed of the run
   * @param troubles the number of injected faults by name
   * @param answers the number of responses by status
   * @param verdicts the result of each check by name
   * @param story the recorded events
   */
  record Result(
      long seed,
      Map<String, Integer> troubles,
      Map<Integer, Integer> answers,
      Map<String, Verdict> verdicts,
      Story story) {

    boolean isClean() {
      return verdicts.values().stream().allMatch(verdict -> verdict.breaches().isEmpty());
    }
  }

  SoakRun(SoakOptions options, long seed, Path folder) {
    this.options = options;
    this.seed = seed;
    this.folder = folder;
  }

  Result play() throws IOException, InterruptedException {
    Random draws = new Random(seed);
    Map<String, Integer> struck = new TreeMap<>();
    Verdict.Builder recovery = new Verdict.Builder();
    Thread ender = new Thread(this::endAll, "ender");
    Runtime.getRuntime().addShutdownHook(ender);
    try (UsersPlatformStandIn platform = UsersPlatformStandIn.start()) {
      startFleet(platform);
      try (Callers callers = new Callers(daemons, recorder, options.sameBodies())) {
        AtomicLong versions = new AtomicLong(1);
        World world =
            new World(platform, daemons, callers, recorder, timer, versions, new AtomicInteger());
        awaitService(callers, recovery, "at the start");
        callers.start(CALLERS, new Random(draws.nextLong()));
        try (Prober prober = new Prober(daemons, recorder, versions, new Random(seed))) {
          prober.start();
          strike(world, draws, struck);
          TimeUnit.MILLISECONDS.sleep(Troubles.LONGEST_MILLIS);
        }
        awaitService(callers, recovery, "after the last trouble");
      }
      return judge(struck, platform.violations(), recovery.build());
    } finally {
      timer.shutdownNow();
      endAll();
      Runtime.getRuntime().removeShutdownHook(ender);
    }
  }

  private void startFleet(UsersPlatformStandIn platform) throws IOException {
    platform.observe(recorder);
    for (int number = 0; number < GROUP_WORKERS; number++) {
      String zone = number % 2 == 0 ? "a" : "b";
      platform.addWorker("g" + zone + number, zone);
    }
    for (int number = 0; number < PLAIN_WORKERS; number++) {
      String zone = number % 2 == 0 ? "a" : "b";
      platform.addPlainWorker("p" + zone + number, zone);
    }
    for (int number = 0; number < options.daemons(); number++) {
      String dataCentre = number % 2 == 0 ? "a" : "b";
      EdgeDaemon.Place place =
          new EdgeDaemon.Place(options.network(), number, dataCentre, platform.storePort());
      daemons.add(EdgeDaemon.start(place, options.target(), folder, List.of()));
    }
  }

  private void endAll() {
    daemons.forEach(EdgeDaemon::close);
  }

  /** Injects random faults, which overlap because most last longer than the pause between them. */
  private void strike(World world, Random draws, Map<String, Integer> struck)
      throws InterruptedException {
    Map<String, Trouble> troubles = Troubles.all();
    List<String> names = List.copyOf(troubles.keySet());
    long until = recorder.now() + TimeUnit.SECONDS.toNanos(options.seconds());
    while (recorder.now() < until) {
      boolean ofOften = !options.often().isEmpty() && draws.nextBoolean();
      String name = World.any(ofOften ? options.often() : names, draws);
      String drawn = troubles.get(name).strike(world, draws);
      recorder.struck(name + ": " + drawn);
      struck.merge(name, 1, Integer::sum);
      TimeUnit.MILLISECONDS.sleep(200 + draws.nextInt(1_800));
    }
  }

  /** Waits until each daemon serves a request of each kind. */
  private void awaitService(Callers callers, Verdict.Builder verdict, String when)
      throws InterruptedException {
    long until = recorder.now() + TimeUnit.SECONDS.toNanos(RECOVERY_SECONDS);
    for (EdgeDaemon daemon : daemons) {
      for (Kind kind : Kind.values()) {
        verdict.tempted();
        boolean served = false;
        while (!served && recorder.now() < until) {
          served = callers.probe(daemon.number(), kind).isSuccess();
          if (!served) {
            TimeUnit.MILLISECONDS.sleep(LOOK_MILLIS);
          }
        }
        if (!served) {
          verdict.breach("daemon " + daemon.number() + " doesn't serve " + kind + " " + when);
        }
      }
    }
  }

  private Result judge(Map<String, Integer> struck, List<String> seenByWorkers, Verdict recovery) {
    Story story = recorder.story();
    Map<String, Verdict> verdicts = new LinkedHashMap<>();
    Checks.all(options.slackMillis(), LEAVING_MILLIS)
        .forEach((name, check) -> verdicts.put(name, check.judge(story)));
    int begun = story.all(Event.Began.class).size();
    verdicts.put(GROUPS_WHOLE, new Verdict(begun, seenByWorkers));
    verdicts.put(RECOVERY, recovery);
    Map<Integer, Integer> answers = new TreeMap<>();
    story
        .all(Event.Answered.class)
        .forEach(event -> answers.merge(event.answer().status(), 1, Integer::sum));
    return new Result(seed, struck, answers, verdicts, story);
  }
}
