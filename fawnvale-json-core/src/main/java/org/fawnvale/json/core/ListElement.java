package org.fawnvale.json.core;

import org.jspecify.annotations.Nullable;

/**
 * One element of a JSON list.
 *
 * @param text the bytes of the element, without those around it
 * @param value what was read from it; null if it is no JSON
 * @param <T> the type of what is read
 */
public record ListElement<T>(byte[] text, @Nullable T value) {}
