package org.fawnvale.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import org.jspecify.annotations.Nullable;

/** Faults in which workers advertise a request limit in their responses. */
final class LimitTroubles {

  private static final int SHORTEST_MILLIS = 5_000;
  private static final int MORE_MILLIS = 4_000;
  private static final int MOST_CHANGES = 4;
  private static final double LEAST_PER_SECOND = 0.5;
  private static final double MORE_PER_SECOND = 5;

  /** Malformed limits: empty, negative, exponent, comma, unit, too long, not a number. */
  private static final List<String> GARBLED =
      List.of("", "-2", "1e3", "1,5", "3/s", "1".repeat(1_000), "NaN");

  private LimitTroubles() {}

  private static String draw(Random draws) {
    double limit = LEAST_PER_SECOND + MORE_PER_SECOND * draws.nextDouble();
    return String.format(Locale.ROOT, "%.2f", limit);
  }

  private static long length(Random draws) {
    return SHORTEST_MILLIS + draws.nextInt(MORE_MILLIS);
  }

  private static void name(World world, String id, @Nullable String limit) {
    if (limit == null) {
      world.recorder().limitOver(id);
    }
    world.platform().nameLimit(id, limit);
  }

  static String ofOne(World world, Random draws) {
    String id = Troubles.worker(world, draws);
    String limit = draw(draws);
    long length = length(draws);
    name(world, id, limit);
    world.later(length, () -> name(world, id, null));
    return id + " names " + limit + " for " + length + " ms";
  }

  static String ofAll(World world, Random draws) {
    List<String> ids = new ArrayList<>(world.platform().groupWorkers());
    ids.addAll(world.platform().plainWorkers());
    String limit = draw(draws);
    long length = length(draws);
    ids.forEach(id -> name(world, id, limit));
    world.later(length, () -> ids.forEach(id -> name(world, id, null)));
    return "all name " + limit + " for " + length + " ms";
  }

  /** Changes the limit of one worker several times, and sometimes withdraws it in between. */
  static String thatChanges(World world, Random draws) {
    String id = Troubles.worker(world, draws);
    long length = length(draws);
    int changes = 2 + draws.nextInt(MOST_CHANGES);
    List<String> drawn = new ArrayList<>();
    for (int change = 0; change < changes; change++) {
      String limit = draws.nextInt(MOST_CHANGES) == 0 ? null : draw(draws);
      drawn.add(limit);
      world.later(change * length / changes, () -> name(world, id, limit));
    }
    world.later(length, () -> name(world, id, null));
    return id + " names " + drawn + " within " + length + " ms";
  }

  static String garbled(World world, Random draws) {
    String id = Troubles.worker(world, draws);
    String limit = World.any(GARBLED, draws);
    long length = length(draws);
    name(world, id, limit);
    world.later(length, () -> name(world, id, null));
    String shown = limit.substring(0, Math.min(limit.length(), MOST_CHANGES));
    return id + " names '" + shown + "' for " + length + " ms";
  }
}
