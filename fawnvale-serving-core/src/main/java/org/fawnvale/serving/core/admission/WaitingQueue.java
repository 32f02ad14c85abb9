package org.fawnvale.serving.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/**
 * Keeps requests that wait for an upstream, for each model ordered by urgency and then by deadline.
 * Not thread-safe.
 *
 * <p>The queue is for overload that ends or eases within the wait. It holds no more requests than
 * are expected to find a place by then, since a request that is held and then refused costs its
 * caller time.
 *
 * @param <T> a request; equal only to itself
 */
public final class WaitingQueue<T> {

  private static final Comparator<Entry<?>> ORDER =
      (one, other) -> {
        int byUrgency = Integer.compare(one.waiting.urgency(), other.waiting.urgency());
        int byDeadline = Long.signum(one.waiting.deadlineNanos() - other.waiting.deadlineNanos());
        int byArrival = Long.compare(one.sequence, other.sequence);
        return byUrgency != 0 ? byUrgency : byDeadline != 0 ? byDeadline : byArrival;
      };

  private final int maxRequests;
  private final Map<String, NavigableSet<Entry<T>>> models = new HashMap<>();
  private final Map<T, Entry<T>> entries = new HashMap<>();
  private final List<T> displaced = new ArrayList<>();
  private long sequence;

  private record Entry<T>(Waiting<T> waiting, long sequence) {}

  /**
   * Creates an empty queue.
   *
   * @param maxRequests the most requests that wait
   */
  public WaitingQueue(int maxRequests) {
    this.maxRequests = maxRequests;
  }

  /**
   * Adds a request if it will find a place. In a full queue it takes that of the last request of
   * its model if that is less urgent; {@link #expire} returns the displaced request.
   *
   * @param entry the request, which does not wait yet
   * @param placesExpected how many requests for its model will find a place within the wait
   * @return false if it has to be refused
   */
  public boolean offer(Waiting<T> entry, double placesExpected) {
    NavigableSet<Entry<T>> queue = models.getOrDefault(entry.model(), new TreeSet<>(ORDER));
    boolean full = queue.size() + 1 > placesExpected || entries.size() >= maxRequests;
    if (full) {
      boolean takesPlace = !queue.isEmpty() && queue.last().waiting.urgency() > entry.urgency();
      if (!takesPlace) {
        return false;
      }
      T last = queue.last().waiting.request();
      remove(last);
      displaced.add(last);
    }
    Entry<T> added = new Entry<>(entry, sequence++);
    models.computeIfAbsent(entry.model(), name -> new TreeSet<>(ORDER)).add(added);
    entries.put(entry.request(), added);
    return true;
  }

  /**
   * Removes the requests whose wait has ended, and those that more urgent ones have displaced.
   *
   * @param nowNanos the monotonic time, in nanoseconds
   * @return the requests, which have to be refused now
   */
  public List<T> expire(long nowNanos) {
    List<T> ended = new ArrayList<>(displaced);
    displaced.clear();
    for (Entry<T> entry : entries.values()) {
      if (nowNanos - entry.waiting.waitUntilNanos() >= 0) {
        ended.add(entry.waiting.request());
      }
    }
    ended.forEach(this::remove);
    return ended;
  }

  /**
   * Returns the request that is to be sent next.
   *
   * @param model what the request waits for
   * @return the first request; null if none waits
   */
  public @Nullable T first(String model) {
    NavigableSet<Entry<T>> queue = models.get(model);
    return queue == null ? null : queue.first().waiting.request();
  }

  /**
   * Removes a request.
   *
   * @param request the request; without effect if it does not wait
   */
  public void remove(T request) {
    Entry<T> entry = entries.remove(request);
    if (entry != null) {
      String model = entry.waiting.model();
      models.computeIfPresent(
          model,
          (name, queue) -> {
            queue.remove(entry);
            return queue.isEmpty() ? null : queue;
          });
    }
  }

  /**
   * Returns the number of requests that wait.
   *
   * @return 0 or more
   */
  public int size() {
    return entries.size();
  }

  /**
   * Returns the models for which requests wait.
   *
   * @return their names, a copy
   */
  public Set<String> models() {
    return Set.copyOf(models.keySet());
  }
}
