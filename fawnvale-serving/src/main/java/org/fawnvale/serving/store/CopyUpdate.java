package org.fawnvale.serving.store;

import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.watch.StorePosition;

/**
 * Objects of one kind, as one daemon sends them to another: either all objects, or the changes
 * since the position of the receiver's copy. Encoded by {@link CopyCodec}.
 *
 * @param place the position of the sender's copy in the store's history
 * @param newest the position of the newest change in the sender's copy
 * @param whole whether the update contains all objects
 * @param objects the objects by name
 * @param places the position of the last change of each object, by name
 * @param removed names of removed objects; empty when the update contains all objects
 * @param <T> the type of the objects
 */
record CopyUpdate<T>(
    StorePosition place,
    StorePosition newest,
    boolean whole,
    Map<String, T> objects,
    Map<String, StorePosition> places,
    List<String> removed) {}
