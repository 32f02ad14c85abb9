package org.fawnvale.serving.store;

import java.util.Map;

/**
 * The objects of one kind, as one daemon gives them to another.
 *
 * @param revision the store's revision that they show
 * @param newest the newest revision of any of them
 * @param objects the objects by name
 * @param <T> the type of the objects
 */
record Copy<T>(long revision, long newest, Map<String, T> objects) {}
