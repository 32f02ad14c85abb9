package org.fawnvale.soak;

import com.fasterxml.jackson.databind.util.RawValue;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.fawnvale.standins.UsersPlatformStandIn;
import org.fawnvale.standins.fleet.EdgeDaemon;

/** The faults that a run can inject, by name. */
final class Faults {

  /** The longest duration of a fault, in milliseconds. */
  static final long MAX_DURATION_MILLIS = 9_000;

  /** Levels or digits of entries that are too long. */
  private static final int LONG_ENTRY = 100_000;

  /** Longest part of an entry that a fault's description quotes. */
  private static final int QUOTED = 200;

  /**
   * Invalid worker entries: empty, of another type, a malformed address, an unknown state, too
   * large a number, too deep, not UTF-8.
   */
  private static final List<Object> INVALID_ENTRIES =
      List.of(
          Map.of(),
          List.of("worker"),
          "worker",
          Map.of("service", 7, "address", "127.0.0.1:1", "zone", "a", "state", "ready"),
          Map.of("service", "drafter", "address", "nowhere", "zone", "a", "state", "ready"),
          Map.of("service", "drafter", "address", "127.0.0.1:1", "zone", "a", "state", "asleep"),
          entryAt("127.0.0.1:0", "4"),
          entryAt("127.0.0.1:70000", "4"),
          entryAt("127.0.0.1:-1", "4"),
          entryAt("127.0.0.1:99999999999999", "4"),
          entryAt("999.1.1.1:80", "4"),
          entryAt("...:80", "4"),
          entryAt("127.0.0.1:1", "1e999999999"),
          entryAt("127.0.0.1:1", "9".repeat(LONG_ENTRY)),
          entryAt("127.0.0.1:" + UsersPlatformStandIn.INVALID_UTF8, "4"),
          new RawValue("[".repeat(LONG_ENTRY) + "]".repeat(LONG_ENTRY)));

  private static final List<List<String>> COLD_ZONES =
      List.of(List.of("a"), List.of("b"), List.of("a", "b"));

  private static final Set<String> ON_REQUEST =
      Set.of(
          "retries",
          "answers-endless",
          "answers-twice",
          "answers-cut",
          "streams-held",
          "restarts-in-series",
          "misbehaving-callers",
          "answers-spoilt",
          "entries-spoilt");

  private static final int CRASHING_REQUESTS = 40;
  private static final int MAX_CRASHING_PAUSE_MILLIS = 250;
  private static final int REMOVAL_DELAY_MILLIS = 5_000;

  private Faults() {}

  static Map<String, Fault> all() {
    Map<String, Fault> faults = new LinkedHashMap<>();
    faults.put("rest-of-one", Faults::rejectAtOneWorker);
    faults.put("rest-of-all", Faults::rejectAtAllWorkers);
    faults.put("turned-away", Faults::rejectWithoutPause);
    faults.put("leaves-listed", (context, random) -> leave(context, random, true));
    faults.put("leaves-in-answers", (context, random) -> leave(context, random, false));
    faults.put("limit-of-one", LimitFaults::oneWorker);
    faults.put("limits-of-all", LimitFaults::allWorkers);
    faults.put("limit-that-changes", LimitFaults::changing);
    faults.put("limit-garbled", LimitFaults::malformed);
    faults.put("cold-data-centre", Faults::returnCold);
    faults.put("worker-crash", Faults::crash);
    faults.put("deadly-request", Faults::sendCrashingRequest);
    faults.put("answers-lost", Faults::loseAnswers);
    faults.put("foreign-entry", Faults::writeInvalidEntry);
    faults.put("daemon-freeze", Faults::freeze);
    faults.put("daemon-kill", Faults::kill);
    faults.put("daemon-stop", Faults::stop);
    faults.put("store-down", Faults::storeDown);
    faults.put("store-silent", (context, random) -> silenceStore(context));
    faults.put("store-goes-back", Faults::restoreStoreFromBackup);
    faults.put("leaves-quietly", Faults::leaveInEntryOnly);
    faults.put("routes-added", Faults::addRoutes);
    faults.put("evacuation", Faults::evacuate);
    faults.put("silent-readers", SilentReaders::stopReading);
    faults.put("cut-from-workers", WorkerCutCheck::cut);
    faults.put("answers-unframed", Faults::endAnswersWithConnection);
    faults.put("crashing-parts", CrashingPartFault::send);
    faults.put("uneven-connections", UnevenConnections::send);
    faults.put("silence", SilenceFault::begin);
    faults.put("worker-dark", Faults::goDark);
    faults.put("retries", RetryFault::begin);
    faults.put("answers-endless", EndlessAnswersFault::begin);
    faults.put("answers-twice", RepeatedAnswersFault::begin);
    faults.put("answers-cut", CutAnswersFault::begin);
    faults.put("streams-held", HeldStreamsFault::begin);
    faults.put("restarts-in-series", RestartsFault::begin);
    faults.put("misbehaving-callers", MisbehavingCallersFault::send);
    faults.put("answers-spoilt", SpoiltAnswersFault::spoilAnswers);
    faults.put("entries-spoilt", SpoiltAnswersFault::spoilEntry);
    return faults;
  }

  /**
   * Returns the names of the faults that a run draws from unless told otherwise. Those in which
   * workers answer with errors are not among them, since other checks compare shares of answers.
   */
  static List<String> drawn() {
    return all().keySet().stream().filter(name -> !ON_REQUEST.contains(name)).toList();
  }

  static String randomWorker(FaultContext context, Random random) {
    List<String> kind =
        random.nextBoolean()
            ? context.platform().groupWorkers()
            : context.platform().plainWorkers();
    return FaultContext.randomElement(kind, random);
  }

  private static long randomPauseMillis(Random random) {
    return 1_500 + random.nextInt(4_500);
  }

  private static String rejectAtOneWorker(FaultContext context, Random random) {
    String id = randomWorker(context, random);
    long pause = randomPauseMillis(random);
    long duration = 500 + random.nextInt(5_000);
    context.platform().turnAway(id, duration, pause);
    return id + " for " + duration + " ms, rest " + pause + " ms";
  }

  private static String rejectAtAllWorkers(FaultContext context, Random random) {
    long pause = randomPauseMillis(random);
    long duration = 500 + random.nextInt(2_000);
    context
        .platform()
        .groupWorkers()
        .forEach(id -> context.platform().turnAway(id, duration, pause));
    context
        .platform()
        .plainWorkers()
        .forEach(id -> context.platform().turnAway(id, duration, pause));
    return "all for " + duration + " ms, rest " + pause + " ms";
  }

  private static String rejectWithoutPause(FaultContext context, Random random) {
    String id = randomWorker(context, random);
    long duration = 1_000 + random.nextInt(6_000);
    context.platform().turnAway(id, duration, 0);
    return id + " for " + duration + " ms";
  }

  /** Returns the data centre of a worker, which is the second letter of its id. */
  static String zoneOf(String worker) {
    return worker.contains("a") ? "a" : "b";
  }

  /** Adds a replacement for a worker that is leaving; that worker still serves for a while. */
  private static String leave(FaultContext context, Random random, boolean listed) {
    boolean plain = random.nextBoolean();
    List<String> ids =
        plain ? context.platform().plainWorkers() : context.platform().groupWorkers();
    String id = FaultContext.randomElement(ids, random);
    String replacement = id + "n";
    String zone = zoneOf(id);
    context.run(
        () -> {
          if (plain) {
            context.platform().addPlainWorker(replacement, zone);
          } else {
            context.platform().addWorker(replacement, zone);
          }
        });
    context.platform().leaveInAnswers(id);
    if (listed && !plain) {
      context.platform().drain(id);
    }
    context.schedule(REMOVAL_DELAY_MILLIS, () -> context.platform().remove(id));
    return id + " makes way for " + replacement;
  }

  /**
   * The workers of one data centre come back cold. Both data centres may do so, since warm workers
   * elsewhere are preferred and would hide a bound that isn't kept.
   */
  private static String returnCold(FaultContext context, Random random) {
    List<String> zones = FaultContext.randomElement(COLD_ZONES, random);
    zones.forEach(context.platform()::returnCold);
    return "data centres " + zones;
  }

  private static String crash(FaultContext context, Random random) {
    String id = FaultContext.randomElement(context.platform().groupWorkers(), random);
    context.platform().crash(id);
    return id;
  }

  /** The connections of a worker hang, and new ones are not answered at all. */
  private static String goDark(FaultContext context, Random random) {
    String id = FaultContext.randomElement(context.platform().groupWorkers(), random);
    context.run(() -> context.platform().goDark(id));
    return id;
  }

  private static String loseAnswers(FaultContext context, Random random) {
    long duration = 500 + random.nextInt(4_000);
    double share = 0.1 + random.nextDouble() / 2;
    for (String id : context.platform().groupWorkers()) {
      context.platform().loseAnswers(id, duration, share);
    }
    for (String id : context.platform().plainWorkers()) {
      context.platform().loseAnswers(id, duration, share);
    }
    return String.format(Locale.ROOT, "%.2f of all for %d ms", share, duration);
  }

  /** Workers send answers without a length or chunks, and break off streams inside an event. */
  private static String endAnswersWithConnection(FaultContext context, Random random) {
    long duration = 500 + random.nextInt(4_000);
    double share = 0.1 + random.nextDouble() / 2;
    for (String id : context.platform().groupWorkers()) {
      context.platform().endAnswersWithConnection(id, duration, share);
    }
    for (String id : context.platform().plainWorkers()) {
      context.platform().endAnswersWithConnection(id, duration, share);
    }
    return String.format(Locale.ROOT, "%.2f of all for %d ms", share, duration);
  }

  /** Overwrites the store entry of a worker with an invalid one and restores it later. */
  private static String writeInvalidEntry(FaultContext context, Random random) {
    String id = randomWorker(context, random);
    Object entry = FaultContext.randomElement(INVALID_ENTRIES, random);
    long duration = 300 + random.nextInt(1_500);
    context.recorder().impaired(id, duration);
    context.platform().spoilEntry(id, entry);
    context.schedule(duration, () -> context.platform().writeEntry(id));
    String text = String.valueOf(entry instanceof RawValue raw ? raw.rawValue() : entry);
    String quoted = text.substring(0, Math.min(text.length(), QUOTED));
    return id + " is " + quoted + " for " + duration + " ms";
  }

  /** Returns an entry of a model worker, as text. */
  private static RawValue entryAt(String address, String slots) {
    return new RawValue(
        "{\"service\":\"drafter\",\"address\":\""
            + address
            + "\",\"zone\":\"a\",\"state\":\"ready\",\"slots\":"
            + slots
            + "}");
  }

  /** Repeatedly sends a request that crashes workers, each time to a random daemon. */
  private static String sendCrashingRequest(FaultContext context, Random random) {
    String body = Callers.CRASHING_BODY_PREFIX + random.nextInt(1_000_000);
    context.platform().endWith(body);
    long seed = random.nextLong();
    Thread caller =
        new Thread(
            () -> {
              Random callerRandom = new Random(seed);
              for (int number = 0; number < CRASHING_REQUESTS; number++) {
                int daemon = callerRandom.nextInt(context.daemons().size());
                context.callers().sendOnce(daemon, RequestKind.STREAM, body);
                Callers.pause(callerRandom.nextInt(MAX_CRASHING_PAUSE_MILLIS));
              }
            },
            "deadly");
    caller.setDaemon(true);
    caller.start();
    return body;
  }

  private static String freeze(FaultContext context, Random random) {
    EdgeDaemon daemon = FaultContext.randomElement(context.daemons(), random);
    long duration = 300 + random.nextInt(4_000);
    context.recorder().signalled(daemon.number(), "freeze");
    context.run(daemon::freeze);
    context.schedule(
        duration,
        () -> {
          daemon.thaw();
          context.recorder().signalled(daemon.number(), "thaw");
        });
    return "daemon " + daemon.number() + " for " + duration + " ms";
  }

  private static String kill(FaultContext context, Random random) {
    EdgeDaemon daemon = FaultContext.randomElement(context.daemons(), random);
    long down = 50 + random.nextInt(1_500);
    context.recorder().signalled(daemon.number(), "kill");
    context.run(daemon::thaw);
    daemon.kill();
    context.schedule(down, () -> restart(context, daemon));
    return "daemon " + daemon.number() + ", down for " + down + " ms";
  }

  private static String stop(FaultContext context, Random random) {
    EdgeDaemon daemon = FaultContext.randomElement(context.daemons(), random);
    stop(context, daemon);
    return "daemon " + daemon.number();
  }

  /** Stops a daemon with SIGTERM and starts it again after its exit. */
  static void stop(FaultContext context, EdgeDaemon daemon) {
    context.recorder().signalled(daemon.number(), "stop");
    daemon.terminate();
    context.schedule(
        0,
        () -> {
          daemon.awaitStop();
          restart(context, daemon);
        });
  }

  static void restart(FaultContext context, EdgeDaemon daemon) throws java.io.IOException {
    if (daemon.startAgain()) {
      context.recorder().signalled(daemon.number(), "start");
    }
  }

  private static String storeDown(FaultContext context, Random random) {
    long duration = 500 + random.nextInt(5_000);
    context.storeDown();
    context.schedule(duration, context::storeUp);
    return "for " + duration + " ms";
  }

  /** Stops the store and restores it from a backup: changes made after the backup are lost. */
  private static String restoreStoreFromBackup(FaultContext context, Random random) {
    long duration = 100 + random.nextInt(2_500);
    long age = 200 + random.nextInt(8_000);
    long seed = random.nextLong();
    context.storeDown();
    context.schedule(
        duration,
        () -> {
          context.platform().storeComesBackFromACopy(age, new Random(seed));
          context.storeUp();
        });
    return "for " + duration + " ms, " + age + " ms back";
  }

  /** Marks a plain worker as leaving in its store entry only; it still serves for a while. */
  private static String leaveInEntryOnly(FaultContext context, Random random) {
    String id = FaultContext.randomElement(context.platform().plainWorkers(), random);
    String zone = zoneOf(id);
    context.run(() -> context.platform().addPlainWorker(id + "q", zone));
    context.platform().drain(id);
    context.schedule(MAX_DURATION_MILLIS, () -> context.platform().remove(id));
    return id + " makes way for " + id + "q";
  }

  /** Evacuates a data centre and takes the evacuation back, mostly after the promised bound. */
  private static String evacuate(FaultContext context, Random random) {
    String dataCentre = random.nextBoolean() ? "a" : "b";
    long duration = 4_000 + random.nextInt((int) MAX_DURATION_MILLIS - 4_000);
    context.platform().evacuate(dataCentre, true);
    context.schedule(duration, () -> context.platform().evacuate(dataCentre, false));
    return dataCentre + " for " + duration + " ms";
  }

  /** Writes several configurations in quick succession, each with an additional route. */
  private static String addRoutes(FaultContext context, Random random) {
    int count = 1 + random.nextInt(4);
    long gap = 50 + random.nextInt(700);
    for (int number = 0; number < count; number++) {
      context.schedule(number * gap, () -> context.platform().addRouteWith(context.nextVersion()));
    }
    return count + " each " + gap + " ms";
  }

  private static String silenceStore(FaultContext context) {
    context.platform().silenceWaitingCalls();
    context.recorder().storeTrouble(true);
    context.recorder().storeTrouble(false);
    return "the calls that wait now";
  }
}
