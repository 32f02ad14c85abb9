package org.fawnvale.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/** The injected faults of one node or service. */
final class Faults {

  private boolean dead;
  private boolean frozen;
  private long delayMillis;
  private int refusals;
  private int drops;
  private int truncateAfter = -1;
  private int swaps;
  private int falsePromises;

  /** Injects a fault; throws an exception if the fault is unknown. */
  synchronized void set(JsonNode order) throws IOException {
    int count = order.path("count").asInt(1);
    switch (order.path("fault").asText()) {
      case "die" -> dead = true;
      case "freeze" -> frozen = true;
      case "late" -> delayMillis = order.path("millis").asLong();
      case "refuse" -> refusals = count;
      case "drop-answers" -> drops = count;
      case "tear" -> truncateAfter = order.path("after").asInt();
      case "swap" -> swaps = count;
      case "promise-falsely" -> falsePromises = count;
      case "none" -> clear();
      default -> throw new IOException("unknown fault " + order);
    }
    notifyAll();
  }

  private void clear() {
    dead = false;
    frozen = false;
    delayMillis = 0;
    refusals = 0;
    drops = 0;
    truncateAfter = -1;
    swaps = 0;
    falsePromises = 0;
  }

  /**
   * Blocks while frozen, then throws an exception if dead, and otherwise waits for the set delay.
   */
  void enter() throws IOException {
    long wait;
    synchronized (this) {
      awaitThaw();
      if (dead) {
        throw new IOException("dead");
      }
      wait = delayMillis;
    }
    Platform.pause(wait);
  }

  private void awaitThaw() throws IOException {
    try {
      while (frozen) {
        wait();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  synchronized boolean isUp() {
    return !dead && !frozen;
  }

  synchronized boolean takeRefusal() {
    return refusals > 0 && refusals-- > 0;
  }

  synchronized boolean takeDrop() {
    return drops > 0 && drops-- > 0;
  }

  synchronized boolean takeSwap() {
    return swaps > 0 && swaps-- > 0;
  }

  /** Returns whether the answer to a request that has run says that the service is unavailable. */
  synchronized boolean takeFalsePromise() {
    return falsePromises > 0 && falsePromises-- > 0;
  }

  synchronized boolean truncatesAt(int tokens) {
    return truncateAfter >= 0 && tokens >= truncateAfter;
  }
}
