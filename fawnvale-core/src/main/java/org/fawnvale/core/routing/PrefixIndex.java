package org.fawnvale.core.routing;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Estimates which prompt prefixes each replica has cached, with a bounded number of blocks.
 *
 * <p>Callers record the prompts that a replica has run. Thread-safe.
 */
public final class PrefixIndex {

  private final int maximumBlocksPerReplica;
  private final Map<String, Map<Long, Boolean>> replicas = new HashMap<>();

  private PrefixIndex(int maximumBlocksPerReplica) {
    this.maximumBlocksPerReplica = maximumBlocksPerReplica;
  }

  /**
   * Creates an empty index.
   *
   * @param maximumBlocksPerReplica maximum number of blocks kept for each replica; the least
   *     recently used ones are evicted
   */
  public static PrefixIndex create(int maximumBlocksPerReplica) {
    return new PrefixIndex(maximumBlocksPerReplica);
  }

  /**
   * Records that a replica has run a prompt.
   *
   * @param replica the replica's key
   * @param prefix the prompt's prefixes
   */
  public synchronized void store(String replica, Prefix prefix) {
    Map<Long, Boolean> blocks =
        replicas.computeIfAbsent(replica, key -> new LinkedHashMap<>(16, 0.75f, true));
    for (int i = prefix.length() - 1; i >= 0; i--) {
      blocks.put(prefix.block(i), Boolean.TRUE);
    }
    Iterator<Long> eldest = blocks.keySet().iterator();
    while (blocks.size() > maximumBlocksPerReplica) {
      eldest.next();
      eldest.remove();
    }
  }

  /**
   * Removes all blocks of a replica, for example after it was rebuilt.
   *
   * @param replica the replica's key
   */
  public synchronized void remove(String replica) {
    replicas.remove(replica);
  }

  /**
   * Estimates how much of a prompt a replica has cached.
   *
   * @param replica the replica's key
   * @param prefix the prompt's prefixes
   * @return the length of the cached prefix, in characters
   */
  public synchronized int cachedCharacters(String replica, Prefix prefix) {
    Map<Long, Boolean> blocks = replicas.get(replica);
    if (blocks == null) {
      return 0;
    }
    int cached = 0;
    while (cached < prefix.length() && blocks.get(prefix.block(cached)) != null) {
      cached++;
    }
    return cached * Prefix.BLOCK_CHARACTERS;
  }
}
