package org.fawnvale.soak;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import org.fawnvale.standins.fleet.EdgeDaemon;

/** The faults that a run can inject, by name. */
final class Troubles {

  /** The longest duration of a fault, in milliseconds. */
  static final long LONGEST_MILLIS = 9_000;

  /** Invalid worker entries: empty, of another type, a malformed address, an unknown state. */
  private static final List<Object> FOREIGN_ENTRIES =
      List.of(
          Map.of(),
          List.of("worker"),
          "worker",
          Map.of("service", 7, "address", "127.0.0.1:1", "zone", "a", "state", "ready"),
          Map.of("service", "drafter", "address", "nowhere", "zone", "a", "state", "ready"),
          Map.of("service", "drafter", "address", "127.0.0.1:1", "zone", "a", "state", "asleep"));

  private static final int DEADLY_REQUESTS = 40;
  private static final int DEADLY_PAUSE_MILLIS = 250;
  private static final int SERVES_ON_MILLIS = 5_000;

  private Troubles() {}

  static Map<String, Trouble> all() {
    Map<String, Trouble> troubles = new LinkedHashMap<>();
    troubles.put("rest-of-one", Troubles::restOfOne);
    troubles.put("rest-of-all", Troubles::restOfAll);
    troubles.put("turned-away", Troubles::turnedAway);
    troubles.put("leaves-listed", (world, draws) -> leave(world, draws, true));
    troubles.put("leaves-in-answers", (world, draws) -> leave(world, draws, false));
    troubles.put("limit-of-one", LimitTroubles::ofOne);
    troubles.put("limits-of-all", LimitTroubles::ofAll);
    troubles.put("limit-that-changes", LimitTroubles::thatChanges);
    troubles.put("limit-garbled", LimitTroubles::garbled);
    troubles.put("worker-crash", Troubles::crash);
    troubles.put("deadly-request", Troubles::deadly);
    troubles.put("answers-lost", Troubles::answersLost);
    troubles.put("foreign-entry", Troubles::foreignEntry);
    troubles.put("daemon-freeze", Troubles::freeze);
    troubles.put("daemon-kill", Troubles::kill);
    troubles.put("daemon-stop", Troubles::stop);
    troubles.put("store-down", Troubles::storeDown);
    troubles.put("store-silent", (world, draws) -> storeSilent(world));
    troubles.put("store-goes-back", Troubles::storeGoesBack);
    troubles.put("leaves-quietly", Troubles::leaveQuietly);
    troubles.put("routes-added", Troubles::addRoutes);
    return troubles;
  }

  static String worker(World world, Random draws) {
    List<String> kind =
        draws.nextBoolean() ? world.platform().groupWorkers() : world.platform().plainWorkers();
    return World.any(kind, draws);
  }

  private static long restMillis(Random draws) {
    return 1_500 + draws.nextInt(4_500);
  }

  private static String restOfOne(World world, Random draws) {
    String id = worker(world, draws);
    long rest = restMillis(draws);
    long length = 500 + draws.nextInt(5_000);
    world.platform().turnAway(id, length, rest);
    return id + " for " + length + " ms, rest " + rest + " ms";
  }

  private static String restOfAll(World world, Random draws) {
    long rest = restMillis(draws);
    long length = 500 + draws.nextInt(2_000);
    world.platform().groupWorkers().forEach(id -> world.platform().turnAway(id, length, rest));
    world.platform().plainWorkers().forEach(id -> world.platform().turnAway(id, length, rest));
    return "all for " + length + " ms, rest " + rest + " ms";
  }

  private static String turnedAway(World world, Random draws) {
    String id = worker(world, draws);
    long length = 1_000 + draws.nextInt(6_000);
    world.platform().turnAway(id, length, 0);
    return id + " for " + length + " ms";
  }

  private static String zoneOf(String worker) {
    return worker.contains("a") ? "a" : "b";
  }

  /** Adds a replacement for a worker that is leaving; that worker still serves for a while. */
  private static String leave(World world, Random draws, boolean listed) {
    boolean plain = draws.nextBoolean();
    List<String> ids = plain ? world.platform().plainWorkers() : world.platform().groupWorkers();
    String id = World.any(ids, draws);
    String next = id + "n";
    String zone = zoneOf(id);
    world.run(
        () -> {
          if (plain) {
            world.platform().addPlainWorker(next, zone);
          } else {
            world.platform().addWorker(next, zone);
          }
        });
    world.platform().leaveInAnswers(id);
    if (listed && !plain) {
      world.platform().drain(id);
    }
    world.later(SERVES_ON_MILLIS, () -> world.platform().remove(id));
    return id + " makes way for " + next;
  }

  private static String crash(World world, Random draws) {
    String id = World.any(world.platform().groupWorkers(), draws);
    world.platform().crash(id);
    return id;
  }

  private static String answersLost(World world, Random draws) {
    long length = 500 + draws.nextInt(4_000);
    double share = 0.1 + draws.nextDouble() / 2;
    for (String id : world.platform().groupWorkers()) {
      world.platform().loseAnswers(id, length, share);
    }
    for (String id : world.platform().plainWorkers()) {
      world.platform().loseAnswers(id, length, share);
    }
    return String.format(Locale.ROOT, "%.2f of all for %d ms", share, length);
  }

  /** Overwrites the store entry of a worker with an invalid one and restores it later. */
  private static String foreignEntry(World world, Random draws) {
    String id = worker(world, draws);
    Object entry = World.any(FOREIGN_ENTRIES, draws);
    long length = 300 + draws.nextInt(1_500);
    world.platform().spoilEntry(id, entry);
    world.later(length, () -> world.platform().writeEntry(id));
    return id + " is " + entry + " for " + length + " ms";
  }

  /** Repeatedly sends a request that crashes workers, each time to a random daemon. */
  private static String deadly(World world, Random draws) {
    String body = Callers.DEADLY_BODY + draws.nextInt(1_000_000);
    world.platform().endWith(body);
    long seed = draws.nextLong();
    Thread caller =
        new Thread(
            () -> {
              Random own = new Random(seed);
              for (int number = 0; number < DEADLY_REQUESTS; number++) {
                int daemon = own.nextInt(world.daemons().size());
                world.callers().askOnce(daemon, Kind.STREAM, body);
                Callers.pause(own.nextInt(DEADLY_PAUSE_MILLIS));
              }
            },
            "deadly");
    caller.setDaemon(true);
    caller.start();
    return body;
  }

  private static String freeze(World world, Random draws) {
    EdgeDaemon daemon = World.any(world.daemons(), draws);
    long length = 300 + draws.nextInt(4_000);
    world.recorder().signalled(daemon.number(), "freeze");
    world.run(daemon::freeze);
    world.later(
        length,
        () -> {
          daemon.thaw();
          world.recorder().signalled(daemon.number(), "thaw");
        });
    return "daemon " + daemon.number() + " for " + length + " ms";
  }

  private static String kill(World world, Random draws) {
    EdgeDaemon daemon = World.any(world.daemons(), draws);
    long down = 50 + draws.nextInt(1_500);
    world.recorder().signalled(daemon.number(), "kill");
    world.run(daemon::thaw);
    daemon.kill();
    world.later(down, () -> startAgain(world, daemon));
    return "daemon " + daemon.number() + ", down for " + down + " ms";
  }

  private static String stop(World world, Random draws) {
    EdgeDaemon daemon = World.any(world.daemons(), draws);
    world.recorder().signalled(daemon.number(), "stop");
    daemon.terminate();
    world.later(
        0,
        () -> {
          daemon.awaitStop();
          startAgain(world, daemon);
        });
    return "daemon " + daemon.number();
  }

  private static void startAgain(World world, EdgeDaemon daemon) throws java.io.IOException {
    if (daemon.startAgain()) {
      world.recorder().signalled(daemon.number(), "start");
    }
  }

  private static String storeDown(World world, Random draws) {
    long length = 500 + draws.nextInt(5_000);
    world.storeDown();
    world.later(length, world::storeUp);
    return "for " + length + " ms";
  }

  /** Stops the store and restores it from a backup: changes made after the backup are lost. */
  private static String storeGoesBack(World world, Random draws) {
    long length = 100 + draws.nextInt(2_500);
    long age = 200 + draws.nextInt(8_000);
    long seed = draws.nextLong();
    world.storeDown();
    world.later(
        length,
        () -> {
          world.platform().storeComesBackFromACopy(age, new Random(seed));
          world.storeUp();
        });
    return "for " + length + " ms, " + age + " ms back";
  }

  /** Marks a plain worker as leaving in its store entry only; it still serves for a while. */
  private static String leaveQuietly(World world, Random draws) {
    String id = World.any(world.platform().plainWorkers(), draws);
    String zone = zoneOf(id);
    world.run(() -> world.platform().addPlainWorker(id + "q", zone));
    world.platform().drain(id);
    world.later(LONGEST_MILLIS, () -> world.platform().remove(id));
    return id + " makes way for " + id + "q";
  }

  /** Writes several configurations in quick succession, each with an additional route. */
  private static String addRoutes(World world, Random draws) {
    int count = 1 + draws.nextInt(4);
    long gap = 50 + draws.nextInt(700);
    for (int number = 0; number < count; number++) {
      world.later(number * gap, () -> world.platform().addRouteWith(world.nextVersion()));
    }
    return count + " each " + gap + " ms";
  }

  private static String storeSilent(World world) {
    world.platform().silenceWaitingCalls();
    world.recorder().storeTrouble(true);
    world.recorder().storeTrouble(false);
    return "the calls that wait now";
  }
}
