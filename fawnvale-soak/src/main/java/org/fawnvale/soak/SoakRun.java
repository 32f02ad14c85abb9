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

  /** The check that each daemon serves requests at the start and after the last fault. */
  static final String RECOVERY = "recovery";

  private static final int CALLERS = 16;
  private static final int GROUP_WORKERS = 8;
  private static final int PLAIN_WORKERS = 4;
  private static final long RECOVERY_SECONDS = 60;
  private static final int PROBE_INTERVAL_MILLIS = 100;

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
   * @param deaths how soon the loss of group members was found
   * @param dissolved the number of dissolved groups by reason
   * @param history the recorded events
   */
  record Result(
      long seed,
      Map<String, Integer> troubles,
      Map<Integer, Integer> answers,
      Map<String, Verdict> verdicts,
      DeathReport deaths,
      Map<String, Integer> dissolved,
      RunHistory history) {

    boolean isClean() {
      return verdicts.values().stream().allMatch(verdict -> verdict.breaches().isEmpty());
    }
  }

  SoakRun(SoakOptions options, long seed, Path folder) {
    this.options = options;
    this.seed = seed;
    this.folder = folder;
  }

  Result run() throws IOException, InterruptedException {
    Random random = new Random(seed);
    Map<String, Integer> injected = new TreeMap<>();
    Verdict.Builder recovery = new Verdict.Builder();
    Thread shutdownHook = new Thread(this::closeDaemons, "ender");
    Runtime.getRuntime().addShutdownHook(shutdownHook);
    try (UsersPlatformStandIn platform = UsersPlatformStandIn.start()) {
      startFleet(platform);
      try (Callers callers = new Callers(daemons, recorder, options.sameBodies())) {
        AtomicLong versions = new AtomicLong(1);
        FaultContext context =
            new FaultContext(
                platform,
                daemons,
                callers,
                recorder,
                timer,
                versions,
                new AtomicInteger(),
                new AtomicLong(System.nanoTime()),
                new AtomicLong(System.nanoTime()),
                new AtomicLong(System.nanoTime()));
        awaitRecovery(callers, recovery, "at the start");
        callers.start(CALLERS, new Random(random.nextLong()));
        try (RouteProber prober = new RouteProber(daemons, recorder, versions, new Random(seed))) {
          prober.start();
          injectFaults(context, random, injected);
          TimeUnit.MILLISECONDS.sleep(Faults.MAX_DURATION_MILLIS);
        }
        awaitRecovery(callers, recovery, "after the last trouble");
      }
      ForwardedAttempts.read(folder).forEach(recorder::forwarded);
      Dissolutions.read(folder).forEach(recorder::dissolved);
      return judge(injected, platform.violations(), recovery.build());
    } finally {
      timer.shutdownNow();
      closeDaemons();
      Runtime.getRuntime().removeShutdownHook(shutdownHook);
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

  private void closeDaemons() {
    daemons.forEach(EdgeDaemon::close);
  }

  /** Injects random faults, which overlap because most last longer than the pause between them. */
  private void injectFaults(FaultContext context, Random random, Map<String, Integer> injected)
      throws InterruptedException {
    Map<String, Fault> faults = Faults.all();
    List<String> names = options.only().isEmpty() ? Faults.drawn() : options.only();
    long until = recorder.now() + TimeUnit.SECONDS.toNanos(options.seconds());
    while (recorder.now() < until) {
      boolean preferOften = !options.often().isEmpty() && random.nextBoolean();
      String name = FaultContext.randomElement(preferOften ? options.often() : names, random);
      String parameters = faults.get(name).inject(context, random);
      recorder.faultInjected(name + ": " + parameters);
      injected.merge(name, 1, Integer::sum);
      TimeUnit.MILLISECONDS.sleep(200 + random.nextInt(1_800));
    }
  }

  /** Waits until each daemon serves a request of each kind. */
  private void awaitRecovery(Callers callers, Verdict.Builder verdict, String when)
      throws InterruptedException {
    long until = recorder.now() + TimeUnit.SECONDS.toNanos(RECOVERY_SECONDS);
    for (EdgeDaemon daemon : daemons) {
      for (RequestKind kind : RequestKind.values()) {
        verdict.countCase();
        boolean served = false;
        while (!served && recorder.now() < until) {
          served = callers.probe(daemon.number(), kind).isSuccess();
          if (!served) {
            TimeUnit.MILLISECONDS.sleep(PROBE_INTERVAL_MILLIS);
          }
        }
        if (!served) {
          verdict.addBreach("daemon " + daemon.number() + " doesn't serve " + kind + " " + when);
        }
      }
    }
  }

  private Result judge(Map<String, Integer> injected, List<String> violations, Verdict recovery) {
    RunHistory history = recorder.history();
    Map<String, Verdict> verdicts = new LinkedHashMap<>();
    Checks.all(options.slackMillis(), LEAVING_MILLIS)
        .forEach((name, check) -> verdicts.put(name, check.judge(history)));
    int began = history.all(Event.Began.class).size();
    verdicts.put(GROUPS_WHOLE, new Verdict(began, violations));
    verdicts.put(RECOVERY, recovery);
    Map<Integer, Integer> answers = new TreeMap<>();
    history
        .all(Event.Answered.class)
        .forEach(event -> answers.merge(event.answer().status(), 1, Integer::sum));
    Map<String, Integer> dissolved = new TreeMap<>();
    history
        .all(Event.Dissolved.class)
        .forEach(event -> dissolved.merge(event.reason(), 1, Integer::sum));
    return new Result(
        seed, injected, answers, verdicts, DeathReport.of(history), dissolved, history);
  }
}
