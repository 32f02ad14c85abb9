package org.fawnvale.core.replay;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import org.fawnvale.core.routing.Prefix;

/** A simulated replica; it runs a limited number of requests concurrently and queues the others. */
final class VirtualReplica {

  private final RequestTrace.Fleet fleet;
  private final double slowFactor;
  private final Map<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
  private final Deque<Attempt> waiting = new ArrayDeque<>();
  private int running;
  private boolean lost;

  /** An attempt to run a request at a replica. */
  static final class Attempt {
    private final RequestReplay.ReplayedRequest replayedRequest;
    private final VirtualReplica replica;
    private double firstTokenAt;
    private double endsAt;
    private int cachedCharacters;

    Attempt(RequestReplay.ReplayedRequest replayedRequest, VirtualReplica replica) {
      this.replayedRequest = replayedRequest;
      this.replica = replica;
    }

    RequestReplay.ReplayedRequest replayedRequest() {
      return replayedRequest;
    }

    VirtualReplica replica() {
      return replica;
    }

    double firstTokenAt() {
      return firstTokenAt;
    }

    double endsAt() {
      return endsAt;
    }

    int cachedCharacters() {
      return cachedCharacters;
    }
  }

  VirtualReplica(RequestTrace.Fleet fleet, double slowFactor) {
    this.fleet = fleet;
    this.slowFactor = slowFactor;
  }

  int outstanding() {
    return running + waiting.size();
  }

  boolean isLost() {
    return lost;
  }

  void fail() {
    lost = true;
    waiting.clear();
  }

  /** Accepts a request. Returns true when it starts immediately, false when it is queued. */
  boolean accept(Attempt attempt, double now) {
    if (running >= fleet.maximumConcurrent()) {
      waiting.add(attempt);
      return false;
    }
    begin(attempt, now);
    return true;
  }

  /** Ends a request. Returns the queued request that starts next, or null. */
  @org.jspecify.annotations.Nullable
  Attempt end(double now) {
    running--;
    Attempt next = waiting.poll();
    if (next != null) {
      begin(next, now);
    }
    return next;
  }

  private void begin(Attempt attempt, double now) {
    running++;
    RequestTrace.Request request = attempt.replayedRequest().request();
    attempt.cachedCharacters = updateCache(attempt.replayedRequest().prefix());
    double prefill =
        (request.characters() - attempt.cachedCharacters)
            * fleet.prefillMicrosPerCharacter()
            / 1000;
    attempt.firstTokenAt = now + (prefill + fleet.tokenMillis()) * slowFactor;
    attempt.endsAt =
        attempt.firstTokenAt + (request.tokens() - 1) * fleet.tokenMillis() * slowFactor;
  }

  private int updateCache(Prefix prefix) {
    int cached = 0;
    while (cached < prefix.length() && cache.get(prefix.block(cached)) != null) {
      cached++;
    }
    for (int i = 0; i < prefix.length(); i++) {
      cache.put(prefix.block(i), Boolean.TRUE);
    }
    var eldest = cache.keySet().iterator();
    while (cache.size() > fleet.cachedBlocks()) {
      eldest.next();
      eldest.remove();
    }
    return cached * Prefix.BLOCK_CHARACTERS;
  }
}
