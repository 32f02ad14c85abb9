package org.fawnvale.serving.store;

import java.util.Map;
import java.util.Set;
import org.fawnvale.serving.core.watch.StorePosition;

/**
 * A local copy moved from one era of the store to another, usually because the store was rolled
 * back.
 *
 * @param previousPosition the position of the copy before the change
 * @param currentPosition the position of the copy after the change
 * @param previousObjects the objects of the copy before the change, by name
 * @param removedNames names of objects whose removal was known before the change
 * @param <T> the type of the objects
 */
public record EraChange<T>(
    StorePosition previousPosition,
    StorePosition currentPosition,
    Map<String, T> previousObjects,
    Set<String> removedNames) {}
