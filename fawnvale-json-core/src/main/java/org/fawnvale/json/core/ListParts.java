package org.fawnvale.json.core;

import java.util.List;

/**
 * A JSON text with one list, taken apart.
 *
 * @param frame what was read from the text with its list emptied
 * @param elements the elements of the list, in order
 * @param <T> the type of what is read
 */
public record ListParts<T>(T frame, List<ListElement<T>> elements) {}
