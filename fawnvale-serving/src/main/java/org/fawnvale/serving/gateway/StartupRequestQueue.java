package org.fawnvale.serving.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import org.fawnvale.serving.http.Timers;

/**
 * Requests that come to a daemon that has just started and does not know yet where to send them.
 * They wait, in the order in which they came, until it does.
 *
 * <p>The load that it answers: all daemons start at once after a loss of power. Callers repeat a
 * refused request once or twice; refused with "no configuration yet" a request came back within 0.1
 * s, was refused again and was lost. All calls hold the guard.
 */
final class StartupRequestQueue {

  /**
   * How long a request waits. The copies are there 0.2 to 0.5 s after the listener is; a store that
   * says nothing is known to be away after 1.5 s, and then nobody can tell how long it takes.
   */
  static final int PATIENCE_MILLIS = 2_000;

  /** The most that wait; a body takes up to a megabyte. More are answered at once. */
  static final int MOST = 64;

  private final Timers timers;
  private final int patienceMillis;
  private final Deque<Runnable> waiting = new ArrayDeque<>();
  private boolean released;

  StartupRequestQueue(Timers timers, int patienceMillis) {
    this.timers = timers;
    this.patienceMillis = patienceMillis;
  }

  /**
   * Runs a request now, or as soon as the daemon knows its fleet, or when that takes too long.
   *
   * @param request answers the request with what is known then
   */
  void run(Runnable request) {
    if (released || waiting.size() >= MOST) {
      request.run();
      return;
    }
    waiting.addLast(request);
    timers.after(patienceMillis, () -> giveUp(request));
  }

  private void giveUp(Runnable request) {
    if (waiting.remove(request)) {
      request.run();
    }
  }

  /** How many wait. */
  int waiting() {
    return waiting.size();
  }

  /** Runs all that wait; what comes from now on runs at once. */
  void release() {
    released = true;
    while (!waiting.isEmpty()) {
      waiting.removeFirst().run();
    }
  }
}
