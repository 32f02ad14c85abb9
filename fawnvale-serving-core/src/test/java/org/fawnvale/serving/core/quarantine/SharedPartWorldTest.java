package org.fawnvale.serving.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import org.fawnvale.serving.core.model.NodeIncarnation;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a sound part that is barred for good because all faulty ones are beside it: a
 * small world in which requests arrive at nodes, the faulty ones crash theirs, and the others are
 * answered.
 */
class SharedPartWorldTest {

  private static final long MILLI = 1_000_000L;
  private static final long SECOND = 1_000 * MILLI;
  private static final Fingerprint SHARED = new Fingerprint(0xc0);
  private static final int NODES = 8;
  private static final int FAULTY_PARTS = 3;
  private static final long PLAY = 25 * SECOND;

  /** A node that begins a request with a faulty part crashes after this time. */
  private static final long CRASH_DELAY = 40 * MILLI;

  private static final long NODE_START = 600 * MILLI;

  /** An answer that has been written for so long is sound; see the gateway. */
  private static final long SOUND = SECOND;

  /** Requests with a faulty part that the users accept later than this after its fifth crash. */
  private static final long CONTACT = 3 * SECOND;

  private static final int MAX_AFTER_FIFTH_CRASH = 3;

  /** From twice the contact time after the last crash on, sound requests must be served. */
  private static final long SERVED_AGAIN = 2 * CONTACT;

  private final Queue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::at));
  private final Map<Integer, List<Running>> runningAt = new HashMap<>();
  private final Map<Fingerprint, List<Long>> crashes = new HashMap<>();
  private final Map<Fingerprint, Integer> sentLate = new HashMap<>();
  private final int[] lives = new int[NODES];
  private final long[] upAgain = new long[NODES];
  private PartQuarantine quarantine = new PartQuarantine();
  private Random random = new Random(0);
  private long now;
  private long lastCrash = -1;
  private int nodeCount = NODES;
  private boolean isSharedNew;
  private boolean lastComesAlone;
  private int soundAsked;
  private int soundServed;

  private record Event(long at, Runnable action) {}

  private record Running(List<Fingerprint> parts, long begun) {}

  private static Fingerprint faulty(int number) {
    return new Fingerprint(0xbad00 + number);
  }

  private static boolean isFaulty(Fingerprint part) {
    return part.value() >= 0xbad00 && part.value() < 0xbad00 + FAULTY_PARTS;
  }

  private void play(long seed, long faultyEveryMillis, long soundEveryMillis) {
    random = new Random(seed);
    if (!isSharedNew) {
      quarantine.recordAnswer(List.of(SHARED), 0, 0);
    }
    for (int number = 0; number < FAULTY_PARTS; number++) {
      Fingerprint part = faulty(number);
      schedule(1 + random.nextInt(200) * MILLI, () -> come(part, faultyEveryMillis));
    }
    schedule(1, () -> come(null, soundEveryMillis));
    while (!events.isEmpty() && events.peek().at() < PLAY) {
      Event next = events.poll();
      now = next.at();
      next.action().run();
    }
  }

  private void schedule(long at, Runnable action) {
    events.add(new Event(at, action));
  }

  /** A request arrives, and the next one of its kind follows. */
  private void come(Fingerprint faultyPart, long everyMillis) {
    schedule(
        now + random.nextInt((int) (2 * everyMillis)) * MILLI + MILLI,
        () -> come(faultyPart, everyMillis));
    List<Fingerprint> parts = partsWith(faultyPart);
    List<Fingerprint> barred = quarantine.barredAmong(parts, now);
    boolean sent = barred.isEmpty() || isTried(parts, barred);
    boolean judged = faultyPart == null && lastCrash >= 0 && now > lastCrash + SERVED_AGAIN;
    soundAsked += judged ? 1 : 0;
    if (sent) {
      soundServed += judged ? 1 : 0;
      send(parts);
    }
  }

  private List<Fingerprint> partsWith(Fingerprint faultyPart) {
    if (faultyPart == null) {
      return List.of(SHARED);
    }
    boolean alone = lastComesAlone && faultyPart.equals(faulty(FAULTY_PARTS - 1));
    return alone ? List.of(faultyPart) : List.of(SHARED, faultyPart);
  }

  private boolean isTried(List<Fingerprint> parts, List<Fingerprint> barred) {
    if (!quarantine.mayRequestTrial(parts, now)) {
      return false;
    }
    Fingerprint asked = quarantine.trialPartOf(barred);
    if (!quarantine.grantTrial(asked, now)) {
      return false;
    }
    quarantine.recordTrial(barred.stream().filter(part -> !part.equals(asked)).toList(), now);
    return true;
  }

  private void send(List<Fingerprint> parts) {
    int node = random.nextInt(nodeCount);
    if (now < upAgain[node]) {
      return;
    }
    Running running = new Running(parts, now);
    runningAt.computeIfAbsent(node, each -> new ArrayList<>()).add(running);
    boolean crashing = parts.stream().anyMatch(SharedPartWorldTest::isFaulty);
    for (Fingerprint part : parts) {
      List<Long> known = crashes.getOrDefault(part, List.of());
      if (isFaulty(part) && known.size() >= 5 && now > known.get(4) + CONTACT) {
        sentLate.merge(part, 1, Integer::sum);
      }
    }
    int life = lives[node];
    if (crashing) {
      schedule(now + CRASH_DELAY, () -> crash(node, life, parts));
    } else {
      long length = (300 + random.nextInt(900)) * MILLI;
      schedule(now + Math.min(length, SOUND), () -> answered(node, running));
    }
  }

  private void answered(int node, Running running) {
    if (runningAt.getOrDefault(node, new ArrayList<>()).remove(running)) {
      quarantine.recordAnswer(running.parts(), running.begun(), now);
    }
  }

  private void crash(int node, int life, List<Fingerprint> cause) {
    if (lives[node] != life) {
      return;
    }
    lives[node]++;
    upAgain[node] = now + NODE_START;
    lastCrash = now;
    cause.stream()
        .filter(SharedPartWorldTest::isFaulty)
        .forEach(part -> crashes.computeIfAbsent(part, each -> new ArrayList<>()).add(now));
    NodeIncarnation ended = NodeIncarnation.only("n" + node + "-" + life);
    List<Running> broken = runningAt.remove(node);
    for (Running running : broken == null ? List.<Running>of() : broken) {
      if (now - running.begun() < SOUND) {
        quarantine.recordCrash(running.parts(), ended, now);
      }
    }
  }

  /** All daemons end and start again; what is barred is read from the store. */
  private void loseAllButTheStore() {
    List<PartRecord> stored = new ArrayList<>();
    quarantine
        .barredRecords()
        .forEach(barred -> stored.add(StoredQuarantineRecord.of(barred, Long.MAX_VALUE).asPart()));
    quarantine = new PartQuarantine();
    quarantine.merge(stored, now);
  }

  private String verdict(long seed) {
    int mostLate = sentLate.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    boolean served = soundAsked < 20 || 2 * soundServed >= soundAsked;
    return mostLate <= MAX_AFTER_FIFTH_CRASH && served
        ? "sound"
        : "seed %d: %d of %d sound ones served, %d faulty ones late"
            .formatted(seed, soundServed, soundAsked, mostLate);
  }

  private static List<String> failures(long faultyEveryMillis, long soundEveryMillis, long loss) {
    List<String> failures = new ArrayList<>();
    for (long seed = 0; seed < 300; seed++) {
      SharedPartWorldTest world = new SharedPartWorldTest();
      if (loss > 0) {
        world.schedule(loss, world::loseAllButTheStore);
      }
      world.play(seed, faultyEveryMillis, soundEveryMillis);
      String verdict = world.verdict(seed);
      if (!"sound".equals(verdict)) {
        failures.add(verdict);
      }
    }
    return failures;
  }

  @ParameterizedTest
  @ValueSource(longs = {50, 150, 400, 1_000})
  void sharedPartIsServedAndFaultyOnesAreStopped(long faultyEveryMillis) {
    assertThat(failures(faultyEveryMillis, 40, 0)).isEmpty();
    assertThat(failures(faultyEveryMillis, 300, 0)).isEmpty();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 4})
  void sharedPartIsServedThoughAllDaemonsAreLost(long lossSeconds) {
    assertThat(failures(150, 40, lossSeconds * SECOND)).isEmpty();
    assertThat(failures(400, 300, lossSeconds * SECOND)).isEmpty();
  }

  /** A trial of the shared part at a node that the part on its own crashes shows nothing. */
  @ParameterizedTest
  @ValueSource(ints = {2, 4, 8})
  void newSharedPartIsServedBesideAFaultyPartOnItsOwn(int nodeCount) {
    List<String> failures = new ArrayList<>();
    for (long seed = 0; seed < 300; seed++) {
      SharedPartWorldTest world = new SharedPartWorldTest();
      world.nodeCount = nodeCount;
      world.isSharedNew = true;
      world.lastComesAlone = true;
      world.play(seed, 400, 40);
      String verdict = world.verdict(seed);
      if (!"sound".equals(verdict)) {
        failures.add(verdict);
      }
    }
    assertThat(failures).isEmpty();
  }

  /** Parts that were sound before are barred by five crashes only. */
  @Test
  void partsThatBecomeFaultyAreStopped() {
    assertThat(failuresOfPartsThatBecomeFaulty(0)).isEmpty();
  }

  /** What bars them may be known as the crashes of the shared part alone, and lost with it. */
  @ParameterizedTest
  @ValueSource(longs = {3, 9})
  void partsThatBecomeFaultyAreStoppedThoughAllDaemonsAreLost(long lossSeconds) {
    assertThat(failuresOfPartsThatBecomeFaulty(lossSeconds * SECOND)).isEmpty();
  }

  private static List<String> failuresOfPartsThatBecomeFaulty(long loss) {
    List<String> failures = new ArrayList<>();
    for (long seed = 0; seed < 300; seed++) {
      SharedPartWorldTest world = new SharedPartWorldTest();
      for (int number = 0; number < FAULTY_PARTS; number++) {
        world.quarantine.recordAnswer(List.of(faulty(number)), 0, 0);
      }
      if (loss > 0) {
        world.schedule(loss, world::loseAllButTheStore);
      }
      world.play(seed, 150, 40);
      String verdict = world.verdict(seed);
      if (!"sound".equals(verdict)) {
        failures.add(verdict);
      }
    }
    return failures;
  }

  /** Five crashes within a second, before any answer that began behind the last one. */
  @Test
  void answersThatBeganBetweenCrashesTakeTheEarlierOnesAway() {
    quarantine.recordAnswer(List.of(SHARED), 0, 0);
    for (int number = 0; number < 5; number++) {
      long at = SECOND + number * 100 * MILLI;
      NodeIncarnation node = NodeIncarnation.only("n" + number);
      quarantine.recordCrash(List.of(SHARED, faulty(number % FAULTY_PARTS)), node, at);
    }
    assertThat(quarantine.barredAmong(List.of(SHARED), 2 * SECOND)).containsExactly(SHARED);
    quarantine.recordAnswer(List.of(SHARED), SECOND + 50 * MILLI, 2 * SECOND);
    assertThat(quarantine.crashCount(SHARED)).isEqualTo(4);
    assertThat(quarantine.barredAmong(List.of(SHARED), 2 * SECOND)).isEmpty();
    quarantine.recordAnswer(List.of(SHARED), SECOND + 50 * MILLI, 2 * SECOND);
    assertThat(quarantine.crashCount(SHARED)).isEqualTo(4);
  }
}
