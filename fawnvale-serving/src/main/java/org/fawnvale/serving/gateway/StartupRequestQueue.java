package org.fawnvale.serving.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import org.fawnvale.serving.http.Timers;

/**
 * Queues requests that reach a daemon before it knows the routes and nodes, in order of arrival.
 * After a power failure all daemons start together; a caller whose request is refused at once
 * exhausts its one or two retries before the first daemon is ready. Callers of the methods hold the
 * lock.
 */
final class StartupRequestQueue {

  /**
   * Maximum wait of a request, in milliseconds. Exceeds the 1.5 s after which a daemon regards a
   * silent store as unavailable. Routes and nodes are normally known 0.2 to 0.5 s after the
   * listener is bound.
   */
  static final int MAX_WAIT_MILLIS = 2_000;

  /** Maximum number of queued requests; further ones run at once. A body takes up to 1 MB. */
  static final int MAX_QUEUED = 64;

  private final Timers timers;
  private final int maxWaitMillis;
  private final Deque<Runnable> queued = new ArrayDeque<>();
  private boolean released;

  StartupRequestQueue(Timers timers, int maxWaitMillis) {
    this.timers = timers;
    this.maxWaitMillis = maxWaitMillis;
  }

  /**
   * Runs a request as soon as the daemon knows the nodes, at the latest after the maximum wait.
   *
   * @param request handles the request with the routes and nodes known at that time
   */
  void run(Runnable request) {
    if (released || queued.size() >= MAX_QUEUED) {
      request.run();
      return;
    }
    queued.addLast(request);
    timers.after(maxWaitMillis, () -> runOnTimeout(request));
  }

  private void runOnTimeout(Runnable request) {
    if (queued.remove(request)) {
      request.run();
    }
  }

  /** Returns the number of queued requests. */
  int queued() {
    return queued.size();
  }

  /** Runs all queued requests; later requests run at once. */
  void release() {
    released = true;
    while (!queued.isEmpty()) {
      queued.removeFirst().run();
    }
  }
}
