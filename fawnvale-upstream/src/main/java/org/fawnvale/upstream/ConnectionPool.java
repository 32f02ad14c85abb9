package org.fawnvale.upstream;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Idle connections to upstreams; the most recently used one is taken first. */
final class ConnectionPool {

  private static final int MAXIMUM_IDLE_PER_ADDRESS = 64;

  private final Map<String, Deque<PooledConnection>> idle = new HashMap<>();

  synchronized boolean offer(PooledConnection connection) {
    Deque<PooledConnection> connections =
        idle.computeIfAbsent(connection.address(), address -> new ArrayDeque<>());
    if (connections.size() >= MAXIMUM_IDLE_PER_ADDRESS) {
      return false;
    }
    connections.push(connection);
    return true;
  }

  @Nullable PooledConnection take(String address) {
    PooledConnection candidate = poll(address);
    while (candidate != null) {
      if (candidate.isAlive()) {
        return candidate.forNextExchange();
      }
      candidate.discard();
      candidate = poll(address);
    }
    return null;
  }

  private synchronized @Nullable PooledConnection poll(String address) {
    Deque<PooledConnection> connections = idle.get(address);
    if (connections == null) {
      return null;
    }
    PooledConnection connection = connections.poll();
    if (connections.isEmpty()) {
      idle.remove(address);
    }
    return connection;
  }
}
