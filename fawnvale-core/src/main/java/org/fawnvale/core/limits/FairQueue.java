package org.fawnvale.core.limits;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Bounded queue that shares its service among flows by weight, regardless of how much each flow
 * offers.
 *
 * <p>Start-time fair queueing (Goyal, Vin and Cheng, 1996): each item gets a start tag, the later
 * of the queue's virtual time and its flow's last finish tag; the item with the lowest start tag is
 * removed first. Not thread-safe; the owner has to synchronize.
 *
 * @param <T> the type of the items
 */
public final class FairQueue<T> {

  private final int maximumPerFlow;
  private final Map<String, Flow<T>> flows = new HashMap<>();
  private double virtualTime;
  private int size;

  private FairQueue(int maximumPerFlow) {
    this.maximumPerFlow = maximumPerFlow;
  }

  /**
   * Creates an empty queue.
   *
   * @param maximumPerFlow maximum number of waiting items of one flow
   * @param <T> the type of the items
   */
  public static <T> FairQueue<T> create(int maximumPerFlow) {
    return new FairQueue<>(maximumPerFlow);
  }

  /**
   * Adds an item.
   *
   * @param flow the flow of the item
   * @param weight the weight of the flow, greater than 0
   * @param cost the cost of the item, greater than 0
   * @return false when the flow is full; the item was not added
   */
  public boolean offer(String flow, double weight, double cost, T item) {
    Flow<T> queue = flows.computeIfAbsent(flow, name -> new Flow<>());
    if (queue.waiting.size() >= maximumPerFlow) {
      return false;
    }
    double start = Math.max(virtualTime, queue.lastFinish);
    queue.lastFinish = start + cost / weight;
    queue.waiting.add(new TaggedItem<>(start, item));
    size++;
    return true;
  }

  /**
   * Returns the next item without removing it.
   *
   * @return the item, or null when the queue is empty
   */
  public @Nullable T peek() {
    Flow<T> next = nextFlow();
    return next == null ? null : next.waiting.element().item();
  }

  /**
   * Removes and returns the next item.
   *
   * @return the item, or null when the queue is empty
   */
  public @Nullable T poll() {
    Flow<T> next = nextFlow();
    if (next == null) {
      return null;
    }
    TaggedItem<T> tagged = next.waiting.remove();
    virtualTime = Math.max(virtualTime, tagged.start());
    size--;
    removeIdleFlows();
    return tagged.item();
  }

  /**
   * Removes all items that match.
   *
   * @param condition true for the items to remove
   * @return the number of removed items
   */
  public int removeIf(Predicate<T> condition) {
    int removed = 0;
    for (Flow<T> flow : flows.values()) {
      for (Iterator<TaggedItem<T>> items = flow.waiting.iterator(); items.hasNext(); ) {
        if (condition.test(items.next().item())) {
          items.remove();
          removed++;
        }
      }
    }
    size -= removed;
    return removed;
  }

  /** Returns the number of waiting items. */
  public int size() {
    return size;
  }

  /** Returns the number of waiting items of one flow. */
  public int size(String flow) {
    Flow<T> queue = flows.get(flow);
    return queue == null ? 0 : queue.waiting.size();
  }

  private @Nullable Flow<T> nextFlow() {
    Flow<T> best = null;
    for (Flow<T> flow : flows.values()) {
      boolean earlier =
          !flow.waiting.isEmpty()
              && (best == null || flow.waiting.element().start() < best.waiting.element().start());
      if (earlier) {
        best = flow;
      }
    }
    return best;
  }

  private void removeIdleFlows() {
    flows.values().removeIf(flow -> flow.waiting.isEmpty() && flow.lastFinish <= virtualTime);
  }

  private record TaggedItem<T>(double start, T item) {}

  private static final class Flow<T> {
    private final Deque<TaggedItem<T>> waiting = new ArrayDeque<>();
    private double lastFinish;
  }
}
