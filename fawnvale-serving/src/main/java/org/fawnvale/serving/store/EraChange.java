package org.fawnvale.serving.store;

import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.watch.StorePosition;

/**
 * The store has begun another history, and a copy shows it now.
 *
 * @param before where the copy stood
 * @param now where it stands
 * @param known what it held, by name
 * @param removed names of objects that were known to be gone
 * @param <T> the type of the objects
 */
public record EraChange<T>(
    StorePosition before, StorePosition now, Map<String, T> known, Set<String> removed) {}
