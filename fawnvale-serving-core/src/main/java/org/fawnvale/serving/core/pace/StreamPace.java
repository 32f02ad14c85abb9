package org.fawnvale.serving.core.pace;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Derives the pace of heads from the pauses between events of this daemon's streams. A head sends
 * the events of all its streams at the end of a pass, so each pass yields one sample: the pause
 * relative to the published duration of a pass. Not thread-safe.
 */
public final class StreamPace {

  private static final int MAX_SAMPLES = 12;

  /**
   * Fewer samples show no pace: two passes in a row may be long because they prefill large prompts.
   */
  private static final int MIN_SAMPLES = 3;

  /**
   * Older samples are dropped while {@link #MIN_SAMPLES} remain. At a pace of 3, a dozen passes
   * take more than a second, and the pace would be known too late.
   */
  private static final long SAMPLE_NANOS = 800_000_000L;

  /** How long after its last event the pace of a head is known. */
  private static final long EXPIRY_NANOS = 2_000_000_000L;

  /**
   * Upper bound of the pace. Nodes are up to 12 times slower than published; larger values come
   * from pauses outside the engine.
   */
  private static final double MAX_PACE = 16;

  /** Events within this share of a pass after a sample belong to the same pass. */
  private static final double SAME_PASS = 0.5;

  private static final double NANOS_PER_MILLI = 1e6;

  private final Map<String, Samples> heads = new HashMap<>();

  /**
   * The pause of a stream as the duration of a pass.
   *
   * @param atNanos when it ended
   */
  private record Sample(long atNanos, long pauseNanos, double pace) {

    /** Tells whether another pause that ends now began as early: it contains this one. */
    boolean isWithin(long otherPauseNanos, double toleranceNanos, long now) {
      return now - otherPauseNanos <= atNanos - pauseNanos + toleranceNanos;
    }
  }

  private static final class Samples {
    final Deque<Sample> samples = new ArrayDeque<>(MAX_SAMPLES);
    long lastEventNanos;

    void add(long now, long pauseNanos, double pace) {
      samples.addLast(new Sample(now, pauseNanos, pace));
      while (samples.size() > MAX_SAMPLES
          || samples.size() > MIN_SAMPLES && now - samples.peekFirst().atNanos() > SAMPLE_NANOS) {
        samples.removeFirst();
      }
    }

    double lowerQuartile() {
      double[] sorted = new double[samples.size()];
      int index = 0;
      for (Sample sample : samples) {
        sorted[index] = sample.pace();
        index++;
      }
      Arrays.sort(sorted);
      return sorted[sorted.length / 4];
    }
  }

  /**
   * Records an event of a stream, except the first one. A pause that contains the last sample's is
   * no pass: after a silence of the whole head, streams that go on some passes after the others
   * would each show that silence once more, and a head that has only paused would count as slow.
   *
   * @param headId the id of the head that sent it
   * @param pauseNanos the time since the stream's previous event, in nanoseconds
   * @param passMillis the published duration of a pass of a full batch that prefills a usual
   *     prompt, in milliseconds; a head with few requests must be slower by as much more to show
   * @param now the monotonic time, in nanoseconds
   */
  public void recordEvent(String headId, long pauseNanos, double passMillis, long now) {
    double passNanos = passMillis * NANOS_PER_MILLI;
    Samples head = heads.computeIfAbsent(headId, id -> new Samples());
    Sample last = head.samples.peekLast();
    double tolerance = SAME_PASS * passNanos;
    boolean isNewPass =
        last == null
            || now - last.atNanos() > tolerance && !last.isWithin(pauseNanos, tolerance, now);
    if (isNewPass) {
      head.add(now, pauseNanos, Math.min(MAX_PACE, pauseNanos / passNanos));
    }
    head.lastEventNanos = now;
  }

  /**
   * Discards what was observed of a head, because it serves another group now.
   *
   * @param headId its id
   */
  public void forget(String headId) {
    heads.remove(headId);
  }

  /**
   * Returns the observed paces: for each head the lower quartile of its samples, since prefill of
   * other prompts lengthens some passes of a head of normal pace.
   *
   * @param now the monotonic time, in nanoseconds
   * @return the pace by head id, at least 1; heads with too few samples, or without an event within
   *     the last two seconds, are left out
   */
  public Map<String, Double> paces(long now) {
    heads.values().removeIf(head -> now - head.lastEventNanos > EXPIRY_NANOS);
    Map<String, Double> paces = new HashMap<>();
    heads.forEach(
        (id, head) -> {
          if (head.samples.size() >= MIN_SAMPLES) {
            paces.put(id, Math.max(1, head.lowerQuartile()));
          }
        });
    return paces;
  }
}
