package org.fawnvale.core.routing;

/**
 * One daemon's estimate of the load of one replica.
 *
 * <p>The engine's load report counts the requests of all daemons, but arrives with a delay. The
 * estimate corrects it by the requests that this daemon has started and ended since the report
 * arrived. Thread-safe.
 */
public final class ReplicaLoad {

  private static final double SMOOTHING_FACTOR = 0.2;
  private static final double INITIAL_SERVICE_MILLIS = 1000;
  private static final double INITIAL_MICROS_PER_CHARACTER = 20;
  private static final int MINIMUM_MEASURED_CHARACTERS = 64;

  private int own;
  private int ownAtReport;
  private int reported;
  private double serviceMillis = INITIAL_SERVICE_MILLIS;
  private double prefillMicrosPerCharacter = INITIAL_MICROS_PER_CHARACTER;

  /** Records that this daemon has sent a request to the replica. */
  public synchronized void started() {
    own++;
  }

  /**
   * Records that a request of this daemon has ended.
   *
   * @param millis duration of the request, milliseconds; negative when it failed, then the duration
   *     is not used
   */
  public synchronized void ended(double millis) {
    own--;
    if (millis >= 0) {
      serviceMillis = smooth(serviceMillis, millis);
    }
  }

  /**
   * Records the time to the first token.
   *
   * @param millis time from sending the request to the first token, milliseconds
   * @param characters characters of the prompt that were not expected to be cached; short prompts
   *     are ignored
   */
  public synchronized void firstToken(double millis, int characters) {
    if (characters >= MINIMUM_MEASURED_CHARACTERS) {
      prefillMicrosPerCharacter = smooth(prefillMicrosPerCharacter, millis * 1000 / characters);
    }
  }

  /**
   * Records a load report of the engine.
   *
   * @param outstanding running and waiting requests of all daemons
   */
  public synchronized void reported(int outstanding) {
    reported = outstanding;
    ownAtReport = own;
  }

  /** Estimates the number of running and waiting requests of all daemons at the replica. */
  public synchronized int outstanding() {
    return Math.max(own, reported + own - ownAtReport);
  }

  /** Returns the number of outstanding requests of this daemon at the replica. */
  public synchronized int own() {
    return own;
  }

  /**
   * Estimates the time to the first token.
   *
   * @param characters length of the prompt, in characters
   * @param cachedCharacters characters of the prompt that are expected to be cached
   * @param maximumConcurrent requests that the replica runs concurrently
   * @return milliseconds
   */
  public synchronized double firstTokenMillis(
      int characters, int cachedCharacters, int maximumConcurrent) {
    int ahead = Math.max(0, outstanding() - maximumConcurrent + 1);
    double wait = ahead * serviceMillis / maximumConcurrent;
    double prefill = Math.max(0, characters - cachedCharacters) * prefillMicrosPerCharacter / 1000;
    return wait + prefill;
  }

  private static double smooth(double average, double sample) {
    return average * (1 - SMOOTHING_FACTOR) + sample * SMOOTHING_FACTOR;
  }
}
