package org.fawnvale.standins;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.fawnvale.core.model.NodeReport;
import org.fawnvale.core.model.Order;
import org.jspecify.annotations.Nullable;

/** A simulated node with a model engine. */
final class EngineNode {

  private static final AtomicInteger STARTS = new AtomicInteger();

  private final String name;
  private final WeightStore weights;
  private final boolean checksFences;
  private final Faults faults = new Faults();
  private final RunCounts counts = new RunCounts();
  private String incarnation = nextIncarnation();
  private @Nullable Order order;
  private long highestEpoch;
  private long highestGeneration;
  private @Nullable String loadedVersion;
  private long readyAtNanos;
  private int running;
  private int waiting;
  private PrefixCache cache = new PrefixCache(4096);

  EngineNode(String name, WeightStore weights, boolean checksFences) {
    this.name = name;
    this.weights = weights;
    this.checksFences = checksFences;
  }

  String name() {
    return name;
  }

  Faults faults() {
    return faults;
  }

  RunCounts counts() {
    return counts;
  }

  synchronized PrefixCache cache() {
    return cache;
  }

  /** Restarts without an order, weights or cache; the highest epoch and generation are kept. */
  synchronized void restart() {
    incarnation = nextIncarnation();
    order = null;
    loadedVersion = null;
    running = 0;
    waiting = 0;
    cache = new PrefixCache(4096);
  }

  /** Accepts an order; returns false if the node checks fences and the order is out of date. */
  synchronized boolean accept(Order next) {
    boolean older =
        next.epoch() < highestEpoch
            || next.generation() < highestGeneration
            || next.generation() == highestGeneration && changesGeneration(next);
    if (checksFences && older) {
      return false;
    }
    highestEpoch = Math.max(highestEpoch, next.epoch());
    highestGeneration = Math.max(highestGeneration, next.generation());
    if (next.version() != null && !weightsOf(next).equals(loadedVersion)) {
      readyAtNanos = weights.scheduleLoad(next.weightGigabytes());
      loadedVersion = weightsOf(next);
      cache = new PrefixCache(4096);
    }
    order = next;
    return true;
  }

  private boolean changesGeneration(Order next) {
    Order current = order;
    return current != null
        && current.replica() != null
        && next.replica() != null
        && !(current.replica().equals(next.replica()) && current.members().equals(next.members()));
  }

  private static String weightsOf(Order order) {
    return order.model() + "@" + order.version();
  }

  synchronized NodeReport report() {
    Order current = order;
    if (current == null || current.replica() == null) {
      return new NodeReport(
          name, incarnation, null, 0, null, loadedVersion, NodeReport.State.IDLE, running, waiting);
    }
    return new NodeReport(
        name,
        incarnation,
        current.replica(),
        current.generation(),
        current.version(),
        loadedVersion,
        state(current),
        running,
        waiting);
  }

  private NodeReport.State state(Order current) {
    if (System.nanoTime() < readyAtNanos) {
      return NodeReport.State.LOADING;
    }
    return current.draining() ? NodeReport.State.DRAINING : NodeReport.State.READY;
  }

  /** Returns the members of the replica if this node is its ready head; empty otherwise. */
  synchronized List<String> membersIfHead(String model) {
    Order current = order;
    boolean ready =
        current != null
            && current.replica() != null
            && current.memberIndex() == 0
            && model.equals(current.model())
            && state(current) == NodeReport.State.READY;
    return ready ? current.members() : List.of();
  }

  /** Returns whether this node is up and loaded, in the same generation as the replica's head. */
  synchronized boolean isReadyWith(EngineNode head) {
    Order own = order;
    Order other = head.order;
    return faults.isUp()
        && own != null
        && other != null
        && own.generation() == other.generation()
        && System.nanoTime() >= readyAtNanos;
  }

  synchronized void addWaiting(int change) {
    waiting += change;
  }

  synchronized void addRunning(int change) {
    running += change;
  }

  private static String nextIncarnation() {
    return ProcessHandle.current().pid() + "-" + STARTS.incrementAndGet();
  }
}
