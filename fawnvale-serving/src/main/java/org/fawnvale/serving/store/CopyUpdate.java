package org.fawnvale.serving.store;

import java.util.List;
import java.util.Map;
import org.fawnvale.serving.core.watch.StorePosition;

/**
 * Objects of one kind, as one daemon gives them to another: all of them, or what has changed since
 * the place that the other one's copy shows.
 *
 * @param place the place in the store's history that the copy shows
 * @param newest the place of the newest change in it
 * @param whole whether all objects are given
 * @param objects the objects by name
 * @param places the place of the last change of each, by name
 * @param removed names of objects that are gone; empty when all objects are given
 * @param <T> the type of the objects
 */
record CopyUpdate<T>(
    StorePosition place,
    StorePosition newest,
    boolean whole,
    Map<String, T> objects,
    Map<String, StorePosition> places,
    List<String> removed) {}
