package org.fawnvale.serving.store;

import java.util.List;
import java.util.Map;

/**
 * Objects of one kind, as one daemon gives them to another: all of them, or what has changed since
 * the revision that the other one's copy shows.
 *
 * @param revision the store's revision that the copy shows
 * @param newest the newest revision of any change in it
 * @param whole whether all objects are given
 * @param objects the objects by name
 * @param revisions the revision of the last change of each, by name
 * @param removed names of objects that are gone; empty when all objects are given
 * @param <T> the type of the objects
 */
record Copy<T>(
    long revision,
    long newest,
    boolean whole,
    Map<String, T> objects,
    Map<String, Long> revisions,
    List<String> removed) {}
